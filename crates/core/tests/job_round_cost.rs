//! Processor time of the leader's rounds, which delays all starts and reports while a round
//! lasts.

use std::time::Duration;

use rhubarbrill_core::job::configuration::Workspace;
use rhubarbrill_core::job::{Configuration, Resource};
use rstest::rstest;
use rustix::time::{ClockId, clock_gettime};

mod job_support;

use job_support::{Simulation, configuration, queue, spec, step};

/// Number of hosts of the pool.
const HOSTS: usize = 40;

/// Number of jobs that are submitted at once, with three times as many tasks as fit.
const JOBS: usize = 60;

/// Number of tasks of each job.
const TASKS: u32 = 16;

/// Time in which all tasks start and end.
const DURATION: Duration = Duration::from_millis(1_500);

/// Number of queues or workspaces that operators add and that have no jobs.
const ADDED: usize = 2_000;

/// Number of simulations of each configuration. The least time of several is hardly
/// affected by other load of the machine.
const REPETITIONS: usize = 3;

/// Largest accepted ratio of the processor times. A round must not depend on the size of
/// the configuration, and the times of two equal simulations differ by less.
const MAX_RATIO: f64 = 2.0;

/// A part of the configuration that grows.
struct Case {
    added_queues: usize,
    added_workspaces: usize,
}

impl Case {
    /// Returns a configuration in which what was added comes before what has jobs.
    fn configuration(&self) -> Configuration {
        let mut configuration = configuration(&["a"]);
        let queues = (0..self.added_queues).map(|number| queue(&format!("a-{number}")));
        configuration.queues.splice(0..0, queues);
        let workspaces = (0..self.added_workspaces).map(|number| Workspace {
            name: format!("added-workspace-{number}"),
            keys: Vec::new(),
            weight: None,
            limit: Resource::default(),
        });
        configuration.workspaces.splice(0..0, workspaces);
        configuration
    }
}

/// Returns the processor time that this thread has used.
fn processor_time() -> Duration {
    let reading = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(reading.tv_sec).unwrap();
    Duration::new(seconds, u32::try_from(reading.tv_nsec).unwrap())
}

/// Returns the processor time that a pool needs in which far more tasks wait than fit.
fn backlog_time(configuration: &Configuration) -> Duration {
    let mut simulation = Simulation::new(configuration.clone());
    simulation.add_hosts("a", HOSTS);
    simulation.run_for(Duration::from_millis(200));
    for _ in 0..JOBS {
        simulation.submit("a", spec(vec![step(TASKS, 4_000, 300)]));
    }
    let began = processor_time();
    simulation.run_for(DURATION);
    let took = processor_time() - began;
    assert_eq!(simulation.observed.ends.len(), JOBS * TASKS as usize);
    took
}

/// Guards against a leader that is silent for up to 0.9 s in a round because it looks up
/// the queue of each waiting task again for each endpoint, among all queues that operators
/// have declared.
#[rstest]
#[case::queues(Case { added_queues: ADDED, added_workspaces: 0 })]
#[case::workspaces(Case { added_queues: 0, added_workspaces: ADDED })]
fn rounds_take_no_longer_with_a_large_configuration(#[case] case: Case) {
    let small = configuration(&["a"]);
    let large = case.configuration();
    let mut least = [Duration::MAX; 2];
    for _ in 0..REPETITIONS {
        for (configuration, least) in [&small, &large].into_iter().zip(&mut least) {
            *least = (*least).min(backlog_time(configuration));
        }
    }
    let ratio = least[1].as_secs_f64() / least[0].as_secs_f64();
    assert!(ratio < MAX_RATIO, "{ratio:.1}: {least:?}");
}
