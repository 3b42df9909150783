//! Reports of endpoints that list only the first of many ends.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::Authority;
use rstest::rstest;

mod job_support;

use job_support::{Simulation, simulation, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Largest number of ends that an endpoint lists in one report.
const MAX_REPORTED_ENDS: usize = 5;

/// Number of tasks that end while no end can be acknowledged.
const TASKS: u32 = 24;

/// Run time of the tasks, in milliseconds.
const TASK_MS: u64 = 2_000;

/// What happens while the tasks end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    /// Nothing.
    None,
    /// The store takes no writes.
    StoreAway,
    /// The store takes no writes, and the leader only renews leases.
    StoreAwayUncertainLeader,
    /// The leader is gone, and the next one takes over its runs.
    LeaderLost,
    /// The store takes no writes, then the next leader takes over.
    StoreAwayLeaderLost,
}

impl Trouble {
    fn begin(self, simulation: &mut Simulation) {
        let takes_writes = matches!(self, Self::None | Self::LeaderLost);
        simulation.store_available = takes_writes;
        if self == Self::StoreAwayUncertainLeader {
            simulation.authority = Authority::HoldOnly;
        }
        if self == Self::LeaderLost {
            simulation.authority = Authority::Suspended;
        }
    }

    fn end(self, simulation: &mut Simulation) {
        simulation.store_available = true;
        simulation.authority = Authority::Certain;
        if matches!(self, Self::LeaderLost | Self::StoreAwayLeaderLost) {
            simulation.elect_new_leader(false);
        }
    }
}

/// Guards against tasks that run twice after more of them have ended than a report lists
/// (TWICE): those that the report left out counted as gone.
#[rstest]
fn tasks_run_once_if_a_report_leaves_out_their_ends(
    #[values(
        Trouble::None,
        Trouble::StoreAway,
        Trouble::StoreAwayUncertainLeader,
        Trouble::LeaderLost,
        Trouble::StoreAwayLeaderLost
    )]
    trouble: Trouble,
) {
    let mut simulation = simulation(2);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.max_reported_ends = MAX_REPORTED_ENDS;
    }
    let job = simulation.submit("a", spec(vec![step(TASKS, 1_000, TASK_MS)]));
    simulation.run_for(SECOND);
    assert_eq!(simulation.active_run_count(), TASKS as usize);
    trouble.begin(&mut simulation);
    simulation.run_for(2 * SECOND);
    assert_eq!(simulation.active_run_count(), 0);
    trouble.end(&mut simulation);
    assert!(
        simulation.run_until_finished(&job, 10 * SECOND),
        "{trouble:?}"
    );
    assert_eq!(simulation.observed.starts.len(), TASKS as usize);
}
