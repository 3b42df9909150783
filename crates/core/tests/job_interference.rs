//! Detection of images that slow each other down, and how runs of such pairs are kept
//! apart.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::SchedulerEvent;
use rhubarbrill_core::job::scheduler::interference::{
    Change, ForgetReason, Observation, Pair, Pairs,
};
use rhubarbrill_core::job::{EndpointKey, Feature, Features, Step};
use rhubarbrill_core::time::Instant;
use rstest::rstest;
use slotmap::KeyData;

mod job_support;

use job_support::{Link, Simulation, configuration, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Time between two reports of an endpoint with tasks that need pacing.
const REPORT_INTERVAL: Duration = Duration::from_millis(740);

/// Longest time for which best-effort tasks may cause a latency target to be missed.
const MAX_TIME_ABOVE_TARGET: Duration = Duration::from_secs(4);

/// Number of reports of each kind within which a harmful pair must be found.
const REPORTS_TO_FIND: u32 = 12;

/// Pseudo-random numbers (xorshift64), so that each seed gives the same reports.
struct Noise(u64);

impl Noise {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

/// The pairs, with a clock that advances with each round of reports.
struct Learner {
    now: Instant,
    pairs: Pairs,
    changes: Vec<Change>,
}

impl Learner {
    fn new() -> Self {
        Self {
            now: Instant::from_millis(1_000_000),
            pairs: Pairs::default(),
            changes: Vec::new(),
        }
    }

    /// Reports the tail latency of `web` beside the given images at full speed.
    fn report(&mut self, endpoint: u64, tail_percent: u64, images: &[(&str, f64)]) {
        let doses: BTreeMap<String, f64> = images
            .iter()
            .map(|(image, dose)| ((*image).to_owned(), *dose))
            .collect();
        let observation = Observation {
            endpoint: EndpointKey::from(KeyData::from_ffi(endpoint)),
            victim: "web",
            tail_percent,
            doses: &doses,
        };
        self.changes
            .extend(self.pairs.observe(self.now, &observation));
    }

    fn wait(&mut self) {
        self.now = self.now + REPORT_INTERVAL;
        self.changes.extend(self.pairs.expire(self.now));
    }
}

/// Added tail latency of a pair in percent of the target, deviation of each report, and
/// whether the pair must be found.
struct DetectionCase {
    harm: u64,
    noise: u64,
    found: bool,
}

/// Guards against harmful pairs that are found too late, and against harmless ones that
/// are found.
#[rstest]
#[case::half_of_the_target(DetectionCase { harm: 50, noise: 20, found: true })]
#[case::more_than_the_target(DetectionCase { harm: 300, noise: 60, found: true })]
#[case::harmless(DetectionCase { harm: 0, noise: 20, found: false })]
#[case::slight(DetectionCase { harm: 5, noise: 20, found: false })]
fn pairs_are_told_apart_within_few_reports(
    #[case] case: DetectionCase,
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(false, true)] separate_endpoints: bool,
) {
    let mut learner = Learner::new();
    let mut noise = Noise(seed);
    for phase in 0..2 {
        for report in 0..REPORTS_TO_FIND {
            let exposed = phase == 1;
            // Without changes on one endpoint, four of each kind are needed.
            let endpoint = match separate_endpoints {
                true => u64::from(report % 4) + 1 + 4 * phase,
                false => 1,
            };
            let tail = 20 + noise.below(case.noise) + case.harm * phase;
            let images: &[_] = if exposed { &[("batch", 1.0)] } else { &[] };
            learner.report(endpoint, tail, images);
            learner.wait();
        }
    }
    assert_eq!(learner.pairs.known_count(), usize::from(case.found));
    let harm = learner.pairs.harm("batch", "web");
    let expected = if case.found { case.harm as f64 } else { 0.0 };
    assert!(
        (harm - expected).abs() <= case.noise as f64,
        "the harm is {expected} and is estimated as {harm}"
    );
}

/// Reports that vary by chance, with occasional outliers, beside a harmless image.
///
/// Guards against a pair that is found by chance among many reports.
#[rstest]
#[case::one_endpoint(1)]
#[case::eight_endpoints(8)]
fn noise_is_not_a_pair(
    #[case] endpoints: u64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    let mut learner = Learner::new();
    let mut noise = Noise(seed);
    for report in 0..1_000 {
        let outlier = if noise.below(20) == 0 { 300 } else { 0 };
        let tail = 10 + noise.below(80) + outlier;
        let exposed = noise.below(2) == 1;
        let images: &[_] = if exposed { &[("batch", 1.0)] } else { &[] };
        learner.report(1 + report % endpoints, tail, images);
        if report % endpoints == 0 {
            learner.wait();
        }
    }
    assert_eq!(learner.changes, []);
}

/// How reports of an endpoint on which everything is slow look.
#[derive(Clone, Copy)]
enum SlowCase {
    /// The aggressor runs there and on half of the other endpoints.
    Always,
    /// The endpoint becomes slow while the aggressor runs there, and pacing slows that down.
    SlowsDownLater,
    /// The aggressor runs on this endpoint only.
    OnlyEndpointWithThePair,
    /// The aggressor is slowed down on all other endpoints.
    OthersAreSlowedDown,
}

impl SlowCase {
    /// Returns the dose on the slow endpoint and its tail latency.
    fn slow(self, report: u32) -> (f64, u64) {
        let paced = if report.is_multiple_of(6) { 1.0 } else { 0.2 };
        match self {
            Self::Always => (paced, 180),
            Self::SlowsDownLater if report < 20 => (1.0, 20),
            Self::SlowsDownLater => (paced, 180),
            Self::OnlyEndpointWithThePair | Self::OthersAreSlowedDown => (1.0, 180),
        }
    }

    /// Returns the dose on another endpoint.
    fn other(self, endpoint: u64) -> f64 {
        match self {
            Self::Always | Self::SlowsDownLater if endpoint < 5 => 1.0,
            Self::OthersAreSlowedDown => 0.2,
            Self::Always | Self::SlowsDownLater | Self::OnlyEndpointWithThePair => 0.0,
        }
    }
}

/// Guards against a slow endpoint that is taken for a pair.
#[rstest]
#[case::always(SlowCase::Always)]
#[case::slows_down_later(SlowCase::SlowsDownLater)]
#[case::only_endpoint_with_the_pair(SlowCase::OnlyEndpointWithThePair)]
#[case::others_are_slowed_down(SlowCase::OthersAreSlowedDown)]
fn slow_endpoint_is_not_a_pair(#[case] case: SlowCase) {
    let mut learner = Learner::new();
    for report in 0..60 {
        for endpoint in 2..8 {
            learner.report(endpoint, 20, &[("batch", case.other(endpoint))]);
        }
        let (dose, tail) = case.slow(report);
        learner.report(1, tail, &[("batch", dose)]);
        learner.wait();
    }
    assert_eq!(learner.changes, []);
}

/// Guards against evidence that is kept for long after the harm has ended.
#[test]
fn pair_is_forgotten_soon_after_the_harm_ends() {
    let mut learner = Learner::new();
    for report in 0..40 {
        let exposed = report % 2 == 1;
        let images: &[_] = if exposed { &[("batch", 1.0)] } else { &[] };
        learner.report(1, if exposed { 90 } else { 20 }, images);
        learner.wait();
    }
    assert_eq!(learner.pairs.known_count(), 1);
    let ended = learner.now;
    while learner.pairs.known_count() > 0 {
        learner.report(1, 20, &[("batch", 1.0)]);
        learner.wait();
        assert!(learner.now.saturating_since(ended) < 30 * SECOND);
    }
    let pair = Pair {
        victim: "web".to_owned(),
        aggressor: "batch".to_owned(),
    };
    let reason = ForgetReason::Harmless;
    assert_eq!(
        learner.changes.last(),
        Some(&Change::Forgotten { pair, reason })
    );
}

/// Guards against memory that grows with the number of images.
#[test]
fn least_supported_pair_makes_room() {
    let mut learner = Learner::new();
    for image in 0..300 {
        let image = format!("batch{image}");
        for report in 0..16 {
            let exposed = report % 2 == 1;
            let images: &[_] = if exposed {
                &[(image.as_str(), 1.0)]
            } else {
                &[]
            };
            learner.report(1, if exposed { 90 } else { 20 }, images);
            learner.now = learner.now + Duration::from_millis(1);
        }
    }
    assert_eq!(learner.pairs.known_count(), 256);
}

/// Returns a step of one long-running task with the image `web` and a latency target of
/// 100 ms.
fn web() -> Step {
    Step {
        long_running: true,
        latency_target_ms: 100,
        image: "web".to_owned(),
        ..step(1, 4_000, 0)
    }
}

/// Returns a step of one long-running best-effort task with the given image.
fn best_effort(image: &str) -> Step {
    Step {
        long_running: true,
        best_effort: true,
        image: image.to_owned(),
        ..step(1, 4_000, 0)
    }
}

/// Returns a simulation in which the image `batch` adds `harm_ms` to the tail latency, with
/// a `web` task and a task of the given step on the same endpoint.
fn simulation(
    features: Features,
    hosts: usize,
    harm_ms: u64,
    beside: Step,
) -> Simulation {
    let mut simulation = Simulation::with_features(configuration(&["a"]), features);
    simulation.add_hosts("a", hosts);
    simulation.run_for(SECOND / 5);
    set_harm(&mut simulation, harm_ms);
    simulation.submit("a", spec(vec![web()]));
    simulation.run_for(10 * SECOND);
    simulation.submit("a", spec(vec![beside]));
    simulation
}

fn set_harm(simulation: &mut Simulation, harm_ms: u64) {
    for endpoint in simulation.endpoints.values_mut() {
        endpoint
            .interference_by_image_ms
            .insert("batch".to_owned(), harm_ms);
    }
}

fn enabled() -> Features {
    Features::NONE.with(Feature::Interference)
}

/// Returns the paces of the best-effort runs that share an endpoint with `web`, and of
/// those that don't.
fn paces(simulation: &Simulation) -> (Vec<u32>, Vec<u32>) {
    let (mut beside, mut apart) = (Vec::new(), Vec::new());
    for endpoint in simulation.endpoints.values() {
        let runs = &endpoint.active_runs;
        let shared = runs.iter().any(|run| run.image == "web");
        let paces = runs
            .iter()
            .filter(|run| run.image != "web")
            .map(|run| run.pace);
        if shared {
            beside.extend(paces);
        } else {
            apart.extend(paces);
        }
    }
    (beside, apart)
}

/// What stands against moving a run away from the task that it slows down.
struct SeparationCase {
    hosts: usize,
    harm_ms: u64,
    beside: Step,
    separated: bool,
}

fn finite(percent_per_s: u64) -> Step {
    Step {
        long_running: false,
        estimate_ms: 100_000 / percent_per_s,
        ..best_effort("batch")
    }
}

/// Guards against runs that stay where they are slowed down, against runs that lose work or
/// wait for capacity because they are moved, and against missed latency targets.
#[rstest]
#[case::harmful(SeparationCase { hosts: 2, harm_ms: 120, beside: best_effort("batch"), separated: true })]
#[case::very_harmful(SeparationCase { hosts: 2, harm_ms: 600, beside: best_effort("batch"), separated: true })]
#[case::no_gain_from_a_move(SeparationCase { hosts: 2, harm_ms: 60, beside: best_effort("batch"), separated: false })]
#[case::harmless(SeparationCase { hosts: 2, harm_ms: 0, beside: best_effort("batch"), separated: false })]
#[case::no_capacity_elsewhere(SeparationCase { hosts: 1, harm_ms: 120, beside: best_effort("batch"), separated: false })]
#[case::work_would_be_lost(SeparationCase { hosts: 2, harm_ms: 120, beside: finite(1), separated: false })]
#[case::must_stay_available(SeparationCase {
    hosts: 2,
    harm_ms: 120,
    beside: Step { max_unavailable: Some(0), ..best_effort("batch") },
    separated: false,
})]
fn run_is_moved_apart_where_it_gains(#[case] case: SeparationCase) {
    let mut simulation =
        simulation(enabled(), case.hosts, case.harm_ms, case.beside.clone());
    simulation.run_for(SECOND);
    assert_eq!(paces(&simulation).0.len(), 1, "both start on one endpoint");
    simulation.run_for(39 * SECOND);
    let (beside, apart) = paces(&simulation);
    if case.separated {
        assert_eq!((beside, apart), (vec![], vec![100]));
    } else {
        assert_eq!((beside.len(), apart.len()), (1, 0));
    }
    let starts = simulation.observed.starts.len();
    assert_eq!(starts, if case.separated { 3 } else { 2 });
    assert!(simulation.observed.longest_above_target < MAX_TIME_ABOVE_TARGET);
    let events = simulation.scheduler.take_events();
    let separating =
        |event: &&SchedulerEvent| matches!(event, SchedulerEvent::Separating { .. });
    let moves = events.iter().filter(separating).count();
    assert_eq!(moves, usize::from(case.separated));
    let known = events
        .iter()
        .any(|event| matches!(event, SchedulerEvent::PairChanged { known: 1, .. }));
    assert_eq!(known, case.harm_ms > 0, "the pair is known if it harms");
}

/// Guards against a task that starts beside one that it slows down although there is
/// capacity elsewhere, and against a task that waits if there is none.
#[rstest]
#[case::capacity_elsewhere(2)]
#[case::no_capacity_elsewhere(1)]
fn placement_avoids_known_pairs(#[case] hosts: usize) {
    let stays = Step {
        max_unavailable: Some(0),
        ..best_effort("batch")
    };
    let mut simulation = simulation(enabled(), hosts, 120, stays);
    simulation.run_for(15 * SECOND);
    assert_eq!(simulation.scheduler.interference_pair_count(), 1);
    simulation.submit("a", spec(vec![best_effort("batch")]));
    simulation.submit("a", spec(vec![best_effort("harmless")]));
    simulation.run_for(SECOND);
    let (beside, apart) = paces(&simulation);
    let moved = hosts - 1;
    assert_eq!((beside.len(), apart.len()), (3 - moved, moved));
    let warned = simulation
        .scheduler
        .take_events()
        .iter()
        .any(|event| matches!(event, SchedulerEvent::PlacedBesideHarm { .. }));
    assert_eq!(warned, hosts == 1);
}

/// A failure while a run is moved apart.
#[derive(Clone, Copy)]
enum FailureCase {
    PaceOrdersLost,
    StopOrdersUnanswered,
}

/// Guards against a task that is lost, runs twice, or never leaves if orders fail while it is
/// moved apart.
#[rstest]
#[case::pace_orders_lost(FailureCase::PaceOrdersLost)]
#[case::stop_orders_unanswered(FailureCase::StopOrdersUnanswered)]
fn run_is_moved_apart_despite_failures(#[case] failure: FailureCase) {
    let mut simulation = simulation(enabled(), 2, 120, best_effort("batch"));
    match failure {
        FailureCase::PaceOrdersLost => simulation.pace_orders_to_lose = 2,
        FailureCase::StopOrdersUnanswered => {
            set_links(&mut simulation, Link::StopsPending);
        }
    }
    simulation.run_for(15 * SECOND);
    set_links(&mut simulation, Link::Healthy);
    simulation.run_for(15 * SECOND);
    assert_eq!(paces(&simulation), (vec![], vec![100]));
    assert!(simulation.observed.longest_above_target < MAX_TIME_ABOVE_TARGET);
}

fn set_links(simulation: &mut Simulation, link: Link) {
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.link = link;
    }
}

/// Guards against changes of placement while the feature is off.
#[test]
fn nothing_changes_with_the_feature_off() {
    let mut simulation = simulation(Features::NONE, 2, 120, best_effort("batch"));
    simulation.run_for(40 * SECOND);
    simulation.submit("a", spec(vec![best_effort("batch")]));
    simulation.run_for(SECOND);
    let (beside, apart) = paces(&simulation);
    assert_eq!((beside.len(), apart.len()), (2, 0));
    assert_eq!(simulation.observed.starts.len(), 3);
    assert_eq!(simulation.scheduler.interference_pair_count(), 0);
    let reset = |event: &SchedulerEvent| *event == SchedulerEvent::InterferenceReset;
    assert!(!simulation.scheduler.take_events().iter().any(reset));
}

/// Guards against a new leader that acts on pairs that it hasn't observed, and against one
/// that doesn't learn them.
#[test]
fn new_leader_starts_from_nothing() {
    let stays = Step {
        max_unavailable: Some(0),
        ..best_effort("batch")
    };
    let mut simulation = simulation(enabled(), 2, 120, stays);
    simulation.run_for(15 * SECOND);
    assert_eq!(simulation.scheduler.interference_pair_count(), 1);
    simulation.elect_new_leader(false);
    simulation.run_for(SECOND);
    assert_eq!(simulation.scheduler.interference_pair_count(), 0);
    let reset = |event: &&SchedulerEvent| **event == SchedulerEvent::InterferenceReset;
    let events = simulation.scheduler.take_events();
    assert_eq!(events.iter().filter(reset).count(), 1);
    simulation.run_for(30 * SECOND);
    assert_eq!(simulation.scheduler.interference_pair_count(), 1);
}
