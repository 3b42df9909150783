//! Options, configurations and specifications that most tests start from.

use std::time::Duration;

use rhubarbrill_core::job::configuration::{Pool, Queue, Workspace};
use rhubarbrill_core::job::scheduler::{ColdLimits, Options};
use rhubarbrill_core::job::spec::Spec;
use rhubarbrill_core::job::{Configuration, Features, Resource, Step};

use super::{MAX_RECORD_BYTES, Simulation};

/// Returns the scheduler options that the daemon uses.
pub const fn options(features: Features) -> Options {
    Options {
        lease_term: Duration::from_millis(5_000),
        max_lease: Duration::from_millis(6_000),
        inherited_bound: Duration::from_millis(9_425),
        max_record_bytes: MAX_RECORD_BYTES,
        retention: Duration::from_secs(150),
        max_capacity_age: Duration::from_millis(3_800),
        cold: ColdLimits {
            overrun_permille: 1_500,
            slack: 5,
        },
        features,
        host_orders_per_second: None,
    }
}

/// Returns a queue that is served by the pool of the same name.
pub fn queue(name: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        pool: name.to_owned(),
        priority: 0,
        attempts: 2,
        stretch: 1.6,
        target_latency: Duration::from_millis(600),
        public: false,
        placement_policy: None,
    }
}

/// Returns a configuration with the given pools and a standby pool named `spare`.
pub fn configuration_with_spare(pools: &[&str]) -> Configuration {
    let mut configuration = configuration(pools);
    configuration.pools.push(Pool {
        name: "spare".to_owned(),
        standby: true,
        ..Pool::default()
    });
    configuration
}

/// Returns a simulation of pool `a` with the given number of hosts and no standby pool, after
/// the hosts have been listed.
pub fn simulation(hosts: usize) -> Simulation {
    let mut simulation = Simulation::new(configuration(&["a"]));
    simulation.add_hosts("a", hosts);
    simulation.run_for(Duration::from_millis(200));
    simulation
}

/// Returns a simulation of pool `a` whose store takes records of at most `max_bytes`, after the
/// hosts have been listed.
pub fn simulation_with_max_record(hosts: usize, max_bytes: u64) -> Simulation {
    let options = Options {
        max_record_bytes: max_bytes,
        ..options(Features::NONE)
    };
    let mut simulation = Simulation::with_options(configuration(&["a"]), options);
    simulation.max_record_bytes = max_bytes;
    simulation.add_hosts("a", hosts);
    simulation.run_for(Duration::from_millis(200));
    simulation
}

/// Returns a simulation of pool `a` with the given numbers of hosts in it and in the standby
/// pool, after the hosts have been listed.
pub fn simulation_with_spare(hosts: usize, spare: usize) -> Simulation {
    let mut simulation = Simulation::new(configuration_with_spare(&["a"]));
    simulation.add_hosts("a", hosts);
    simulation.add_hosts("spare", spare);
    simulation.run_for(Duration::from_millis(200));
    simulation
}

/// Returns a configuration with the given pools and one workspace without limits.
pub fn configuration(pools: &[&str]) -> Configuration {
    let pool = |name: &str| Pool {
        name: name.to_owned(),
        standby: false,
        ..Pool::default()
    };
    Configuration {
        version: 1,
        queues: pools.iter().map(|name| queue(name)).collect(),
        pools: pools.iter().map(|name| pool(name)).collect(),
        workspaces: vec![Workspace {
            name: "w".to_owned(),
            keys: vec!["k".to_owned()],
            weight: None,
            limit: Resource::default(),
        }],
        max_body_bytes: 262_144,
        header_timeout: Duration::from_secs(3),
    }
}

/// Returns a step of `count` tasks that each need `cpu` thousandths of a core and an
/// estimated run time of `estimate_ms`.
pub fn step(count: u32, cpu: u64, estimate_ms: u64) -> Step {
    Step {
        count,
        demand: Resource {
            cpu,
            memory_mb: 1_000,
            gpu: 0,
        },
        estimate_ms,
        ..Step::default()
    }
}

/// Returns the specification of a job with the given steps.
pub fn spec(steps: Vec<Step>) -> Spec {
    Spec {
        payload: "p".to_owned(),
        steps,
        recurrence: None,
    }
}
