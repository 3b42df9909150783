//! Crashes of endpoints, some of which are caused by the tasks that start on them.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::HostState;
use rhubarbrill_core::time::Instant;

use super::{Link, Simulation};

/// Time that an endpoint takes to come up after a crash.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Tasks that crash endpoints, and the crashes so far.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Names of the tasks that crash each endpoint that starts them.
    pub culprits: Vec<String>,
    /// Time from the start of such a task to the crash.
    pub delay: Duration,
    /// Endpoints that are about to crash, each with the time of its crash.
    due: Vec<(Instant, String)>,
    /// Number of crashes that the platform's list of hosts is not to show from now on.
    pub hidden: usize,
    /// Time after which a crashed endpoint starts again under its identity; `None` if it starts
    /// under a new one. The orders that make endpoints crash get no answer then.
    pub restarts_after: Option<Duration>,
    /// Endpoints that start again under their identity, each with the time.
    due_restarts: Vec<(Instant, String)>,
    /// Crashes so far, in order: time, endpoint.
    pub observed: Vec<(Instant, String)>,
}

impl Simulation {
    /// Makes these tasks crash each endpoint that starts them.
    pub fn add_culprits(&mut self, tasks: &[String]) {
        self.crashes.culprits.extend_from_slice(tasks);
    }

    /// Schedules the crash of an endpoint that has just started a task which causes one.
    pub(super) fn observe_start(&mut self, task: &str, endpoint: &str) {
        if self.crashes.culprits.iter().any(|culprit| culprit == task) {
            let at = self.now + self.crashes.delay;
            self.crashes.due.push((at, endpoint.to_owned()));
        }
    }

    pub(super) fn crash_due_endpoints(&mut self) {
        let now = self.now;
        let (due, remaining) = self.crashes.due.drain(..).partition(|(at, _)| *at <= now);
        self.crashes.due = remaining;
        for (_, endpoint) in due {
            self.crash(&endpoint);
        }
        let restarts = self.crashes.due_restarts.drain(..);
        let (due, remaining) = restarts.partition(|(at, _)| *at <= now);
        self.crashes.due_restarts = remaining;
        for (_, id) in due {
            self.restart_behind_cut(&id);
            let endpoint = self.endpoints.get_mut(&id);
            endpoint.expect("the endpoint exists").link = Link::Healthy;
        }
    }

    /// Returns whether the order to start a task gets no answer, as its endpoint crashes.
    pub(super) fn is_start_unanswered(&self, task: &str) -> bool {
        let culprits = &self.crashes.culprits;
        self.crashes.restarts_after.is_some()
            && culprits.iter().any(|culprit| culprit == task)
    }

    /// Ends what an endpoint executes, and starts it again under its identity some time later.
    fn crash_and_restart(&mut self, id: &str, after: Duration) {
        self.crash_unlisted(id);
        let at = self.now + after;
        self.crashes.due_restarts.push((at, id.to_owned()));
    }

    /// Ends what an endpoint executes and makes it unreachable, while the platform goes on
    /// listing it.
    fn crash_unlisted(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.active_runs.clear();
        endpoint.link = Link::Unreachable;
        self.crashes.observed.push((self.now, id.to_owned()));
    }

    /// Lets the tasks start again whose ends the leader hasn't acknowledged to an endpoint.
    pub fn discount_unacknowledged_ends(&mut self, id: &str) {
        for name in self.endpoints[id].unacknowledged_ends() {
            self.completed_tasks.remove(&name.to_string());
        }
    }

    /// Restarts an endpoint under its identity while it is cut off from the store.
    pub fn restart_behind_cut(&mut self, id: &str) {
        let endpoint = self.endpoints.get_mut(id).expect("the endpoint exists");
        // Nobody learns of these ends, so the tasks have to start again.
        for name in endpoint.unreported_ends() {
            self.completed_tasks.remove(&name.to_string());
        }
        endpoint.restart(self.now);
    }

    /// Ends an endpoint without notice, and starts a new one on its host some seconds later.
    pub fn crash(&mut self, id: &str) {
        if let Some(after) = self.crashes.restarts_after {
            return self.crash_and_restart(id, after);
        }
        if self.crashes.hidden > 0 {
            self.crashes.hidden -= 1;
            return self.crash_unlisted(id);
        }
        let Some(endpoint) = self.endpoints.remove(id) else {
            return;
        };
        // Nobody learns of these ends, so the tasks have to start again.
        for name in endpoint.unreported_ends() {
            self.completed_tasks.remove(&name.to_string());
        }
        self.crashes.observed.push((self.now, id.to_owned()));
        let host = self.hosts.get_mut(&endpoint.host);
        let host = host.expect("the host of an endpoint exists");
        host.state = HostState::Down;
        host.endpoint = None;
        let pool = host.pool.clone();
        let end = self.now + RESTART_TIME;
        self.hosts_in_transition
            .insert(endpoint.host, (end, pool, HostState::Down));
        self.expiring_registrations
            .push((self.now + super::REGISTRATION_TTL, endpoint.report));
    }
}
