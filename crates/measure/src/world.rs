//! Entry hosts, endpoints and the time between them, on a virtual clock.

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

use endpoint::{Endpoint, Run};
pub use entry::Policy;
use entry::{Entry, Fate, Started};

/// One way between hosts of one zone.
const ZONE_INNER_DELAY: Duration = Duration::from_micros(100);
/// Part of an interval between the reports of one entry host and the next.
const PHASE_STEP: f64 = 0.618;
/// How long an endpoint that fails everything takes for it.
const FAILURE_TIME: Duration = Duration::from_millis(5);

/// What is varied between runs.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub seed: u64,
    /// Between two reports of usage; none are sent if zero.
    pub heartbeat: Duration,
    /// From the sending of a report to its arrival.
    pub report_lag: Duration,
    /// Whether entry hosts lend each other slots.
    pub loans: bool,
    /// Whether one host of each pool fails everything, from a third of the time on.
    pub failing_hosts: bool,
    /// Whether one host of each pool has half of the slots it declares.
    pub small_hosts: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Request(usize),
    Arrive(HostKey, Run),
    Complete(HostKey, Run),
    Answer {
        run: Run,
        good: bool,
    },
    Heartbeat(usize),
    Report {
        from: usize,
        to: usize,
        usage: Vec<Usage>,
        loans: Vec<Loan>,
    },
    Wake(usize),
}

/// One run of one policy over one script.
#[derive(Debug)]
pub struct World<'a> {
    deployment: &'a Deployment,
    requests: &'a [Request],
    settings: Settings,
    entries: Vec<Entry>,
    endpoints: SecondaryMap<HostKey, Endpoint>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    bodies: Vec<Option<Event>>,
    wakes: Vec<Option<Instant>>,
    begun: Vec<bool>,
    stats: Stats,
    now: Instant,
}

impl<'a> World<'a> {
    pub fn new(
        deployment: &'a Deployment,
        requests: &'a [Request],
        policy: Policy,
        settings: Settings,
    ) -> Self {
        let entries = Entry::all(deployment, policy, settings.seed);
        let slots: Vec<u32> = deployment.services.iter().map(|one| one.slots).collect();
        let workspaces = deployment.fleet.workspaces.iter();
        let shares: Vec<u32> = workspaces
            .map(|(_, _, workspace)| workspace.share)
            .collect();
        let mut world = Self {
            deployment,
            requests,
            settings,
            wakes: vec![None; entries.len()],
            entries,
            endpoints: endpoint::all(deployment, &settings),
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            begun: vec![false; requests.len()],
            stats: Stats::new(&slots, &shares),
            now: Instant::ZERO,
        };
        world.schedule_first();
        world
    }

    /// Runs until every request has ended, and returns the figures.
    pub fn run(mut self) -> Stats {
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            let body = self.bodies[number as usize].take();
            if let Some(event) = body {
                self.handle(event);
            }
        }
        self.stats
    }

    fn schedule_first(&mut self) {
        if !self.requests.is_empty() {
            self.schedule(self.requests[0].arrival, Event::Request(0));
        }
        let heartbeat = self.settings.heartbeat;
        if heartbeat.is_zero() || self.entries.len() < 2 {
            return;
        }
        for entry in 0..self.entries.len() {
            let phase = heartbeat.mul_f64((entry as f64 * PHASE_STEP).fract());
            self.schedule(Instant::ZERO + phase, Event::Heartbeat(entry));
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.events.push(Reverse((at, self.bodies.len() as u64)));
        self.bodies.push(Some(event));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(index) => self.request(index),
            Event::Arrive(host, run) => self.arrive(host, run),
            Event::Complete(host, run) => self.complete(host, run),
            Event::Answer { run, good } => self.answer(run, good),
            Event::Heartbeat(from) => self.heartbeat(from),
            Event::Report {
                from,
                to,
                usage,
                loans,
            } => {
                let name = &self.deployment.members[from].entry;
                self.entries[to].absorb(self.now, name, usage);
                self.entries[to].borrow(self.now, &loans);
                self.pump(to);
            }
            Event::Wake(entry) => {
                self.wakes[entry] = None;
                self.pump(entry);
            }
        }
    }

    fn request(&mut self, index: usize) {
        if let Some(next) = self.requests.get(index + 1) {
            self.schedule(next.arrival, Event::Request(index + 1));
        }
        let request = &self.requests[index];
        let entry = request.entry_selector as usize % self.entries.len();
        self.stats.record_submission(request.class);
        let admitted =
            self.entries[entry].submit(self.now, self.deployment, index, request);
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
        self.pump(entry);
    }

    /// Carries out what an entry host decides now.
    fn pump(&mut self, entry: usize) {
        for index in self.entries[entry].expire(self.now) {
            self.count(index, -1, 0);
            self.stats.record_expiry(self.requests[index].class);
        }
        while let Some(Started { index, host }) = self.entries[entry].next_start(self.now)
        {
            self.count(index, -1, 1);
            let sent = self.now;
            let run = Run { index, entry, sent };
            let delay = self.delay(entry, host);
            self.schedule(self.now + delay, Event::Arrive(host, run));
        }
        self.schedule_wake(entry);
    }

    fn schedule_wake(&mut self, entry: usize) {
        let Some(at) = self.entries[entry].next_wake() else {
            return;
        };
        let at = at.max(self.now + Duration::from_micros(1));
        if self.wakes[entry].is_none_or(|known| known > at) {
            self.wakes[entry] = Some(at);
            self.schedule(at, Event::Wake(entry));
        }
    }

    fn arrive(&mut self, host: HostKey, run: Run) {
        match self.endpoints[host].try_begin(run) {
            true => self.begin(host, run),
            false => self.stats.queued_at_endpoint += 1,
        }
    }

    fn begin(&mut self, host: HostKey, run: Run) {
        let request = &self.requests[run.index];
        if !std::mem::replace(&mut self.begun[run.index], true) {
            let wait = self.now.saturating_since(request.arrival);
            self.stats.record_start(request.class, wait);
        }
        let span = match self.fails(host) {
            true => FAILURE_TIME,
            false => request.run_time,
        };
        self.schedule(self.now + span, Event::Complete(host, run));
    }

    fn complete(&mut self, host: HostKey, run: Run) {
        let good = !self.fails(host);
        let delay = self.delay(run.entry, host);
        self.schedule(self.now + delay, Event::Answer { run, good });
        if let Some(next) = self.endpoints[host].finish() {
            self.begin(host, next);
        }
    }

    fn answer(&mut self, run: Run, good: bool) {
        let entry = &mut self.entries[run.entry];
        let fate = match good {
            true => {
                let latency = self.now.saturating_since(run.sent);
                let status = Status::Success;
                entry.finish(self.now, run.index, Outcome::Answered { status, latency });
                Fate::Ended
            }
            false => entry.retry(self.now, run.index, Verdict::MayHaveRun),
        };
        match fate {
            Fate::Ended => self.count(run.index, 0, -1),
            Fate::Waits => self.count(run.index, 1, -1),
        }
        if !good && fate == Fate::Ended {
            self.stats.failed += 1;
        }
        self.pump(run.entry);
    }

    fn heartbeat(&mut self, from: usize) {
        let usage = self.entries[from].usage();
        let loans = match self.settings.loans {
            true => self.entries[from].lend(self.now),
            false => Vec::new(),
        };
        self.stats.loans += loans.len() as u64;
        self.stats.reports += 1;
        self.stats.report_rows += usage.len() as u64;
        for to in 0..self.entries.len() {
            if to != from {
                let at = self.now + self.settings.report_lag;
                let usage = usage.clone();
                let name = &self.deployment.members[to].entry;
                let loans = loans.iter().filter(|loan| loan.to == *name);
                let loans = loans.cloned().collect();
                self.schedule(
                    at,
                    Event::Report {
                        from,
                        to,
                        usage,
                        loans,
                    },
                );
            }
        }
        let last = self
            .requests
            .last()
            .map_or(Instant::ZERO, |request| request.deadline);
        if self.now < last {
            let at = self.now + self.settings.heartbeat;
            self.schedule(at, Event::Heartbeat(from));
        }
    }

    fn count(&mut self, index: usize, waiting: i32, running: i32) {
        let request = &self.requests[index];
        self.stats.change_counts(
            self.now,
            request.service,
            request.workspace,
            waiting,
            running,
        );
    }

    fn fails(&self, host: HostKey) -> bool {
        let last = self
            .requests
            .last()
            .map_or(Instant::ZERO, |request| request.arrival);
        self.endpoints[host].fails && self.now.as_micros() * 3 > last.as_micros()
    }

    fn delay(&self, entry: usize, host: HostKey) -> Duration {
        if self.entries.len() == 1 {
            return Duration::ZERO;
        }
        let member = &self.deployment.members[entry];
        let zone = self.deployment.fleet.zones.find(&member.zone);
        match zone == Some(self.endpoints[host].zone) {
            true => ZONE_INNER_DELAY,
            false => self.deployment.zone_delay,
        }
    }
}
