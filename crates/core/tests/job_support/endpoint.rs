//! Simulated endpoint on the virtual clock.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rhubarbrill_core::job::scheduler::{
    ActiveRun, Coverage, EndedRun, Hold, HoldOutcome, OrderOutcome, Pace, Rejection,
    RunReport, Start, Stop,
};
use rhubarbrill_core::job::{Registration, Resource, RunEnd, Step, TaskName};
use rhubarbrill_core::time::Instant;

/// Age of the tail latency in a report. The measurement covers half a second, and up to
/// three quarters of a second pass until it is read.
const REPORTED_TAIL_AGE: Duration = Duration::from_millis(1_250);

/// Longest lease that an endpoint grants, in milliseconds of its clock.
const MAX_LEASE_MS: u64 = 6_000;

/// Tail latency of a task without interference from other tasks, in milliseconds.
const BASE_TAIL_MS: u64 = 20;

/// Condition of the connection between the leader and an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// Orders and replies arrive.
    Healthy,
    /// Orders don't arrive.
    Unreachable,
    /// Orders are executed, and their replies are lost.
    RepliesLost,
    /// Start orders get no reply and arrive after the given delay, in milliseconds.
    DelayedStarts(u64),
    /// Every start order of which the number is a multiple of the given one gets no reply
    /// and arrives late. All other orders are executed.
    SomeStartsDelayed(usize),
    /// Stop orders get no reply and may still arrive later. Other orders are executed.
    StopsPending,
    /// Holds that acknowledge ends get no reply and arrive after the given delay, in
    /// milliseconds. All other orders are executed.
    DelayedAcknowledgements(u64),
}

/// An active run on an endpoint.
#[derive(Clone, Debug)]
pub struct SimulatedRun {
    pub name: TaskName,
    pub number: u64,
    started_at: Instant,
    pub ends_at: Option<Instant>,
    pub reserved: Resource,
    /// Target for the tail latency of the task's users, in milliseconds; 0 if there is
    /// none.
    target_ms: u64,
    best_effort: bool,
    pub image: String,
    /// Permitted speed, in percent of full speed.
    pub pace: u32,
}

impl SimulatedRun {
    /// Returns the completed part of the work in percent: at most 99 for a run with a
    /// limited run time, and always 100 for a long-running task.
    fn percent(&self, now: Instant) -> u32 {
        let Some(ends_at) = self.ends_at else {
            return 100;
        };
        let total = ends_at.saturating_since(self.started_at).as_micros().max(1);
        let elapsed = now.saturating_since(self.started_at).as_micros();
        u32::try_from(elapsed * 100 / total).unwrap_or(100).min(99)
    }
}

/// A simulated endpoint, which executes orders and reports its runs.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub report: Registration,
    /// Registration that the store holds from before a restart; `None` if it holds `report`.
    pub stale_report: Option<Registration>,
    /// Resources that its runs may reserve now. The registration may still name others.
    pub capacity: Resource,
    /// Whether it rejects starts that exceed its capacity.
    pub enforces_capacity: bool,
    /// Number of starts that exceeded its capacity.
    pub overloads: usize,
    /// Whether its capacity has changed since its start.
    pub is_resized: bool,
    pub link: Link,
    pub host: String,
    pub active_runs: Vec<SimulatedRun>,
    /// Start orders that are still in flight, each with the time at which it arrives.
    pub delayed_starts: Vec<(Instant, Start)>,
    /// Holds that are still in flight, each with the time at which it arrives.
    pub delayed_holds: Vec<(Instant, Hold)>,
    /// Number of start orders that were sent here.
    pub start_orders: usize,
    /// Number of runs that failed.
    pub failures: usize,
    /// Whether each run fails when its run time is over.
    pub fail_runs: bool,
    /// Reason with which each start order is rejected; `None` if starts are accepted.
    pub start_rejection: Option<Rejection>,
    /// Factor by which runs take longer than estimated.
    pub slowdown: u32,
    /// Actual run time as a share of the estimate, in percent.
    pub run_time_percent: u32,
    /// Amount that each best-effort task at full speed adds to the tail latency of the
    /// other tasks, in milliseconds.
    pub interference_ms: u64,
    /// Checkpoint that each run reports.
    pub checkpoint: String,
    /// The same amount for images that differ from `interference_ms`.
    pub interference_by_image_ms: BTreeMap<String, u64>,
    /// Tail latency without interference, in milliseconds.
    pub base_tail_ms: u64,
    /// Largest number of ends in one report.
    pub max_reported_ends: usize,
    /// Whether it checks that acknowledgements name only ends that it has reported.
    pub checks_acknowledgements: bool,
    ended_runs: Vec<EndedRun>,
    sequence: u64,
    /// Highest sequence number among the ends that were reported.
    reported_sequence: u64,
    highest_fencing_token: u64,
    /// When its clock started from zero.
    clock_start: Instant,
    /// Time that its clock counts in a second, in milliseconds.
    pub clock_rate: u64,
    lease_end_ms: u64,
    /// Highest run number of each task that has ended or was ordered to stop.
    highest_ended_numbers: BTreeMap<String, u64>,
    tail_samples: VecDeque<(Instant, u64)>,
    above_since: Option<Instant>,
}

impl Endpoint {
    /// Returns an endpoint without runs that accepts all orders.
    pub fn new(report: Registration, host: String) -> Self {
        Self {
            capacity: report.capacity,
            enforces_capacity: true,
            overloads: 0,
            is_resized: false,
            report,
            stale_report: None,
            link: Link::Healthy,
            host,
            active_runs: Vec::new(),
            delayed_starts: Vec::new(),
            delayed_holds: Vec::new(),
            start_orders: 0,
            failures: 0,
            fail_runs: false,
            start_rejection: None,
            slowdown: 1,
            run_time_percent: 100,
            interference_ms: 0,
            checkpoint: String::new(),
            interference_by_image_ms: BTreeMap::new(),
            base_tail_ms: BASE_TAIL_MS,
            max_reported_ends: usize::MAX,
            checks_acknowledgements: true,
            ended_runs: Vec::new(),
            sequence: 0,
            reported_sequence: 0,
            highest_fencing_token: 0,
            clock_start: Instant::ZERO,
            clock_rate: 1_000,
            lease_end_ms: 0,
            highest_ended_numbers: BTreeMap::new(),
            tail_samples: VecDeque::new(),
            above_since: None,
        }
    }

    /// Starts a new incarnation under the same identity, which knows nothing of the one
    /// before. The store doesn't show it yet.
    pub fn restart(&mut self, now: Instant) {
        self.stale_report.get_or_insert_with(|| self.report.clone());
        self.report.born += 1;
        self.active_runs.clear();
        self.ended_runs.clear();
        self.sequence = 0;
        self.reported_sequence = 0;
        self.highest_fencing_token = 0;
        self.clock_start = now;
        self.lease_end_ms = 0;
        self.highest_ended_numbers.clear();
    }

    /// Returns the resources reserved for the active runs.
    pub fn used(&self) -> Resource {
        let mut used = Resource::default();
        for run in &self.active_runs {
            used.add(&run.reserved);
        }
        used
    }

    /// Returns the reading of its clock, in milliseconds.
    pub fn clock_ms(&self, now: Instant) -> u64 {
        let elapsed_ms = now.saturating_since(self.clock_start).as_millis();
        u64::try_from(elapsed_ms).unwrap_or(u64::MAX) * self.clock_rate / 1_000
    }

    /// Extends the lease to a reading of its clock, as far as it grants one.
    fn extend_lease(&mut self, now: Instant, end_ms: u64) {
        let latest = self.clock_ms(now) + MAX_LEASE_MS;
        self.lease_end_ms = self.lease_end_ms.max(end_ms.min(latest));
    }

    /// Returns the outcome of an order rejected for the given reason.
    pub fn reject(&self, now: Instant, rejection: Rejection) -> OrderOutcome {
        OrderOutcome::Rejected(rejection, Some(self.clock_ms(now)))
    }

    /// Executes an order to start a task of the given step.
    pub fn start(&mut self, now: Instant, order: &Start, step: &Step) -> OrderOutcome {
        let task = order.name.to_string();
        if let Some(rejection) = self.start_rejection {
            return self.reject(now, rejection);
        }
        if order.fencing_token < self.highest_fencing_token {
            return self.reject(now, Rejection::Fenced);
        }
        self.highest_fencing_token = order.fencing_token;
        let highest_ended = self.highest_ended_numbers.get(&task);
        if highest_ended.is_some_and(|&number| order.number <= number) {
            return self.reject(now, Rejection::StaleNumber);
        }
        if order.lease_end_ms < self.clock_ms(now) {
            return self.reject(now, Rejection::LeaseExpired);
        }
        self.extend_lease(now, order.lease_end_ms);
        if !step.reserved().fits(&self.used(), &self.capacity) {
            if self.enforces_capacity {
                return self.reject(now, Rejection::NoCapacity);
            }
            self.overloads += 1;
        }
        let estimated = Duration::from_millis(step.estimate_ms);
        let run_time = estimated * self.slowdown * self.run_time_percent / 100;
        self.active_runs.push(SimulatedRun {
            name: order.name.clone(),
            number: order.number,
            started_at: now,
            ends_at: (!step.long_running).then(|| now + run_time),
            reserved: step.reserved(),
            target_ms: step.latency_target_ms,
            best_effort: step.best_effort,
            image: step.image.clone(),
            pace: 100,
        });
        OrderOutcome::Done(Some(self.clock_ms(now)))
    }

    /// Executes an order to stop a run.
    pub fn stop(&mut self, now: Instant, order: &Stop) -> OrderOutcome {
        if order.fencing_token < self.highest_fencing_token {
            return self.reject(now, Rejection::Fenced);
        }
        let highest = self
            .highest_ended_numbers
            .entry(order.name.to_string())
            .or_default();
        *highest = (*highest).max(order.number);
        let found = self
            .active_runs
            .iter()
            .position(|run| run.name == order.name && run.number == order.number);
        if let Some(found) = found {
            let run = self.active_runs.remove(found);
            self.end(&run, RunEnd::Stopped);
        }
        OrderOutcome::Done(Some(self.clock_ms(now)))
    }

    /// Executes an order to change the pace of a run.
    pub fn pace(&mut self, now: Instant, order: &Pace) -> OrderOutcome {
        if order.fencing_token < self.highest_fencing_token {
            return self.reject(now, Rejection::Fenced);
        }
        let mut runs = self.active_runs.iter_mut();
        if let Some(run) = runs.find(|run| run.name == order.name) {
            run.pace = order.percent;
        }
        OrderOutcome::Done(Some(self.clock_ms(now)))
    }

    /// Renews the lease, forgets acknowledged ends, and reports the active and ended
    /// runs.
    pub fn hold(&mut self, now: Instant, order: &Hold) -> HoldOutcome {
        if order.fencing_token < self.highest_fencing_token {
            return HoldOutcome::NotReported(self.reject(now, Rejection::Fenced));
        }
        self.highest_fencing_token = order.fencing_token;
        if let Some(end) = order.lease_end_ms {
            self.extend_lease(now, end);
        }
        self.forget_ends(order.acknowledged);
        let tail = self.reported_tail(now);
        let most = self.max_reported_ends.min(self.ended_runs.len());
        let reported = &self.ended_runs[..most];
        self.reported_sequence =
            reported.last().map_or(self.sequence, |end| end.sequence);
        let active_run = |run: &SimulatedRun| ActiveRun {
            name: run.name.clone(),
            number: run.number,
            checkpoint: self.checkpoint.clone(),
            percent: run.percent(now),
            gauge: if run.target_ms > 0 { tail } else { 0 },
        };
        HoldOutcome::Reported(RunReport {
            born: Some(self.report.born),
            clock_ms: self.clock_ms(now),
            running: self.active_runs.iter().map(active_run).collect(),
            ended: reported.to_vec(),
            coverage: if most < self.max_reported_ends {
                Coverage::Complete
            } else {
                Coverage::Cut
            },
        })
    }

    /// Forgets the acknowledged ends, which the endpoint must have reported.
    fn forget_ends(&mut self, acknowledged: u64) {
        let unseen = self.unreported_ends().next().map(TaskName::to_string);
        let first_unseen = self.reported_sequence + 1;
        assert!(
            !self.checks_acknowledgements
                || unseen.is_none()
                || acknowledged < first_unseen,
            "{} forgets the end of {unseen:?}, which it hasn't reported",
            self.report.id,
        );
        self.ended_runs
            .retain(|ended| ended.sequence > acknowledged);
    }

    /// Returns whether a run has ended since the ends that a hold acknowledges.
    pub const fn has_end_after(&self, acknowledged: u64) -> bool {
        self.sequence > acknowledged
    }

    /// Returns the tasks of which an end wasn't reported.
    pub fn unreported_ends(&self) -> impl Iterator<Item = &TaskName> {
        let ended = self.ended_runs.iter();
        ended
            .filter(|ended| ended.sequence > self.reported_sequence)
            .map(|ended| &ended.name)
    }

    /// Ends the run of a task.
    pub fn end_task(&mut self, task: &str, outcome: RunEnd) {
        let is_of_task = |run: &SimulatedRun| run.name.to_string() == task;
        let Some(found) = self.active_runs.iter().position(is_of_task) else {
            return;
        };
        let run = self.active_runs.remove(found);
        self.failures += usize::from(outcome == RunEnd::Failed);
        self.end(&run, outcome);
    }

    /// Makes runs take `factor` times as long, also what is left of the active ones.
    pub fn slow_down(&mut self, now: Instant, factor: u32) {
        self.slowdown = factor;
        for run in &mut self.active_runs {
            let left = run.ends_at.map(|at| at.saturating_since(now));
            run.ends_at = left.map(|left| now + left * factor);
        }
    }

    /// Returns whether the lease of its runs has expired.
    pub fn is_lease_expired(&self, now: Instant) -> bool {
        self.clock_ms(now) > self.lease_end_ms
    }

    /// Returns the tasks of which an end wasn't acknowledged.
    pub fn unacknowledged_ends(&self) -> impl Iterator<Item = &TaskName> {
        self.ended_runs.iter().map(|ended| &ended.name)
    }

    /// Ends the runs whose run time is over or whose lease has expired, and returns the
    /// tasks that completed.
    pub fn advance(&mut self, now: Instant) -> Vec<TaskName> {
        let lease_expired = self.is_lease_expired(now);
        let mut ended = Vec::new();
        self.active_runs.retain(|run| {
            let elapsed = run.ends_at.is_some_and(|at| at <= now);
            if lease_expired || elapsed {
                let outcome = match (elapsed, self.fail_runs) {
                    (false, _) => RunEnd::Lapsed,
                    (true, true) => RunEnd::Failed,
                    (true, false) => RunEnd::Done,
                };
                ended.push((run.clone(), outcome));
            }
            !(lease_expired || elapsed)
        });
        for (run, outcome) in &ended {
            self.failures += usize::from(*outcome == RunEnd::Failed);
            self.end(run, *outcome);
        }
        let completed = ended
            .into_iter()
            .filter(|(_, outcome)| *outcome == RunEnd::Done);
        completed.map(|(run, _)| run.name).collect()
    }

    /// Removes and returns the delayed start orders that have arrived.
    pub fn take_due_starts(&mut self, now: Instant) -> Vec<Start> {
        let (due, remaining) = self
            .delayed_starts
            .drain(..)
            .partition(|(at, _)| *at <= now);
        self.delayed_starts = remaining;
        due.into_iter().map(|(_, start)| start).collect()
    }

    /// Executes the delayed holds that have arrived. Nobody receives their reports.
    pub fn execute_due_holds(&mut self, now: Instant) {
        let delayed = self.delayed_holds.drain(..);
        let (due, remaining): (Vec<_>, Vec<_>) = delayed.partition(|(at, _)| *at <= now);
        self.delayed_holds = remaining;
        for (_, order) in due {
            self.hold(now, &order);
        }
    }

    /// Records a sample of the tail latency, and returns for how long it has exceeded the
    /// target of any task. Without best-effort tasks it would meet every target.
    pub fn measure_tail_latency(&mut self, now: Instant) -> Duration {
        let best_effort = self.active_runs.iter().filter(|run| run.best_effort);
        let interference_ms: u64 = best_effort
            .map(|run| self.interference_of(run) * u64::from(run.pace) / 100)
            .sum();
        let tail = self.base_tail_ms + interference_ms;
        self.tail_samples.push_back((now, tail));
        let above = self
            .active_runs
            .iter()
            .any(|run| run.target_ms > 0 && tail > run.target_ms);
        if above {
            self.above_since.get_or_insert(now);
        } else {
            self.above_since = None;
        }
        self.above_since
            .map_or(Duration::ZERO, |since| now.saturating_since(since))
    }

    fn interference_of(&self, run: &SimulatedRun) -> u64 {
        let by_image = self.interference_by_image_ms.get(&run.image);
        by_image.copied().unwrap_or(self.interference_ms)
    }

    fn reported_tail(&mut self, now: Instant) -> u64 {
        while self
            .tail_samples
            .get(1)
            .is_some_and(|(at, _)| now.saturating_since(*at) >= REPORTED_TAIL_AGE)
        {
            self.tail_samples.pop_front();
        }
        self.tail_samples.front().map_or(0, |(_, tail)| *tail)
    }

    fn end(&mut self, run: &SimulatedRun, outcome: RunEnd) {
        self.sequence += 1;
        let highest = self
            .highest_ended_numbers
            .entry(run.name.to_string())
            .or_default();
        *highest = (*highest).max(run.number);
        self.ended_runs.push(EndedRun {
            sequence: self.sequence,
            name: run.name.clone(),
            number: run.number,
            outcome,
            checkpoint: self.checkpoint.clone(),
        });
    }
}
