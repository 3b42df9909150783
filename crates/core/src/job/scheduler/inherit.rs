//! Takes over the runs that an earlier leader assigned to endpoints.
//!
//! Each run is saved before its start order is sent, so a new leader knows every task
//! that may be executing, and where. Until an endpoint has reported, or the longest lease
//! has expired, its tasks count as running. All other tasks may start immediately.

use std::time::Duration;

use super::Scheduler;
use super::crash::Suspicion;
use crate::job::clock::Clock;
use crate::job::endpoint::Endpoint;
use crate::job::record::{AssignedEndpoint, AssignedRun};
use crate::job::run::Run;
use crate::job::{EndpointKey, JobKey, Registration, Resource, TaskRef};
use crate::time::Instant;

impl Scheduler {
    /// Takes over a run from the saved progress of its job.
    pub(super) fn inherit(&mut self, now: Instant, job: JobKey, assigned: AssignedRun) {
        let task = TaskRef {
            job,
            occurrence: assigned.occurrence,
            step: assigned.step,
            index: assigned.index,
        };
        if self.jobs[job].task(task).is_none_or(|task| task.done) {
            return;
        }
        let endpoint = self.find_or_add_endpoint(now, &assigned.member);
        // If the endpoint has restarted since the run was assigned to it, the order to start may
        // have reached either incarnation.
        let has_restarted =
            self.endpoints[endpoint].registration.born > assigned.member.born;
        let suspicion = has_restarted.then(|| Suspicion::inherited(task));
        let step = self.step(task);
        let name = self.task_name(task);
        let run = self.runs.insert(Run {
            task: Some(task),
            workspace: self.jobs[job].record.workspace.clone(),
            reserved: step.reserved(),
            demand: step.demand,
            suspicion,
            probation: self.probation_of(task),
            ..Run::inherited(now, name, assigned.number, endpoint)
        });
        self.attach(run);
        let bound = self.term_began_at + self.options.inherited_bound;
        self.endpoints[endpoint].extend_lease_bound(bound);
    }

    /// Returns the endpoint that a run was assigned to, which may have restarted since. An
    /// endpoint that isn't known yet is added.
    pub(super) fn find_or_add_endpoint(
        &mut self,
        now: Instant,
        member: &AssignedEndpoint,
    ) -> EndpointKey {
        if let Some(&key) = self.endpoints_by_id.get(&member.id) {
            let endpoint = &mut self.endpoints[key];
            if endpoint.registration.born < member.born {
                // The registration is from before a restart that the earlier leader knew of.
                endpoint.registration.born = member.born;
                endpoint.registration.clock_ms = 0;
                endpoint.clock = Clock::new(0, now);
            }
            if endpoint.host.is_none() {
                endpoint.host.clone_from(&member.host);
            }
            return key;
        }
        let registration = Registration {
            id: member.id.clone(),
            born: member.born,
            pool: member.pool.clone(),
            address: member.address,
            zone: String::new(),
            labels: Vec::new(),
            capacity: Resource::default(),
            draining: false,
            cold_remaining: Duration::ZERO,
            clock_ms: 0,
        };
        let mut endpoint = Endpoint::new(registration, self.new_fence(now), now);
        endpoint.unregistered_since = Some(now);
        endpoint.host.clone_from(&member.host);
        let key = self.endpoints.insert(endpoint);
        self.endpoints_by_id.insert(member.id.clone(), key);
        key
    }
}
