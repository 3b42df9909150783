//! Synthetic fleets with entry hosts and services, modelled on two deployments.

use std::time::Duration;

use argh::FromArgValue;
use rhubarbrill_core::fleet::{
    Access, Budget, DisconnectedPolicy, Fleet, Host, Pool, PoolKey, Queue, QueueKey,
    Workspace, WorkspaceKey, Zone, ZoneKey,
};
use rhubarbrill_core::member::Member;

/// Number of requests that every endpoint runs at once.
pub const SLOTS_PER_ENDPOINT: u32 = 8;
/// Number of connections that every endpoint accepts.
pub const CONNECTIONS_PER_ENDPOINT: u32 = 64;
/// Number of entry hosts in front of a fleet.
pub const ENTRY_HOSTS: usize = 8;
/// Hosts in one rack.
const HOSTS_PER_RACK: usize = 4;
/// Number of hosts in each service pool.
const POOL_SIZES: [usize; 5] = [8, 9, 10, 11, 12];
/// Number of hosts in the spare pool.
const SPARE_POOL_SIZE: usize = 2;
/// Share of each workspace, relative to the sum of all.
const WORKSPACE_SHARES: [u32; 6] = [40, 25, 15, 10, 5, 5];
/// Maximum number of requests that wait for a pool, over all entry hosts.
pub const MAX_WAITING: u32 = 8_000;
/// Limit of every workspace; more than all slots, so that it never binds.
const WORKSPACE_LIMIT: u32 = 1_000;

/// A deployment whose fleet is modelled.
#[derive(Clone, Copy, Debug, Eq, FromArgValue, PartialEq)]
pub enum Site {
    /// Three availability zones, 0.5 ms apart one way.
    Magnolia,
    /// Four availability zones, 1.5 ms apart one way.
    Vestfjord,
}

/// A pool with its queue and the mean run time of its requests.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    pub pool: PoolKey,
    pub queue: QueueKey,
    /// Slots of all endpoints in the pool.
    pub slots: u32,
    /// Mean of the exponentially distributed run time of a request.
    pub mean_run_time: Duration,
}

/// A fleet, its entry hosts and its services.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub fleet: Fleet,
    pub members: Vec<Member>,
    pub workspaces: Vec<WorkspaceKey>,
    pub services: Vec<Service>,
    /// One-way network delay between availability zones.
    pub zone_delay: Duration,
}

impl Site {
    pub const ALL: [Self; 2] = [Self::Magnolia, Self::Vestfjord];

    /// Returns the name that the tables print.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Magnolia => "Magnolia",
            Self::Vestfjord => "Vestfjord",
        }
    }

    const fn zones(self) -> usize {
        match self {
            Self::Magnolia => 3,
            Self::Vestfjord => 4,
        }
    }

    const fn zone_delay(self) -> Duration {
        match self {
            Self::Magnolia => Duration::from_micros(500),
            Self::Vestfjord => Duration::from_micros(1_500),
        }
    }

    /// Returns the mean run time of each service's requests.
    const fn run_times(self) -> [Duration; 5] {
        let millis = match self {
            Self::Magnolia => [200, 300, 400, 800, 1_600],
            Self::Vestfjord => [400, 600, 1_000, 1_500, 3_000],
        };
        [
            Duration::from_millis(millis[0]),
            Duration::from_millis(millis[1]),
            Duration::from_millis(millis[2]),
            Duration::from_millis(millis[3]),
            Duration::from_millis(millis[4]),
        ]
    }
}

impl Deployment {
    /// Returns the fleet of a site behind the given number of entry hosts.
    pub fn new(site: Site, entry_hosts: usize) -> Self {
        let mut fleet = Fleet::default();
        let zones = declare_zones(&mut fleet, site.zones());
        let workspaces = declare_workspaces(&mut fleet, &WORKSPACE_SHARES);
        let max_waiting = MAX_WAITING / entry_hosts as u32;
        let mut services = Vec::new();
        for (index, size) in POOL_SIZES.into_iter().enumerate() {
            let pool = declare_pool(&mut fleet, &zones, &format!("service{index}"), size);
            services.push(Service {
                pool,
                queue: declare_queue(&mut fleet, pool, index, max_waiting),
                slots: SLOTS_PER_ENDPOINT * size as u32,
                mean_run_time: site.run_times()[index],
            });
        }
        declare_pool(&mut fleet, &zones, "spare", SPARE_POOL_SIZE);
        Self {
            fleet,
            members: members(entry_hosts, site.zones()),
            workspaces,
            services,
            zone_delay: site.zone_delay(),
        }
    }
}

/// Returns the given number of entry hosts, spread evenly over the availability zones.
pub fn members(entry_hosts: usize, zones: usize) -> Vec<Member> {
    let member = |index| Member {
        entry: format!("entry{index:04}"),
        zone: format!("zone{}", index % zones),
        incarnation: 1,
    };
    (0..entry_hosts).map(member).collect()
}

/// Declares the given number of availability zones in one region.
pub fn declare_zones(fleet: &mut Fleet, count: usize) -> Vec<ZoneKey> {
    let declare = |index| {
        let region = String::from("region");
        fleet.zones.upsert(&format!("zone{index}"), Zone { region })
    };
    (0..count).map(declare).collect()
}

/// Declares one workspace for each share.
pub fn declare_workspaces(fleet: &mut Fleet, shares: &[u32]) -> Vec<WorkspaceKey> {
    let declare = |(index, &share)| {
        let workspace = Workspace {
            share,
            limit: WORKSPACE_LIMIT,
            when_disconnected: DisconnectedPolicy::Serve,
        };
        fleet
            .workspaces
            .upsert(&format!("team{index:03}"), workspace)
    };
    shares.iter().enumerate().map(declare).collect()
}

/// Declares a pool with `size` hosts, spread over the zones.
///
/// The pool named `spare` becomes the spare pool.
pub fn declare_pool(
    fleet: &mut Fleet,
    zones: &[ZoneKey],
    name: &str,
    size: usize,
) -> PoolKey {
    let budget = Budget {
        max_out: 2,
        max_out_per_rack: 1,
        max_out_per_zone: 1,
    };
    let spare = name == "spare";
    let pool = fleet.pools.upsert(name, Pool { budget, spare });
    for index in 0..size {
        let host = Host {
            pool,
            zone: zones[index % zones.len()],
            rack: format!("{name}-rack{}", index / HOSTS_PER_RACK),
            address: ([127, 0, 0, 1], 1).into(),
            slots: SLOTS_PER_ENDPOINT,
            connections: CONNECTIONS_PER_ENDPOINT,
        };
        fleet.hosts.upsert(&format!("{name}-host{index:03}"), host);
    }
    pool
}

/// Declares the queue that feeds a pool.
pub fn declare_queue(
    fleet: &mut Fleet,
    pool: PoolKey,
    index: usize,
    max_waiting: u32,
) -> QueueKey {
    let queue = Queue {
        pool,
        path: format!("/service{index}"),
        access: Access::Keyed,
        max_run_time: Duration::from_secs(60),
        stops_on_close: true,
        max_waiting,
    };
    fleet.queues.upsert(&format!("queue{index:03}"), queue)
}
