//! Simulates entry hosts, endpoints and the network between them on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rhubarbrill_core::fleet::HostKey;
use rhubarbrill_core::gate::{Loan, Outcome, Status, Usage};
use rhubarbrill_core::time::Instant;
use rhubarbrill_core::verdict::Verdict;
use slotmap::SecondaryMap;

use crate::demand::Request;
use crate::deployment::Deployment;
use crate::stats::Stats;

mod endpoint;
mod entry;

use endpoint::{Attempt, Endpoint};
pub use entry::Policy;
use entry::{EntryHost, RetryOutcome, StartedRequest};

/// One-way network delay between hosts of one availability zone.
const INTRA_ZONE_DELAY: Duration = Duration::from_micros(100);
/// Offset between the usage reports of consecutive entry hosts, as a fraction of the
/// interval; it spreads the reports over the interval.
const HEARTBEAT_PHASE_STEP: f64 = 0.618;
/// Run time of a request at a failing endpoint.
const FAILED_RUN_TIME: Duration = Duration::from_millis(5);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Seed of the gates' random choices.
    pub seed: u64,
    /// Time between two usage reports of an entry host; zero disables reports.
    pub heartbeat: Duration,
    /// Time from the sending of a usage report to its arrival.
    pub report_lag: Duration,
    /// Whether entry hosts lend slots to each other.
    pub loans: bool,
    /// Whether one host of each pool fails every request from a third of the time on.
    pub failing_hosts: bool,
    /// Whether one host of each pool has half of its declared slots.
    pub small_hosts: bool,
}

/// An event on the virtual clock.
#[derive(Clone, Debug)]
enum Event {
    /// The request with this index reaches its entry host.
    Submit(usize),
    /// An attempt reaches the endpoint on this host.
    Arrive(HostKey, Attempt),
    /// An attempt ends at the endpoint on this host.
    Complete(HostKey, Attempt),
    /// The response to an attempt reaches its entry host.
    Response { attempt: Attempt, succeeded: bool },
    /// The entry host with this index sends its usage report.
    Heartbeat(usize),
    /// A usage report and loans of one entry host reach another.
    UsageReport {
        from: usize,
        to: usize,
        usage: Vec<Usage>,
        loans: Vec<Loan>,
    },
    /// The entry host with this index makes decisions that are due by time.
    Wake(usize),
}

/// A run of one policy over generated requests.
#[derive(Debug)]
pub struct Simulation<'a> {
    deployment: &'a Deployment,
    requests: &'a [Request],
    settings: Settings,
    entry_hosts: Vec<EntryHost>,
    endpoints: SecondaryMap<HostKey, Endpoint>,
    /// Time of each scheduled event and its index in `event_bodies`, earliest first.
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Every event ever scheduled; `None` once it has been handled.
    event_bodies: Vec<Option<Event>>,
    /// Earliest scheduled wake of each entry host.
    scheduled_wakes: Vec<Option<Instant>>,
    /// Whether each request has started at an endpoint; retries don't count as starts.
    started: Vec<bool>,
    stats: Stats,
    now: Instant,
}

impl<'a> Simulation<'a> {
    pub fn new(
        deployment: &'a Deployment,
        requests: &'a [Request],
        policy: Policy,
        settings: Settings,
    ) -> Self {
        let entry_hosts = EntryHost::build_all(deployment, policy, settings.seed);
        let slots: Vec<u32> = deployment
            .services
            .iter()
            .map(|service| service.slots)
            .collect();
        let workspaces = deployment.fleet.workspaces.iter();
        let shares: Vec<u32> = workspaces
            .map(|(_, _, workspace)| workspace.share)
            .collect();
        let mut simulation = Self {
            deployment,
            requests,
            settings,
            scheduled_wakes: vec![None; entry_hosts.len()],
            entry_hosts,
            endpoints: endpoint::build_all(deployment, &settings),
            events: BinaryHeap::new(),
            event_bodies: Vec::new(),
            started: vec![false; requests.len()],
            stats: Stats::new(&slots, &shares),
            now: Instant::ZERO,
        };
        simulation.schedule_initial_events();
        simulation
    }

    /// Runs until no events are left and returns the statistics.
    pub fn run(mut self) -> Stats {
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            let event_body = self.event_bodies[number as usize].take();
            if let Some(event) = event_body {
                self.handle(event);
            }
        }
        self.stats
    }

    /// Schedules the first request and the first usage report of each entry host.
    fn schedule_initial_events(&mut self) {
        if !self.requests.is_empty() {
            self.schedule(self.requests[0].arrival, Event::Submit(0));
        }
        let heartbeat = self.settings.heartbeat;
        if heartbeat.is_zero() || self.entry_hosts.len() < 2 {
            return;
        }
        for entry in 0..self.entry_hosts.len() {
            let phase = heartbeat.mul_f64((entry as f64 * HEARTBEAT_PHASE_STEP).fract());
            self.schedule(Instant::ZERO + phase, Event::Heartbeat(entry));
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.events
            .push(Reverse((at, self.event_bodies.len() as u64)));
        self.event_bodies.push(Some(event));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(index) => self.handle_submission(index),
            Event::Arrive(host, attempt) => self.handle_arrival(host, attempt),
            Event::Complete(host, attempt) => self.handle_completion(host, attempt),
            Event::Response { attempt, succeeded } => {
                self.handle_response(attempt, succeeded);
            }
            Event::Heartbeat(from) => self.send_usage_report(from),
            Event::UsageReport {
                from,
                to,
                usage,
                loans,
            } => {
                let member_name = &self.deployment.members[from].entry;
                self.entry_hosts[to].apply_usage_report(self.now, member_name, usage);
                self.entry_hosts[to].borrow(self.now, &loans);
                self.run_decisions(to);
            }
            Event::Wake(entry) => {
                self.scheduled_wakes[entry] = None;
                self.run_decisions(entry);
            }
        }
    }

    /// Submits a request to its entry host and schedules the next request.
    fn handle_submission(&mut self, index: usize) {
        if let Some(next) = self.requests.get(index + 1) {
            self.schedule(next.arrival, Event::Submit(index + 1));
        }
        let request = &self.requests[index];
        let entry = request.entry_selector as usize % self.entry_hosts.len();
        self.stats.record_submission(request.class);
        let admitted =
            self.entry_hosts[entry].submit(self.now, self.deployment, index, request);
        match admitted {
            true => self.stats.change_counts(
                self.now,
                request.service,
                request.workspace,
                1,
                0,
            ),
            false => self.stats.record_refusal(request.class),
        }
        self.run_decisions(entry);
    }

    /// Expires and starts requests at an entry host as it decides now.
    fn run_decisions(&mut self, entry: usize) {
        for index in self.entry_hosts[entry].expire(self.now) {
            self.change_counts(index, -1, 0);
            self.stats.record_expiry(self.requests[index].class);
        }
        while let Some(StartedRequest { index, host }) =
            self.entry_hosts[entry].next_start(self.now)
        {
            self.change_counts(index, -1, 1);
            let sent = self.now;
            let attempt = Attempt { index, entry, sent };
            let network_delay = self.network_delay(entry, host);
            self.schedule(self.now + network_delay, Event::Arrive(host, attempt));
        }
        self.schedule_wake(entry);
    }

    /// Schedules the next wake of an entry host, unless an earlier one is scheduled.
    ///
    /// A wake is at least 1 us ahead, so that the clock advances.
    fn schedule_wake(&mut self, entry: usize) {
        let Some(at) = self.entry_hosts[entry].next_wake() else {
            return;
        };
        let at = at.max(self.now + Duration::from_micros(1));
        if self.scheduled_wakes[entry].is_none_or(|scheduled| scheduled > at) {
            self.scheduled_wakes[entry] = Some(at);
            self.schedule(at, Event::Wake(entry));
        }
    }

    /// Starts an attempt at an endpoint, or counts that it queues there.
    fn handle_arrival(&mut self, host: HostKey, attempt: Attempt) {
        match self.endpoints[host].start_or_queue(attempt) {
            true => self.start_attempt(host, attempt),
            false => self.stats.queued_at_endpoint += 1,
        }
    }

    /// Schedules the end of an attempt, and records the wait if it is the request's
    /// first.
    fn start_attempt(&mut self, host: HostKey, attempt: Attempt) {
        let request = &self.requests[attempt.index];
        if !std::mem::replace(&mut self.started[attempt.index], true) {
            let wait = self.now.saturating_since(request.arrival);
            self.stats.record_start(request.class, wait);
        }
        let run_time = match self.is_failing(host) {
            true => FAILED_RUN_TIME,
            false => request.run_time,
        };
        self.schedule(self.now + run_time, Event::Complete(host, attempt));
    }

    /// Sends the response to an attempt and starts the next queued one.
    fn handle_completion(&mut self, host: HostKey, attempt: Attempt) {
        let succeeded = !self.is_failing(host);
        let network_delay = self.network_delay(attempt.entry, host);
        self.schedule(
            self.now + network_delay,
            Event::Response { attempt, succeeded },
        );
        if let Some(next) = self.endpoints[host].finish() {
            self.start_attempt(host, next);
        }
    }

    /// Reports the outcome of an attempt to its entry host, which may retry a failed one.
    fn handle_response(&mut self, attempt: Attempt, succeeded: bool) {
        let entry_host = &mut self.entry_hosts[attempt.entry];
        let outcome = match succeeded {
            true => {
                let latency = self.now.saturating_since(attempt.sent);
                let status = Status::Success;
                entry_host.finish(
                    self.now,
                    attempt.index,
                    Outcome::Answered { status, latency },
                );
                RetryOutcome::Ended
            }
            false => entry_host.retry(self.now, attempt.index, Verdict::MayHaveRun),
        };
        match outcome {
            RetryOutcome::Ended => self.change_counts(attempt.index, 0, -1),
            RetryOutcome::Requeued => self.change_counts(attempt.index, 1, -1),
        }
        if !succeeded && outcome == RetryOutcome::Ended {
            self.stats.failed += 1;
        }
        self.run_decisions(attempt.entry);
    }

    /// Sends an entry host's usage report and loans to all others, and schedules the next
    /// report until the deadline of the last request.
    fn send_usage_report(&mut self, from: usize) {
        let usage = self.entry_hosts[from].usage();
        let loans = match self.settings.loans {
            true => self.entry_hosts[from].lend(self.now),
            false => Vec::new(),
        };
        self.stats.loans += loans.len() as u64;
        self.stats.reports += 1;
        self.stats.report_rows += usage.len() as u64;
        for to in 0..self.entry_hosts.len() {
            if to != from {
                let at = self.now + self.settings.report_lag;
                let usage = usage.clone();
                let member_name = &self.deployment.members[to].entry;
                let loans = loans.iter().filter(|loan| loan.to == *member_name);
                let loans = loans.cloned().collect();
                self.schedule(
                    at,
                    Event::UsageReport {
                        from,
                        to,
                        usage,
                        loans,
                    },
                );
            }
        }
        let last_deadline = self
            .requests
            .last()
            .map_or(Instant::ZERO, |request| request.deadline);
        if self.now < last_deadline {
            let at = self.now + self.settings.heartbeat;
            self.schedule(at, Event::Heartbeat(from));
        }
    }

    /// Changes the numbers of waiting and running requests to which a request belongs.
    fn change_counts(&mut self, index: usize, waiting: i32, running: i32) {
        let request = &self.requests[index];
        self.stats.change_counts(
            self.now,
            request.service,
            request.workspace,
            waiting,
            running,
        );
    }

    /// Returns whether the endpoint on a host fails requests now.
    fn is_failing(&self, host: HostKey) -> bool {
        let last_arrival = self
            .requests
            .last()
            .map_or(Instant::ZERO, |request| request.arrival);
        self.endpoints[host].may_fail
            && self.now.as_micros() * 3 > last_arrival.as_micros()
    }

    /// Returns the one-way network delay between an entry host and a host; none if there
    /// is a single entry host.
    fn network_delay(&self, entry: usize, host: HostKey) -> Duration {
        if self.entry_hosts.len() == 1 {
            return Duration::ZERO;
        }
        let member = &self.deployment.members[entry];
        let zone = self.deployment.fleet.zones.find(&member.zone);
        match zone == Some(self.endpoints[host].zone) {
            true => INTRA_ZONE_DELAY,
            false => self.deployment.zone_delay,
        }
    }
}
