//! Interference: keeps images apart that slow each other down on one endpoint.
//!
//! Pacing (`pace`) keeps the latency targets, on each endpoint anew. This module learns
//! from the same reports which best-effort images harm which images with a latency target,
//! so that placement can avoid such pairs and best-effort tasks needn't be slowed down.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Scheduler, SchedulerEvent};
use crate::job::run::Phase;
use crate::job::{EndpointKey, Feature, Resource, RunKey, Step, TaskRef};
use crate::time::Instant;

mod evidence;
mod pairs;

pub use pairs::{Change, ForgetReason, Observation, Pair, Pairs};

/// Time that a tail latency covers. Reports that follow sooner describe the same requests,
/// and don't count as further evidence.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between the requests that a reported tail latency covers and its report:
/// it covers half a second and is read up to three quarters of a second later.
const REPORT_LAG: Duration = Duration::from_millis(1_250);

/// Shortest time between a change of the dose and a report that shows it. The change takes
/// a tenth of a second to have an effect, and fills half of the tail's window after another
/// quarter.
const MIN_REPORT_LAG: Duration = Duration::from_millis(350);

/// Largest change of the dose during the time that a report may cover with which it still
/// counts, relative to the largest dose. With larger changes the tail latency belongs to
/// one dose and the mean to another: an image that added 20 times the target wasn't found,
/// since pacing changes its speed all the time.
const MAX_DOSE_CHANGE: f64 = 0.5;

/// Dose whose changes are always small.
const SMALL_DOSE: f64 = 0.1;

/// Expected harm that makes one class in placement, in percent of the target. Classes keep
/// small changes of the estimates from undoing the packing of tasks.
const HARM_CLASS_PERCENT: f64 = 25.0;

/// Time between two rounds in which runs are moved apart.
const SEPARATION_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of runs that one round moves.
const MAX_SEPARATIONS: usize = 8;

/// Time during which a task that was moved is not moved again. It is the half-life of the
/// evidence.
const MOVE_PAUSE: Duration = Duration::from_secs(15);

/// Work that a move must save, in time at full speed: twice what a stop, a new start and
/// the work since the last report cost together.
const MIN_GAIN: Duration = Duration::from_secs(4);

/// Number of best-effort runs by image; a run at half speed counts half.
type Doses = BTreeMap<String, f64>;

/// Recent doses on one endpoint.
#[derive(Debug, Default)]
struct History {
    /// Doses, each with the time from which it applied. The oldest entry may lie before
    /// the time that reports cover.
    changes: VecDeque<(Instant, Doses)>,
    observed_at: Option<Instant>,
}

impl History {
    fn record(&mut self, now: Instant, adjusted_at: Option<Instant>, doses: Doses) {
        let last = self.changes.back();
        if last.is_some_and(|(_, known)| *known == doses) {
            return;
        }
        let since = last.map_or(now, |&(at, _)| {
            adjusted_at.filter(|&adjusted| adjusted > at).unwrap_or(now)
        });
        self.changes.push_back((since, doses));
        let covered = |at: Instant| now.saturating_since(at) >= REPORT_LAG;
        while self.changes.get(1).is_some_and(|&(at, _)| covered(at)) {
            self.changes.pop_front();
        }
    }

    /// Returns the mean doses over the time that a report covers, or `None` if they
    /// changed too much or aren't known for all of that time.
    fn mean(&self, now: Instant) -> Option<Doses> {
        let begin = now.saturating_sub(REPORT_LAG);
        let end = now.saturating_sub(MIN_REPORT_LAG);
        let (first, _) = self.changes.front()?;
        if *first > begin {
            return None;
        }
        let images = self.changes.iter().flat_map(|(_, doses)| doses.keys());
        let mut means = Doses::new();
        for image in images {
            if !means.contains_key(image) {
                means.insert(image.clone(), self.mean_of(begin, end, image)?);
            }
        }
        Some(means)
    }

    fn mean_of(&self, begin: Instant, end: Instant, image: &str) -> Option<f64> {
        let (mut least, mut most) = (f64::INFINITY, 0.0_f64);
        let mut total = 0.0;
        let span = end.saturating_since(begin);
        let mut end = end;
        for (at, doses) in self.changes.iter().rev() {
            if *at >= end {
                continue;
            }
            let dose = doses.get(image).copied().unwrap_or(0.0);
            let since = (*at).max(begin);
            total += dose * end.saturating_since(since).as_secs_f64();
            least = least.min(dose);
            most = most.max(dose);
            if *at <= begin {
                break;
            }
            end = *at;
        }
        let is_steady = most - least <= MAX_DOSE_CHANGE * most.max(SMALL_DOSE);
        is_steady.then(|| total / span.as_secs_f64())
    }
}

/// State of this module.
#[derive(Debug, Default)]
pub(super) struct Interference {
    pairs: Pairs,
    histories: BTreeMap<EndpointKey, History>,
    /// When the last round that moves runs apart took place; `None` before the first one.
    separated_at: Option<Instant>,
    /// When tasks were last moved.
    moved_at: BTreeMap<TaskRef, Instant>,
}

/// A run that is to be moved away from the tasks that it slows down.
struct Separation {
    run: RunKey,
    endpoint: EndpointKey,
    /// Endpoint with room and less harm.
    destination: EndpointKey,
    harm: f64,
}

impl Scheduler {
    /// Learns from an endpoint's report, which has just been processed.
    pub(super) fn learn_interference(&mut self, now: Instant, key: EndpointKey) {
        if !self.has_feature(Feature::Interference) {
            return;
        }
        let victims = self.reported_tails(now, key);
        if victims.is_empty() {
            self.interference.histories.remove(&key);
            return;
        }
        let Some(doses) = self.current_doses(key) else {
            self.interference.histories.remove(&key);
            return;
        };
        let adjusted_at = self.pace_control.adjusted_at(key);
        let history = self.interference.histories.entry(key).or_default();
        history.record(now, adjusted_at, doses);
        let is_recent = history
            .observed_at
            .is_some_and(|at| now.saturating_since(at) < OBSERVATION_INTERVAL);
        if is_recent {
            return;
        }
        let Some(doses) = history.mean(now) else {
            return;
        };
        history.observed_at = Some(now);
        let mut changes = Vec::new();
        for (victim, tail_percent) in &victims {
            let observation = Observation {
                endpoint: key,
                victim,
                tail_percent: *tail_percent,
                doses: &doses,
            };
            changes.extend(self.interference.pairs.observe(now, &observation));
        }
        self.log_pair_changes(changes);
    }

    /// Returns the expected harm of a task on an endpoint: what the best-effort tasks there
    /// add to its tail latency, or what it adds to that of others. The unit is a quarter
    /// of the latency target.
    pub(super) fn expected_harm(&self, key: EndpointKey, task: TaskRef) -> u64 {
        if self.interference.pairs.is_empty() {
            return 0;
        }
        harm_class(self.harm_percent(key, task))
    }

    /// Moves best-effort runs away from the tasks that they slow down, where another
    /// endpoint has room and the gain covers the cost.
    pub(super) fn separate_runs(&mut self, now: Instant) {
        if !self.has_feature(Feature::Interference) {
            return;
        }
        let last = self.interference.separated_at;
        if last.is_some_and(|at| now.saturating_since(at) < SEPARATION_INTERVAL) {
            return;
        }
        if last.is_none() {
            self.events.push(SchedulerEvent::InterferenceReset);
        }
        self.interference.separated_at = Some(now);
        self.expire_interference(now);
        if self.interference.pairs.is_empty() {
            return;
        }
        let mut used = BTreeMap::new();
        let mut moved = 0;
        let keys: Vec<EndpointKey> = self.endpoints.keys().collect();
        for key in keys {
            if moved >= MAX_SEPARATIONS {
                return;
            }
            if let Some(separation) = self.find_separation(now, key, &mut used) {
                self.separate(now, &separation);
                moved += 1;
            }
        }
    }

    /// Returns the number of known pairs of images that slow each other down.
    pub fn interference_pair_count(&self) -> usize {
        self.interference.pairs.known_count()
    }

    /// Logs that a run was placed where harm is expected.
    pub(super) fn log_expected_harm(
        &mut self,
        now: Instant,
        key: EndpointKey,
        task: TaskRef,
    ) {
        if self.expected_harm(key, task) == 0 {
            return;
        }
        self.events.push(SchedulerEvent::PlacedBesideHarm {
            job: self.jobs[task.job].id.clone(),
            image: self.step(task).image.clone(),
            endpoint: self.endpoint_id(key),
            harm_percent: whole_percent(self.harm_percent(key, task)),
            report_age: self.report_age(now, key),
        });
    }

    /// Returns the time since the last report of an endpoint that counted as evidence.
    fn report_age(&self, now: Instant, key: EndpointKey) -> Option<Duration> {
        let history = self.interference.histories.get(&key)?;
        Some(now.saturating_since(history.observed_at?))
    }

    fn expire_interference(&mut self, now: Instant) {
        let changes = self.interference.pairs.expire(now);
        self.log_pair_changes(changes);
        let endpoints = &self.endpoints;
        let interference = &mut self.interference;
        interference
            .histories
            .retain(|&key, _| endpoints.contains_key(key));
        interference
            .moved_at
            .retain(|_, at| now.saturating_since(*at) < MOVE_PAUSE);
    }

    /// Returns the tail latencies on an endpoint by image, in percent of their targets, of
    /// runs that have executed for as long as a report covers.
    fn reported_tails(&self, now: Instant, key: EndpointKey) -> BTreeMap<String, u64> {
        let mut tails = BTreeMap::new();
        for &key in &self.endpoints[key].runs {
            let run = &self.runs[key];
            let (Some(task), Phase::Running(since)) = (run.task, run.phase) else {
                continue;
            };
            let step = self.step(task);
            let is_settled = now.saturating_since(since) >= REPORT_LAG;
            // A gauge of 0 means that the task hasn't served any request yet.
            if !is_victim(step) || run.gauge == 0 || !is_settled {
                continue;
            }
            let tail = run.gauge.saturating_mul(100) / step.latency_target_ms;
            let worst = tails.entry(step.image.clone()).or_insert(0);
            *worst = tail.max(*worst);
        }
        tails
    }

    /// Returns the doses on an endpoint, or `None` while the speed of a run is uncertain.
    fn current_doses(&self, key: EndpointKey) -> Option<Doses> {
        let mut doses = Doses::new();
        for &key in &self.endpoints[key].runs {
            let run = &self.runs[key];
            let Some(task) = run.task else {
                continue;
            };
            let step = self.step(task);
            if !is_aggressor(step) || matches!(run.phase, Phase::Planned(_)) {
                continue;
            }
            if !run.pace_sent {
                return None;
            }
            *doses.entry(step.image.clone()).or_insert(0.0) +=
                f64::from(run.pace) / 100.0;
        }
        Some(doses)
    }

    /// Returns the harm that a task does or suffers on an endpoint, in percent of the
    /// latency target. The task's own run doesn't count.
    fn harm_percent(&self, key: EndpointKey, task: TaskRef) -> f64 {
        let step = self.step(task);
        let pairs = &self.interference.pairs;
        let harms = is_aggressor(step) && pairs.is_aggressor(&step.image);
        if !harms && !is_victim(step) {
            return 0.0;
        }
        let runs = self.endpoints[key].runs.iter();
        let others = runs.filter_map(|&run| self.runs[run].task);
        others
            .filter(|&other| other != task)
            .map(|other| self.step(other))
            .map(
                |other| match (harms, is_victim(other), is_aggressor(other)) {
                    (true, true, _) => pairs.harm(&step.image, &other.image),
                    (false, _, true) => pairs.harm(&other.image, &step.image),
                    _ => 0.0,
                },
            )
            .sum()
    }

    /// Returns the run of an endpoint that is to be moved, and reserves its destination.
    fn find_separation(
        &self,
        now: Instant,
        key: EndpointKey,
        used: &mut BTreeMap<EndpointKey, Resource>,
    ) -> Option<Separation> {
        let runs = self.endpoints[key].runs.iter().copied();
        let (run, task, harm) = runs
            .filter_map(|run| {
                let task = self.runs[run].task?;
                let harm = self.harm_percent(key, task);
                (harm_class(harm) > 0 && self.may_be_separated(run, task))
                    .then_some((run, task, harm))
            })
            .max_by(|(_, _, left), (_, _, right)| left.total_cmp(right))?;
        let reserved = self.step(task).reserved();
        let destination = self.find_destination(now, task, harm, used)?;
        let taken = self.endpoints[destination].used;
        used.entry(destination).or_insert(taken).add(&reserved);
        Some(Separation {
            run,
            endpoint: key,
            destination,
            harm,
        })
    }

    /// Returns whether a run may be stopped so that its task starts elsewhere: it has no
    /// work to lose, and the speed that it would regain covers the cost.
    fn may_be_separated(&self, key: RunKey, task: TaskRef) -> bool {
        let run = &self.runs[key];
        let step = self.step(task);
        let Some(state) = self.jobs[task.job].task(task) else {
            return false;
        };
        let is_saved = step.checkpoints && !state.checkpoint.is_empty();
        let has_no_work = run.percent == 0 || (step.long_running && !step.checkpoints);
        let lasts = if step.long_running {
            MOVE_PAUSE
        } else {
            remaining(run.remaining(), step, run.percent).min(MOVE_PAUSE)
        };
        let gain = lasts * 100_u32.saturating_sub(run.pace) / 100;
        is_aggressor(step)
            && !step.gang
            && matches!(run.phase, Phase::Running(_))
            && (is_saved || has_no_work)
            && gain >= MIN_GAIN
            && !self.interference.moved_at.contains_key(&task)
            && self.may_be_unavailable(task)
    }

    /// Returns the endpoint of the task's pool with room where it does the least harm, if
    /// that is less than half of the harm that it does now.
    fn find_destination(
        &self,
        now: Instant,
        task: TaskRef,
        harm: f64,
        used: &BTreeMap<EndpointKey, Resource>,
    ) -> Option<EndpointKey> {
        let reserved = self.step(task).reserved();
        let pool = self.jobs[task.job].pool.as_str();
        let candidates = self.endpoints.iter().filter(|(key, endpoint)| {
            let used = used.get(key).unwrap_or(&endpoint.used);
            endpoint.registration.pool == pool
                && reserved.fits(used, &endpoint.registration.capacity)
                && self.is_suitable(now, task, *key)
        });
        candidates
            .map(|(key, _)| (key, self.harm_percent(key, task)))
            .filter(|&(_, expected)| expected < harm / 2.0)
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(key, _)| key)
    }

    fn separate(&mut self, now: Instant, separation: &Separation) {
        let run = &self.runs[separation.run];
        let (name, number, pace, task) =
            (run.name.clone(), run.number, run.pace, run.task);
        self.events.push(SchedulerEvent::Separating {
            name,
            number,
            endpoint: self.endpoint_id(separation.endpoint),
            destination: self.endpoint_id(separation.destination),
            harm_percent: whole_percent(separation.harm),
            pace_percent: pace,
            report_age: self.report_age(now, separation.endpoint),
        });
        if let Some(task) = task {
            self.interference.moved_at.insert(task, now);
        }
        self.stop(
            now,
            separation.run,
            "slows down a task with a latency target",
        );
    }

    fn log_pair_changes(&mut self, changes: Vec<Change>) {
        let known = self.interference.pairs.known_count();
        for change in changes {
            self.events
                .push(SchedulerEvent::PairChanged { change, known });
        }
    }
}

/// Returns whether the latency of a step's tasks shows interference.
const fn is_victim(step: &Step) -> bool {
    step.latency_target_ms > 0 && !step.image.is_empty()
}

/// Returns whether a step's tasks may slow others down.
const fn is_aggressor(step: &Step) -> bool {
    step.best_effort && !step.image.is_empty()
}

/// Returns the remaining run time at full speed. Without any progress it is the estimate.
fn remaining(by_progress: Duration, step: &Step, percent: u32) -> Duration {
    let estimate = Duration::from_millis(step.estimate_ms);
    if percent == 0 {
        return estimate;
    }
    by_progress.min(estimate)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the harm is positive, and at most 500 % for each run"
)]
fn harm_class(harm_percent: f64) -> u64 {
    (harm_percent / HARM_CLASS_PERCENT).max(0.0) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the harm is positive, and at most 500 % for each run"
)]
fn whole_percent(harm_percent: f64) -> u64 {
    harm_percent.round().max(0.0) as u64
}
