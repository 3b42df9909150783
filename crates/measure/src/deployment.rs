//! The fleets that are measured.

use std::time::Duration;

use argh::FromArgValue;
use rhubarbrill_core::fleet::{
    Access, Budget, DisconnectedPolicy, Fleet, Host, Pool, PoolKey, Queue, QueueKey,
    Workspace, WorkspaceKey, Zone, ZoneKey,
};
use rhubarbrill_core::member::Member;

/// Slots of every endpoint.
pub const SLOTS: u32 = 8;
/// Connections of every endpoint.
pub const CONNECTIONS: u32 = 64;
/// Entry hosts of a deployment.
pub const ENTRIES: usize = 8;
/// Hosts in one rack.
const HOSTS_PER_RACK: usize = 4;
/// Hosts of each service pool.
const POOL_SIZES: [usize; 5] = [8, 9, 10, 11, 12];
/// Hosts of the spare pool.
const SPARE_SIZE: usize = 2;
/// Shares of the workspaces.
const SHARES: [u32; 6] = [40, 25, 15, 10, 5, 5];
/// Most requests that wait for a pool, over all entry hosts.
pub const MAX_WAITING: u32 = 8_000;
/// Upper limit of every workspace, above all slots.
const LIMIT: u32 = 1_000;

/// Which users' fleet.
#[derive(Clone, Copy, Debug, Eq, FromArgValue, PartialEq)]
pub enum Site {
    /// Three zones, 0.5 ms apart.
    Magnolia,
    /// Four zones, 1.5 ms apart.
    Vestfjord,
}

/// A service: a pool, its queue and what its requests are like.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    pub pool: PoolKey,
    pub queue: QueueKey,
    pub slots: u32,
    pub mean_run_time: Duration,
}

/// A fleet, its entry hosts and its services.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub fleet: Fleet,
    pub members: Vec<Member>,
    pub workspaces: Vec<WorkspaceKey>,
    pub services: Vec<Service>,
    /// One way between zones.
    pub zone_delay: Duration,
}

impl Site {
    pub const ALL: [Self; 2] = [Self::Magnolia, Self::Vestfjord];

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
    /// Returns the fleet of a site, behind so many entry hosts.
    pub fn new(site: Site, entries: usize) -> Self {
        let mut fleet = Fleet::default();
        let zones = declare_zones(&mut fleet, site.zones());
        let workspaces = declare_workspaces(&mut fleet, &SHARES);
        let max_waiting = MAX_WAITING / entries as u32;
        let mut services = Vec::new();
        for (index, size) in POOL_SIZES.into_iter().enumerate() {
            let pool = declare_pool(&mut fleet, &zones, &format!("service{index}"), size);
            services.push(Service {
                pool,
                queue: declare_queue(&mut fleet, pool, index, max_waiting),
                slots: SLOTS * size as u32,
                mean_run_time: site.run_times()[index],
            });
        }
        declare_pool(&mut fleet, &zones, "spare", SPARE_SIZE);
        Self {
            fleet,
            members: members(entries, site.zones()),
            workspaces,
            services,
            zone_delay: site.zone_delay(),
        }
    }
}

/// Returns entry hosts spread over zones.
pub fn members(entries: usize, zones: usize) -> Vec<Member> {
    let member = |index| Member {
        entry: format!("entry{index:04}"),
        zone: format!("zone{}", index % zones),
        incarnation: 1,
    };
    (0..entries).map(member).collect()
}

/// Declares zones of one region.
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
            limit: LIMIT,
            when_disconnected: DisconnectedPolicy::Serve,
        };
        fleet
            .workspaces
            .upsert(&format!("team{index:03}"), workspace)
    };
    shares.iter().enumerate().map(declare).collect()
}

/// Declares a pool with its hosts, spread over the zones.
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
            slots: SLOTS,
            connections: CONNECTIONS,
        };
        fleet.hosts.upsert(&format!("{name}-host{index:03}"), host);
    }
    pool
}

/// Declares the queue of a pool.
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
