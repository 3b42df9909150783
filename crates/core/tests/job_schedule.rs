//! Jobs whose steps repeat many times, and records of progress that grow.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrill_core::job::spec::Recurrence;
use rhubarbrill_core::job::{Spec, State, Step};
use rhubarbrill_core::time::Timestamp;
use rstest::rstest;

mod job_support;

use job_support::{
    MAX_RECORD_BYTES, Simulation, simulation, simulation_with_max_record, spec, step,
};

const SECOND: Duration = Duration::from_secs(1);

/// Number of jobs that arrive after a scheduled job.
const OTHERS: usize = 20;

/// Returns a job whose steps repeat `count` times from `late_ms` before now.
fn scheduled(
    simulation: &Simulation,
    step: Step,
    count: u32,
    interval_ms: u64,
    late_ms: u64,
) -> Spec {
    let now = simulation.wall_time().as_millis();
    Spec {
        recurrence: Some(Recurrence {
            first: Timestamp::from_millis(now.saturating_sub(late_ms)),
            interval_ms,
            count,
        }),
        ..spec(vec![step])
    }
}

/// A step that no endpoint can run.
fn impossible() -> Step {
    Step {
        requires: "missing".to_owned(),
        ..step(1, 100, 200)
    }
}

/// Returns how often each task of a job was started.
fn starts(simulation: &Simulation, job: &str) -> BTreeMap<String, usize> {
    let mut starts = BTreeMap::new();
    for (_, task, _, _) in &simulation.observed.starts {
        if task.starts_with(job) {
            *starts.entry(task.clone()).or_default() += 1;
        }
    }
    starts
}

/// A schedule with many due times.
struct Case {
    step: Step,
    count: u32,
    interval_ms: u64,
    late_ms: u64,
    /// Whether the leader changes once the others have arrived.
    leader_changes: bool,
}

impl Case {
    fn new(step: Step) -> Self {
        Self {
            step,
            count: 86_400,
            interval_ms: 20,
            late_ms: 1_000_000,
            leader_changes: false,
        }
    }
}

/// Guards against one scheduled job that keeps others from starting (LOST): its record grew
/// beyond what the store takes, and all its due occurrences were opened at once.
#[rstest]
#[case::impossible(Case::new(impossible()))]
#[case::doable(Case::new(step(1, 100, 200)))]
#[case::wide(Case::new(step(1_000, 100, 200)))]
#[case::leader_changes(Case { leader_changes: true, ..Case::new(step(1, 100, 200)) })]
#[case::billions(Case { count: u32::MAX, interval_ms: 1, late_ms: u64::MAX, ..Case::new(step(1, 100, 200)) })]
#[case::billions_impossible(Case { count: u32::MAX, interval_ms: 0, late_ms: u64::MAX, leader_changes: true, ..Case::new(impossible()) })]
#[case::interval_overflows(Case { count: u32::MAX, interval_ms: u64::MAX, ..Case::new(step(1, 100, 200)) })]
fn jobs_beside_a_schedule_with_many_due_times_complete(#[case] case: Case) {
    let mut simulation = simulation(9);
    let scheduled = scheduled(
        &simulation,
        case.step,
        case.count,
        case.interval_ms,
        case.late_ms,
    );
    simulation.submit("a", scheduled);
    simulation.run_for(SECOND / 2);
    let mut others = Vec::new();
    for _ in 0..OTHERS {
        others.push(simulation.submit("a", spec(vec![step(6, 3_500, 1_000)])));
        simulation.run_for(SECOND / 10);
    }
    if case.leader_changes {
        simulation.elect_new_leader(false);
    }
    for job in &others {
        assert!(simulation.run_until_finished(job, 10 * SECOND), "{job}");
    }
    assert!(simulation.observed.largest_record < MAX_RECORD_BYTES / 4);
    assert_eq!(simulation.observed.refused_writes, 0);
}

/// Guards against occurrences that are left out, or run twice, as not all that are due are open.
#[rstest]
#[case::leader_stays(false)]
#[case::leader_changes(true)]
fn each_occurrence_runs_once(#[case] leader_changes: bool) {
    const COUNT: u32 = 700;
    let mut simulation = simulation(4);
    let schedule = scheduled(&simulation, step(1, 1_000, 300), COUNT, 10, 60_000);
    let job = simulation.submit("a", schedule);
    if leader_changes {
        for _ in 0..4 {
            simulation.run_for(SECOND);
            simulation.elect_new_leader(false);
        }
    }
    assert!(simulation.run_until_finished(&job, 60 * SECOND));
    assert_eq!(simulation.state(&job), State::Completed);
    let starts = starts(&simulation, &job);
    assert_eq!(starts.len(), COUNT as usize);
    assert!(starts.values().all(|&count| count == 1));
}

/// Guards against a record that grows with each occurrence while the first one isn't done.
#[rstest]
#[case::leader_stays(false)]
#[case::leader_changes(true)]
fn record_stays_small_beside_a_slow_occurrence(#[case] leader_changes: bool) {
    const COUNT: u32 = 800;
    let mut simulation = simulation(4);
    let schedule = scheduled(&simulation, step(1, 1_000, 100), COUNT, 10, 60_000);
    let job = simulation.submit("a", schedule);
    let slow = [0, 7, 200].map(|occurrence| format!("{job}.{occurrence}.0.0"));
    for task in &slow {
        simulation.run_time_percents.insert(task.clone(), 6_000);
    }
    simulation.run_for(4 * SECOND);
    if leader_changes {
        simulation.elect_new_leader(false);
    }
    assert!(simulation.run_until_finished(&job, 30 * SECOND));
    let starts = starts(&simulation, &job);
    assert_eq!(starts.len(), COUNT as usize);
    // A slow run may be stopped once, and its task started elsewhere.
    let once = |(task, &count): (&String, &usize)| count == 1 || slow.contains(task);
    assert!(starts.iter().all(once));
    let largest = simulation.observed.largest_record;
    assert!(largest < 64 << 10, "{largest} bytes");
}

/// Guards against records that grow beyond what the store takes: a step has many tasks, and
/// their checkpoints are long.
#[rstest]
#[case::wide(1_000, 0)]
#[case::checkpoints(200, 2_000)]
#[case::wide_with_checkpoints(1_000, 200)]
fn wide_step_fits_into_its_record(#[case] tasks: u32, #[case] checkpoint_bytes: usize) {
    const MAX_BYTES: u64 = 64 << 10;
    let mut simulation = simulation_with_max_record(8, MAX_BYTES);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.checkpoint = "c".repeat(checkpoint_bytes);
    }
    let wide = Step {
        demand: rhubarbrill_core::job::Resource {
            cpu: 10,
            memory_mb: 40,
            gpu: 0,
        },
        ..step(tasks, 10, 3_000)
    };
    let job = simulation.submit("a", spec(vec![wide]));
    assert!(simulation.run_until_finished(&job, 20 * SECOND));
    assert_eq!(simulation.state(&job), State::Completed);
    assert_eq!(simulation.observed.starts.len(), tasks as usize);
    assert_eq!(simulation.observed.refused_writes, 0);
    let largest = simulation.observed.largest_record;
    assert!(largest <= MAX_BYTES, "{largest} bytes");
}

/// Guards against a write that the store refuses for good, is tried for ever and holds up the
/// jobs that share it.
#[test]
fn refused_record_holds_up_no_other_job() {
    let mut simulation = simulation(4);
    let jobs: Vec<String> = (0..10)
        .map(|_| simulation.submit("a", spec(vec![step(2, 1_000, 500)])))
        .collect();
    simulation.refused_job = Some(jobs[0].clone());
    for job in &jobs[1..] {
        assert!(simulation.run_until_finished(job, 5 * SECOND), "{job}");
    }
    simulation.run_for(60 * SECOND);
    let refused = simulation.observed.refused_writes;
    assert!(refused <= 20, "{refused} refused writes");
}

/// A job, and whether the store can hold it and its progress.
struct SizeCase {
    tasks: u32,
    payload_bytes: usize,
    max_record_bytes: u64,
    is_storable: bool,
}

/// Guards against jobs that are accepted although no record can hold their progress.
#[rstest]
#[case::most_tasks(SizeCase { tasks: 20_000, payload_bytes: 4_000, max_record_bytes: 1 << 20, is_storable: true })]
#[case::too_many_tasks(SizeCase { tasks: 20_000, payload_bytes: 0, max_record_bytes: 1 << 19, is_storable: false })]
#[case::small_records(SizeCase { tasks: 1_000, payload_bytes: 0, max_record_bytes: 1 << 16, is_storable: true })]
#[case::large_payload(SizeCase { tasks: 1, payload_bytes: 4_000, max_record_bytes: 4_000, is_storable: false })]
#[case::no_records(SizeCase { tasks: 1, payload_bytes: 0, max_record_bytes: 0, is_storable: false })]
fn jobs_that_no_record_can_hold_are_rejected(#[case] case: SizeCase) {
    let job = Spec {
        payload: "p".repeat(case.payload_bytes),
        ..spec(vec![step(case.tasks, 10, 1_000)])
    };
    let checked = job.check_size(case.max_record_bytes);
    assert_eq!(checked.is_ok(), case.is_storable, "{checked:?}");
}

/// Guards against open occurrences that don't fit into small records together.
#[test]
fn schedule_fits_into_small_records() {
    let mut simulation = simulation_with_max_record(4, 16 << 10);
    let schedule = scheduled(&simulation, step(20, 100, 100), 200, 10, 60_000);
    let job = simulation.submit("a", schedule);
    assert!(simulation.run_until_finished(&job, 60 * SECOND));
    assert_eq!(simulation.observed.starts.len(), 4_000);
    assert_eq!(simulation.observed.refused_writes, 0);
}
