//! Acknowledgements that reach an endpoint after it has restarted under its identity.
//!
//! The endpoint numbers its ends anew then, so that an acknowledgement of the ends of its earlier
//! incarnation makes it forget ends that the leader hasn't seen.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;

mod job_support;

use job_support::{Link, Simulation, simulation, spec, step};

/// Interval between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(60);

/// Run time of each task, in milliseconds.
const TASK_MS: u64 = 40;

/// Number of tasks of each job.
const TASKS: u32 = 3;

/// Number of tasks that have ended before the trouble. The acknowledgement names more ends than the
/// newer incarnation has had when it arrives.
const EARLIER_TASKS: u32 = 900;

/// How often the queue allows a task to fail.
const ATTEMPTS: usize = 2;

/// Time from the first job to the first restart.
const WARM_UP: Duration = Duration::from_millis(700);

/// Time for which jobs are submitted after the restart.
const TROUBLE_TIME: Duration = Duration::from_millis(1_500);

/// Time in which each job finishes.
const FINISH_TIME: Duration = Duration::from_secs(20);

/// Number of times that a case is played. The restart and the arrival of a late acknowledgement are
/// shifted by some ticks each time, so that they meet several moments between the end of a run and its
/// acknowledgement.
const PLAYS: u32 = 8;

/// Number of ticks by which the restart is shifted from one play to the next.
const SHIFT_TICKS: u32 = 5;

/// A disruption of the acknowledgements of an endpoint that restarts.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Time that the store takes for a write.
    write_time_ms: u64,
    /// Link to the endpoints from some time before the restart until it.
    link: Link,
    /// Time from the disruption of the link to the restart.
    lead_time_ms: u64,
    /// Whether the leader learns of the restart at once, by the registration.
    is_registered: bool,
    /// Whether the runs of the newer incarnation fail.
    runs_fail: bool,
    /// Whether another leader follows right after the restart.
    leader_changes: bool,
}

impl Case {
    /// Returns the link whose acknowledgements arrive by some ticks later.
    fn link_after(&self, ticks: u32) -> Link {
        let shift = job_support::TICK * ticks;
        match self.link {
            Link::DelayedAcknowledgements(delay_ms) => {
                let shift_ms = u64::try_from(shift.as_millis()).unwrap_or(u64::MAX);
                Link::DelayedAcknowledgements(delay_ms + shift_ms)
            }
            link => link,
        }
    }
}

const SLOW_STORE: Case = Case {
    write_time_ms: 240,
    link: Link::Healthy,
    lead_time_ms: 0,
    is_registered: false,
    runs_fail: false,
    leader_changes: false,
};

const LATE_ACKNOWLEDGEMENT: Case = Case {
    write_time_ms: 0,
    link: Link::DelayedAcknowledgements(2_900),
    lead_time_ms: 500,
    is_registered: false,
    runs_fail: false,
    leader_changes: false,
};

/// Submits jobs in regular intervals for some time.
fn submit_for(simulation: &mut Simulation, time: Duration, jobs: &mut Vec<String>) {
    let end = simulation.now + time;
    while simulation.now < end {
        let tasks = spec(vec![step(TASKS, 2_000, TASK_MS)]);
        jobs.push(simulation.submit("a", tasks));
        simulation.run_for(JOB_INTERVAL);
    }
}

/// Returns the largest number of starts of one task of the given jobs.
fn most_starts(simulation: &Simulation, jobs: &[String]) -> usize {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, task, _, _) in &simulation.observed.starts {
        let job = task.split('.').next().unwrap_or_default();
        if jobs.iter().any(|known| known == job) {
            *counts.entry(task).or_default() += 1;
        }
    }
    counts.into_values().max().unwrap_or(0)
}

/// Guards against tasks that start again after they have ended as done (TWICE), or after they have
/// failed as often as their queue allows (BUDGET), because an endpoint forgot ends by an
/// acknowledgement that was meant for its earlier incarnation.
#[rstest]
#[case::slow_store(SLOW_STORE)]
#[case::slow_store_and_failing_runs(Case { runs_fail: true, ..SLOW_STORE })]
#[case::slow_store_and_next_leader(Case { leader_changes: true, ..SLOW_STORE })]
#[case::late(LATE_ACKNOWLEDGEMENT)]
#[case::very_late(Case { link: Link::DelayedAcknowledgements(12_000), ..LATE_ACKNOWLEDGEMENT })]
#[case::late_and_registered(Case { is_registered: true, ..LATE_ACKNOWLEDGEMENT })]
#[case::in_flight(Case { lead_time_ms: 100, is_registered: true, ..LATE_ACKNOWLEDGEMENT })]
#[case::late_and_failing_runs(Case { runs_fail: true, ..LATE_ACKNOWLEDGEMENT })]
#[case::late_and_next_leader(Case { leader_changes: true, ..LATE_ACKNOWLEDGEMENT })]
#[case::late_and_slow_store(Case { write_time_ms: 240, ..LATE_ACKNOWLEDGEMENT })]
fn no_end_is_forgotten_unseen(#[case] case: Case) {
    for shift in (0..PLAYS).map(|play| play * SHIFT_TICKS) {
        let mut simulation = simulation(1);
        simulation.holds_wait = true;
        simulation.write_time = Duration::from_millis(case.write_time_ms);
        let mut jobs = Vec::new();
        let earlier = spec(vec![step(EARLIER_TASKS, 100, TASK_MS)]);
        jobs.push(simulation.submit("a", earlier));
        submit_for(&mut simulation, WARM_UP, &mut jobs);
        simulation.run_for(job_support::TICK * shift);
        set_link(&mut simulation, case.link_after(shift));
        submit_for(
            &mut simulation,
            Duration::from_millis(case.lead_time_ms),
            &mut jobs,
        );
        let id = simulation.endpoints.keys().next().cloned();
        let id = id.expect("there is an endpoint");
        if case.leader_changes {
            // The ends that the next leader doesn't know of were never acknowledged.
            simulation.discount_unacknowledged_ends(&id);
        }
        simulation.restart_behind_cut(&id);
        set_link(&mut simulation, Link::Healthy);
        if case.is_registered {
            simulation.publish(&id);
        }
        for endpoint in simulation.endpoints.values_mut() {
            endpoint.fail_runs = case.runs_fail;
        }
        if case.leader_changes {
            simulation.elect_new_leader(false);
        }
        let mut later_jobs = Vec::new();
        let time = match case.link_after(shift) {
            Link::DelayedAcknowledgements(delay_ms) => {
                Duration::from_millis(delay_ms) + JOB_INTERVAL
            }
            _ => TROUBLE_TIME,
        };
        submit_for(&mut simulation, time, &mut later_jobs);
        for job in jobs.iter().chain(&later_jobs) {
            let is_finished = simulation.run_until_finished(job, FINISH_TIME);
            assert!(is_finished, "{job} doesn't finish, {case:?}, {shift}");
        }
        let allowed = if case.runs_fail { ATTEMPTS } else { 1 };
        let starts = most_starts(&simulation, &later_jobs);
        assert_eq!(starts, allowed, "{case:?}, {shift}");
    }
}

fn set_link(simulation: &mut Simulation, link: Link) {
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.link = link;
    }
}
