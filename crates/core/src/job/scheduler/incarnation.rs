//! Endpoints that restart under the identity that they had.
//!
//! An order names its endpoint by an identity that the endpoint's next incarnation may reuse.
//! The leader learns of a restart from a report or a registration with a later start time. By
//! then the new incarnation may have accepted orders that were meant for the one before it.
//!
//! Runs that a report of the earlier incarnation has listed ended with it. All others may be
//! executing on either one or may still start on the new one. They are looked for in the
//! reports of the new incarnation, and their tasks start again once it doesn't have them.

use super::crash::Suspicion;
use super::{Scheduler, SchedulerEvent};
use crate::job::endpoint::{Departure, Endpoint};
use crate::job::fence::Fence;
use crate::job::run::Phase;
use crate::job::{EndpointKey, Registration, RunKey};
use crate::time::Instant;

/// Why runs are considered gone that ended with an earlier incarnation.
const REASON: &str = "a newer incarnation started";

impl Scheduler {
    /// Adds an endpoint that isn't known yet.
    pub(super) fn add_endpoint(
        &mut self,
        now: Instant,
        registration: Registration,
    ) -> EndpointKey {
        self.events.push(SchedulerEvent::EndpointUp {
            endpoint: registration.id.clone(),
            pool: registration.pool.clone(),
            born: registration.born,
        });
        self.arrivals.register_pool(&registration.pool);
        let id = registration.id.clone();
        let endpoint = Endpoint::new(registration, self.new_fence(now), now);
        let key = self.endpoints.insert(endpoint);
        self.endpoints_by_id.insert(id, key);
        self.update_evacuated(key);
        self.update_accepts_overload(key);
        self.update_cold(now, key);
        key
    }

    /// Replaces an endpoint by a newer incarnation with the same identity, and returns its key.
    /// Runs that the newer incarnation may be executing stay with it.
    pub(super) fn replace_incarnation(
        &mut self,
        now: Instant,
        key: EndpointKey,
        registration: Registration,
    ) -> EndpointKey {
        let departure = self.departure(key);
        let suspicions = self.suspicions(now, key, departure);
        let runs = self.endpoints[key].runs.iter().copied();
        let (undecided, lost): (Vec<RunKey>, Vec<RunKey>) =
            runs.partition(|&run| self.may_be_on_newer_incarnation(run));
        self.events.push(SchedulerEvent::EndpointRestarted {
            endpoint: registration.id.clone(),
            lost: lost.len(),
            undecided: undecided.len(),
            reply_age: self.endpoints[key].reply_age(now),
        });
        let lost_tasks: Vec<_> = lost.iter().map(|&run| self.runs[run].task).collect();
        for run in lost {
            self.release_departed(now, run, departure, REASON);
        }
        let successor = self.add_endpoint(now, registration);
        self.hand_over_state(now, key, successor);
        for run in undecided {
            let task = self.runs[run].task;
            let suspicion = suspicions.iter().find(|known| Some(known.task) == task);
            self.move_run(now, run, successor, suspicion.copied());
        }
        self.forget_endpoint(key);
        let of_lost = suspicions
            .into_iter()
            .filter(|suspicion| lost_tasks.contains(&Some(suspicion.task)));
        self.record_suspicions(now, &of_lost.collect::<Vec<_>>());
        successor
    }

    /// Returns the fence of an endpoint that is added. If endpoints have been forgotten in this term,
    /// an acknowledgement to one with the same identity may still be executed.
    pub(super) fn new_fence(&self, now: Instant) -> Fence {
        Fence::new(self.newest_revision, now, self.has_forgotten_endpoints)
    }

    /// Returns whether a run of a restarted endpoint may be executing on the newer incarnation,
    /// or may still start there.
    fn may_be_on_newer_incarnation(&self, run: RunKey) -> bool {
        let run = &self.runs[run];
        !run.is_reported && !matches!(run.phase, Phase::Planned(_))
    }

    /// Passes on what holds for an endpoint across a restart.
    fn hand_over_state(
        &mut self,
        now: Instant,
        key: EndpointKey,
        successor: EndpointKey,
    ) {
        let earlier = &self.endpoints[key];
        let (host, lease_bound) = (earlier.host.clone(), earlier.lease_bound);
        let mut fence = earlier.fence;
        if earlier.ends.is_in_flight() {
            fence.use_up();
        }
        let unregistered_since = earlier.unregistered_since;
        let is_unreadable = earlier.is_registration_unreadable;
        let restart_bound = self.restart_bound(now);
        let endpoint = &mut self.endpoints[successor];
        endpoint.host = host;
        endpoint.extend_lease_bound(lease_bound.max(restart_bound));
        endpoint.unregistered_since = unregistered_since;
        endpoint.is_registration_unreadable = is_unreadable;
        endpoint.fence = fence;
    }

    /// Moves a run to the newer incarnation of its endpoint. `suspicion` is what it says about
    /// the task if the run turns out to have ended with the earlier one.
    fn move_run(
        &mut self,
        now: Instant,
        key: RunKey,
        successor: EndpointKey,
        suspicion: Option<Suspicion>,
    ) {
        let run = &mut self.runs[key];
        let earlier = std::mem::replace(&mut run.endpoint, successor);
        run.suspicion = run.suspicion.or(suspicion);
        if matches!(run.phase, Phase::StopSent(_) | Phase::StopAcknowledged(_)) {
            // The earlier incarnation may have received the order to stop, and the newer one
            // the order to start.
            run.phase = Phase::Stopping(now);
        }
        let reserved = run.reserved;
        if let Some(endpoint) = self.endpoints.get_mut(earlier) {
            endpoint.runs.remove(&key);
            endpoint.used.subtract(&reserved);
        }
        let endpoint = &mut self.endpoints[successor];
        endpoint.runs.insert(key);
        endpoint.used.add(&reserved);
    }

    /// Releases a run that its endpoint doesn't have, and that may have ended with an earlier
    /// incarnation of the endpoint. Returns what that says about its task.
    pub(super) fn release_missing(
        &mut self,
        now: Instant,
        key: RunKey,
        reason: &'static str,
    ) -> Option<Suspicion> {
        let suspicion = self.runs.get(key).and_then(|run| run.suspicion);
        if suspicion.is_some() {
            self.release_departed(now, key, Departure::Crashed, REASON);
        } else {
            self.release(now, key, reason);
        }
        suspicion
    }
}
