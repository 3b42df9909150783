//! Amounts that are too large to be real, in jobs and in registrations.

use std::time::Duration;

use rhubarbrill_core::job::{Resource, Spec, Step};
use rstest::rstest;

mod job_support;

use job_support::{Simulation, configuration, simulation, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Limit of the workspace, in thousandths of a core.
const LIMIT_CPU: u64 = 70_000;

fn demanding(cpu: u64, memory_mb: u64, gpu: u64, estimate_ms: u64) -> Spec {
    spec(vec![Step {
        demand: Resource {
            cpu,
            memory_mb,
            gpu,
        },
        ..step(3, 1, estimate_ms)
    }])
}

/// Guards against jobs that are accepted although their amounts are beyond anything real.
#[rstest]
#[case::cpu(demanding(u64::MAX, 1, 0, 1))]
#[case::memory(demanding(1, u64::MAX - 1, 0, 1))]
#[case::gpu(demanding(1, 1, u64::MAX / 2, 1))]
#[case::estimate(demanding(1, 1, 0, u64::MAX))]
fn job_with_an_amount_beyond_anything_real_is_rejected(#[case] job: Spec) {
    assert!(job.check().is_err());
}

/// Guards against sums that wrap, so that a workspace has more running than its limit (QUOTA),
/// and against sums that end the process.
#[rstest]
#[case::cpu(demanding(u64::MAX - 1, 1, 0, 1_000))]
#[case::memory(demanding(1, u64::MAX, 0, 1_000))]
#[case::estimate(demanding(1_000, 1_000, 0, u64::MAX))]
#[case::all(demanding(u64::MAX, u64::MAX, u64::MAX, u64::MAX))]
fn stored_job_with_such_amounts_harms_no_other(#[case] job: Spec) {
    let mut configuration = configuration(&["a"]);
    configuration.workspaces[0].limit.cpu = LIMIT_CPU;
    let mut simulation = Simulation::new(configuration);
    simulation.add_hosts("a", 8);
    simulation.run_for(SECOND / 5);
    simulation.submit("a", job);
    simulation.run_for(SECOND / 5);
    for _ in 0..20 {
        simulation.submit("a", spec(vec![step(6, 3_500, 1_000)]));
        simulation.run_for(SECOND / 10);
        let used = simulation
            .endpoints
            .values()
            .map(|endpoint| endpoint.used().cpu);
        assert!(used.sum::<u64>() <= LIMIT_CPU);
    }
}

/// Guards against an endpoint whose registration tells an absurd capacity.
#[test]
fn absurd_capacity_of_one_endpoint_harms_no_job() {
    let mut simulation = simulation(3);
    let absurd = Resource {
        cpu: u64::MAX,
        memory_mb: u64::MAX,
        gpu: u64::MAX,
    };
    let ids: Vec<String> = simulation.endpoints.keys().cloned().collect();
    for id in &ids[..2] {
        simulation.resize(id, absurd);
        simulation.publish(id);
    }
    for host in simulation.hosts.values_mut() {
        host.capacity = absurd;
    }
    simulation.list_hosts();
    let job = simulation.submit("a", spec(vec![step(6, 3_500, 500)]));
    assert!(simulation.run_until_finished(&job, 5 * SECOND));
}
