//! An endpoint on the virtual clock.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rhubarbrill_core::job::scheduler::{
    ActiveRun, EndedRun, Hold, HoldOutcome, OrderOutcome, Pace, Rejection, RunReport,
    Start, Stop,
};
use rhubarbrill_core::job::{Registration, Resource, RunEnd, Step, TaskName};
use rhubarbrill_core::time::Instant;

/// Age of the tail latency that a report shows: it covers half a second, and a look waits for
/// up to three quarters of one.
const GAUGE_AGE: Duration = Duration::from_millis(1_250);

/// Tail latency of a task whose users nothing disturbs, in milliseconds.
const QUIET_TAIL_MS: u64 = 20;

/// How an endpoint treats orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// Orders and answers arrive.
    Good,
    /// Orders don't arrive.
    Cut,
    /// Orders are carried out and the answers lost.
    AnswersLost,
    /// Starts get no answer and arrive this much later, in milliseconds.
    LateStarts(u64),
}

/// A run at an endpoint.
#[derive(Clone, Debug)]
pub struct Live {
    pub name: TaskName,
    pub number: u64,
    started_at: Instant,
    pub ends_at: Option<Instant>,
    pub reserved: Resource,
    /// Bound on its users' tail latency in milliseconds; 0 for none.
    target_ms: u64,
    best_effort: bool,
    /// Share of full speed, in percent.
    pub pace: u32,
}

impl Live {
    /// Returns the part of the work that is done; tasks that last are at work at once.
    fn percent(&self, now: Instant) -> u32 {
        let Some(ends_at) = self.ends_at else {
            return 100;
        };
        let whole = ends_at.saturating_since(self.started_at).as_micros().max(1);
        let done = now.saturating_since(self.started_at).as_micros();
        u32::try_from(done * 100 / whole).unwrap_or(100).min(99)
    }
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub report: Registration,
    pub link: Link,
    pub host: String,
    pub live: Vec<Live>,
    /// Starts that are still to arrive.
    pub late: Vec<(Instant, Start)>,
    /// Whether every run fails at its end.
    pub fails: bool,
    /// What every start is rejected with, if anything.
    pub rejects: Option<Rejection>,
    /// How many times longer than estimated runs take.
    pub slowness: u32,
    /// What each task that takes leftover processor time adds at full speed to the tail
    /// latency of the others' users, in milliseconds.
    pub disturbance_ms: u64,
    ended: Vec<EndedRun>,
    sequence: u64,
    fence: u64,
    lease_end_ms: u64,
    stopped: BTreeMap<String, u64>,
    tails: VecDeque<(Instant, u64)>,
    above_since: Option<Instant>,
}

impl Endpoint {
    /// Returns an endpoint that runs nothing yet.
    pub fn new(report: Registration, host: String) -> Self {
        Self {
            report,
            link: Link::Good,
            host,
            live: Vec::new(),
            late: Vec::new(),
            fails: false,
            rejects: None,
            slowness: 1,
            disturbance_ms: 0,
            ended: Vec::new(),
            sequence: 0,
            fence: 0,
            lease_end_ms: 0,
            stopped: BTreeMap::new(),
            tails: VecDeque::new(),
            above_since: None,
        }
    }

    /// Returns what its runs take.
    pub fn used(&self) -> Resource {
        let mut used = Resource::default();
        for live in &self.live {
            used.add(&live.reserved);
        }
        used
    }

    /// Rejects an order.
    pub fn reject(&self, now: Instant, rejection: Rejection) -> OrderOutcome {
        OrderOutcome::Rejected(rejection, Some(clock_ms(now)))
    }

    /// Carries out an order to start a task of a step.
    pub fn start(&mut self, now: Instant, order: &Start, step: &Step) -> OrderOutcome {
        let task = order.name.to_string();
        if let Some(rejection) = self.rejects {
            return self.reject(now, rejection);
        }
        if order.fencing_token < self.fence {
            return self.reject(now, Rejection::Fenced);
        }
        self.fence = order.fencing_token;
        let highest = self.stopped.get(&task);
        if highest.is_some_and(|&number| order.number <= number) {
            return self.reject(now, Rejection::StaleNumber);
        }
        if order.lease_end_ms < clock_ms(now) {
            return self.reject(now, Rejection::LeaseExpired);
        }
        self.lease_end_ms = self.lease_end_ms.max(order.lease_end_ms);
        if !step.reserved().fits(&self.used(), &self.report.capacity) {
            return self.reject(now, Rejection::NoCapacity);
        }
        let span = Duration::from_millis(step.estimate_ms) * self.slowness;
        self.live.push(Live {
            name: order.name.clone(),
            number: order.number,
            started_at: now,
            ends_at: (!step.long_running).then(|| now + span),
            reserved: step.reserved(),
            target_ms: step.latency_target_ms,
            best_effort: step.best_effort,
            pace: 100,
        });
        OrderOutcome::Done(Some(clock_ms(now)))
    }

    /// Carries out an order to stop a run.
    pub fn stop(&mut self, now: Instant, order: &Stop) -> OrderOutcome {
        if order.fencing_token < self.fence {
            return self.reject(now, Rejection::Fenced);
        }
        let highest = self.stopped.entry(order.name.to_string()).or_default();
        *highest = (*highest).max(order.number);
        let found = self
            .live
            .iter()
            .position(|live| live.name == order.name && live.number == order.number);
        if let Some(found) = found {
            let live = self.live.remove(found);
            self.end(&live, RunEnd::Stopped);
        }
        OrderOutcome::Done(Some(clock_ms(now)))
    }

    /// Carries out an order to change a run's pace.
    pub fn pace(&mut self, now: Instant, order: &Pace) -> OrderOutcome {
        if order.fencing_token < self.fence {
            return self.reject(now, Rejection::Fenced);
        }
        let mut runs = self.live.iter_mut();
        if let Some(live) = runs.find(|live| live.name == order.name) {
            live.pace = order.percent;
        }
        OrderOutcome::Done(Some(clock_ms(now)))
    }

    /// Renews the leases and reports what runs and what ended.
    pub fn hold(&mut self, now: Instant, order: &Hold) -> HoldOutcome {
        if order.fencing_token < self.fence {
            return HoldOutcome::NotReported(self.reject(now, Rejection::Fenced));
        }
        self.fence = order.fencing_token;
        if let Some(end) = order.lease_end_ms {
            self.lease_end_ms = self.lease_end_ms.max(end);
        }
        self.ended.retain(|row| row.sequence > order.acknowledged);
        let tail = self.reported_tail(now);
        let row = |live: &Live| ActiveRun {
            name: live.name.clone(),
            number: live.number,
            checkpoint: String::new(),
            percent: live.percent(now),
            gauge: if live.target_ms > 0 { tail } else { 0 },
        };
        HoldOutcome::Reported(RunReport {
            born: Some(self.report.born),
            clock_ms: clock_ms(now),
            running: self.live.iter().map(row).collect(),
            ended: self.ended.clone(),
        })
    }

    /// Lets runs end whose time or lease is over, and returns those that are done.
    pub fn advance(&mut self, now: Instant) -> Vec<TaskName> {
        let lapsed = clock_ms(now) > self.lease_end_ms;
        let mut over = Vec::new();
        self.live.retain(|live| {
            let ended = live.ends_at.is_some_and(|at| at <= now);
            if lapsed || ended {
                let outcome = match (ended, self.fails) {
                    (false, _) => RunEnd::Lapsed,
                    (true, true) => RunEnd::Failed,
                    (true, false) => RunEnd::Done,
                };
                over.push((live.clone(), outcome));
            }
            !(lapsed || ended)
        });
        for (live, outcome) in &over {
            self.end(live, *outcome);
        }
        let done = over
            .into_iter()
            .filter(|(_, outcome)| *outcome == RunEnd::Done);
        done.map(|(live, _)| live.name).collect()
    }

    /// Returns the late starts that arrive now.
    pub fn take_late(&mut self, now: Instant) -> Vec<Start> {
        let (due, late) = self.late.drain(..).partition(|(at, _)| *at <= now);
        self.late = late;
        due.into_iter().map(|(_, start)| start).collect()
    }

    /// Measures the tail latency, and returns for how long it has been above a target that
    /// would be kept without the tasks that disturb.
    pub fn measure_tail(&mut self, now: Instant) -> Duration {
        let fills = self.live.iter().filter(|live| live.best_effort);
        let disturbance: u64 = fills
            .map(|live| self.disturbance_ms * u64::from(live.pace) / 100)
            .sum();
        let tail = QUIET_TAIL_MS + disturbance;
        self.tails.push_back((now, tail));
        let above = self
            .live
            .iter()
            .any(|live| live.target_ms > 0 && tail > live.target_ms);
        if above {
            self.above_since.get_or_insert(now);
        } else {
            self.above_since = None;
        }
        self.above_since
            .map_or(Duration::ZERO, |since| now.saturating_since(since))
    }

    fn reported_tail(&mut self, now: Instant) -> u64 {
        while self
            .tails
            .get(1)
            .is_some_and(|(at, _)| now.saturating_since(*at) >= GAUGE_AGE)
        {
            self.tails.pop_front();
        }
        self.tails.front().map_or(0, |(_, tail)| *tail)
    }

    fn end(&mut self, live: &Live, outcome: RunEnd) {
        self.sequence += 1;
        let highest = self.stopped.entry(live.name.to_string()).or_default();
        *highest = (*highest).max(live.number);
        self.ended.push(EndedRun {
            sequence: self.sequence,
            name: live.name.clone(),
            number: live.number,
            outcome,
            checkpoint: String::new(),
        });
    }
}

fn clock_ms(now: Instant) -> u64 {
    now.as_micros() / 1_000
}
