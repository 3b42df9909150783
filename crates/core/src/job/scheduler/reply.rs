//! Processes replies to orders that start and stop runs.

use std::time::Duration;

use super::outcome::{OrderOutcome, Rejection};
use super::{Scheduler, SchedulerEvent};
use crate::job::clock::Continuity;
use crate::job::endpoint::{Doubt, Reachability};
use crate::job::run::Phase;
use crate::job::{EndpointKey, RunKey};
use crate::time::Instant;

/// Pause before an endpoint that didn't answer is contacted again.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Time for which an endpoint that reported itself unhealthy receives no new runs.
const UNHEALTHY_PAUSE: Duration = Duration::from_secs(1);

/// Time for which an endpoint that rejected a run for lack of capacity receives no new
/// runs.
const CAPACITY_PAUSE: Duration = Duration::from_millis(200);

/// Pause of a task that every endpoint would reject.
const REJECTED_PAUSE: Duration = Duration::from_secs(1);

/// Amount added to the run number when an endpoint has seen a higher number than
/// expected.
const RUN_NUMBER_STEP: u64 = 100;

impl Scheduler {
    /// Handles the result of a start order.
    pub fn handle_start_outcome(
        &mut self,
        now: Instant,
        key: RunKey,
        outcome: OrderOutcome,
    ) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (endpoint, phase, sent) = (run.endpoint, run.phase, run.sent_at);
        self.handle_reply(now, endpoint, sent, outcome);
        match outcome {
            OrderOutcome::Done(_) => {
                self.begin_job_of(now, key);
                if phase == Phase::Starting {
                    self.runs[key].phase = Phase::Running(now);
                }
            }
            OrderOutcome::Unknown => self.start_unanswered(now, key),
            OrderOutcome::Replaced => {}
            OrderOutcome::NotSent => self.not_started(now, key, "not sent"),
            OrderOutcome::Unreachable => self.not_started(now, key, "no connection"),
            OrderOutcome::Rejected(reason, _) => self.start_rejected(now, key, reason),
        }
    }

    fn start_unanswered(&mut self, now: Instant, key: RunKey) {
        let run = &mut self.runs[key];
        if run.phase == Phase::Starting {
            run.phase = Phase::Unconfirmed;
        }
        let endpoint = run.endpoint;
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.next_hold = now;
        }
        self.record_not_started(key, "no answer");
    }

    fn start_rejected(&mut self, now: Instant, key: RunKey, rejection: Rejection) {
        let endpoint_key = self.runs[key].endpoint;
        if rejection == Rejection::Unhealthy {
            self.observe_failure(now, endpoint_key);
        }
        let endpoint = &mut self.endpoints[endpoint_key];
        let number = self.runs[key].number;
        match rejection {
            Rejection::Fenced => {
                let sent = self.runs[key].sent_at;
                self.handle_fenced(now, endpoint_key, sent);
            }
            Rejection::Unhealthy => endpoint.no_placement_until = now + UNHEALTHY_PAUSE,
            Rejection::NoCapacity => endpoint.no_placement_until = now + CAPACITY_PAUSE,
            Rejection::StaleNumber => {
                let task = self.runs[key].task;
                if let Some(task) = task
                    && let Some(task_state) = self.jobs[task.job].task_mut(task)
                {
                    task_state.last_run = task_state
                        .last_run
                        .max(number.saturating_add(RUN_NUMBER_STEP));
                }
            }
            Rejection::Malformed => endpoint.no_placement_until = now + UNHEALTHY_PAUSE,
            Rejection::NoPermission => self.drop_ticket(key),
            Rejection::LeaseExpired => {}
        }
        self.pause_task(now, key, rejection);
        self.not_started(now, key, rejection.as_str());
    }

    /// Delays a task that would be rejected again immediately, whichever endpoint it is
    /// sent to.
    fn pause_task(&mut self, now: Instant, key: RunKey, rejection: Rejection) {
        let pause = match rejection {
            Rejection::Malformed => REJECTED_PAUSE,
            Rejection::NoPermission if self.needs_permission(key) => return,
            Rejection::NoPermission => REJECTED_PAUSE,
            Rejection::Fenced
            | Rejection::LeaseExpired
            | Rejection::NoCapacity
            | Rejection::StaleNumber
            | Rejection::Unhealthy => return,
        };
        let task = self.runs[key].task;
        if let Some(task) = task
            && let Some(task_state) = self.jobs[task.job].task_mut(task)
        {
            task_state.not_before = now + pause;
        }
    }

    /// Returns whether a run needs the placement policy's permission.
    fn needs_permission(&self, key: RunKey) -> bool {
        let task = self.runs[key].task;
        task.is_some_and(|task| self.policy_of(task.job).is_some())
    }

    fn drop_ticket(&mut self, key: RunKey) {
        let run = &self.runs[key];
        if let Some(task) = run.task {
            self.permissions.drop_ticket(task.into(), run.endpoint);
        }
    }

    fn not_started(&mut self, now: Instant, key: RunKey, reason: &'static str) {
        self.record_not_started(key, reason);
        let number = self.runs[key].number;
        if let Some(task) = self.remove_run(now, key) {
            self.stop_gang(now, Some(task), number, "a member of its gang didn't start");
            self.drop_if_finished(now, task.job);
        }
    }

    fn record_not_started(&mut self, key: RunKey, reason: &'static str) {
        let run = &self.runs[key];
        self.events.push(SchedulerEvent::NotStarted {
            name: run.name.clone(),
            number: run.number,
            endpoint: self.endpoint_id(run.endpoint),
            reason,
        });
    }

    /// Handles the result of a stop order.
    pub fn handle_stop_outcome(
        &mut self,
        now: Instant,
        key: RunKey,
        outcome: OrderOutcome,
    ) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let endpoint = run.endpoint;
        let sent = match run.phase {
            Phase::StopSent(sent) => sent,
            _ => now,
        };
        run.phase = match outcome {
            OrderOutcome::Done(_) => Phase::StopAcknowledged(now),
            _ => Phase::Stopping(now + RETRY_PAUSE),
        };
        if let OrderOutcome::Rejected(Rejection::Fenced, _) = outcome {
            self.handle_fenced(now, endpoint, sent);
        }
        self.handle_reply(now, endpoint, sent, outcome);
        if let Some(endpoint) = self.endpoints.get_mut(endpoint)
            && matches!(outcome, OrderOutcome::Done(_))
        {
            endpoint.next_hold = now;
        }
    }

    /// Handles the rejection of an order that was sent at `sent` for its fencing token. Unless a
    /// later order of this leader has overtaken it, there is a later leader.
    pub(super) fn handle_fenced(
        &mut self,
        now: Instant,
        key: EndpointKey,
        sent: Instant,
    ) {
        match self.endpoints.get_mut(key) {
            Some(endpoint) if endpoint.fence.is_superseded(sent) => {
                endpoint.next_hold = endpoint.next_hold.min(now);
            }
            Some(_) | None => self.deposed = true,
        }
    }

    /// Updates the state of an endpoint from the result of an order, other than a hold,
    /// that was sent at `sent`.
    ///
    /// One order without an answer doesn't make an endpoint unreachable. It would keep
    /// other tasks off the endpoint until the hold in flight returns, which may wait there
    /// for seconds.
    pub(super) fn handle_reply(
        &mut self,
        now: Instant,
        key: EndpointKey,
        sent: Instant,
        outcome: OrderOutcome,
    ) {
        if outcome != OrderOutcome::Unknown {
            self.update_reachability(now, key, sent, outcome);
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        match endpoint.record_unanswered(now, sent) {
            Doubt::None => {}
            Doubt::New => {
                endpoint.silent_since.get_or_insert(now);
                endpoint.reachability = Reachability::Doubtful;
                endpoint.next_hold = now;
            }
            Doubt::Settled => self.update_reachability(now, key, sent, outcome),
        }
    }

    /// Records a reading of an endpoint's clock in a reply to an order that was sent at `sent`.
    fn read_clock(
        &mut self,
        now: Instant,
        key: EndpointKey,
        sent: Instant,
        clock_ms: u64,
    ) {
        let restart_bound = self.restart_bound(now);
        let endpoint = &mut self.endpoints[key];
        if endpoint.clock.record_reply(clock_ms, sent, now) == Continuity::Broken {
            endpoint.extend_lease_bound(restart_bound);
        }
        self.shorten_cold(now, key);
    }

    /// Updates the state of an endpoint from a reply to an order that was sent at `sent`, or
    /// from the lack of one that shows that the endpoint can't be reached.
    pub(super) fn update_reachability(
        &mut self,
        now: Instant,
        key: EndpointKey,
        sent: Instant,
        outcome: OrderOutcome,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        match outcome {
            OrderOutcome::Done(clock) | OrderOutcome::Rejected(_, clock) => {
                if let Some(clock_ms) = clock {
                    self.read_clock(now, key, sent, clock_ms);
                }
                let endpoint = &mut self.endpoints[key];
                endpoint.replied_at = Some(now);
                endpoint.silent_since = None;
                if endpoint.reachability == Reachability::Doubtful {
                    endpoint.next_hold = now;
                    endpoint.reachability = Reachability::Reachable;
                }
                if let Reachability::Unreachable(_) = endpoint.reachability {
                    endpoint.next_hold = now;
                    self.events.push(SchedulerEvent::EndpointRegained {
                        endpoint: endpoint.registration.id.clone(),
                    });
                    endpoint.reachability = Reachability::Reachable;
                }
            }
            OrderOutcome::Unknown | OrderOutcome::Unreachable => {
                endpoint.silent_since.get_or_insert(now);
                if !matches!(endpoint.reachability, Reachability::Unreachable(_)) {
                    endpoint.reachability = Reachability::Unreachable(now);
                    self.events.push(SchedulerEvent::EndpointLost {
                        endpoint: endpoint.registration.id.clone(),
                        reason: "no answer",
                        runs: endpoint.runs.len(),
                    });
                }
            }
            OrderOutcome::Replaced => {
                self.end_incarnation(now, key, "another endpoint answers at its address");
            }
            OrderOutcome::NotSent => {}
        }
    }
}
