//! Synthetic fleets for the measurement of maintenance decisions.

use rhubarbrill_core::fleet::{Budget, Fleet, Host, Pool, PoolKey, Zone, ZoneKey};

const SLOTS_PER_ENDPOINT: u32 = 8;
const CONNECTIONS_PER_ENDPOINT: u32 = 64;
const HOSTS_PER_RACK: usize = 4;
const PLANNED_POOLS: usize = 160;
const PLANNED_HOSTS: usize = 8_100;
const PLANNED_SPARES: usize = 80;
/// Number of zones over which each pool of a large fleet is spread, and of zones in one
/// region.
const ZONES_PER_PLANNED_POOL: usize = 3;

/// A fleet that is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Site {
    /// Three zones, five services, one spare host.
    Magnolia,
    /// Four zones, five services, one spare host.
    Vestfjord,
    /// 8,100 hosts in 160 pools over 19 zones.
    Planned,
    /// Laid out as `Planned`, with this many pools of ten hosts and one spare host.
    Scaled(usize),
}

impl Site {
    /// Returns the name that the tables print.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Magnolia => "Magnolia",
            Self::Vestfjord => "Vestfjord",
            Self::Planned => "planned",
            Self::Scaled(_) => "scaled",
        }
    }

    /// Builds the fleet.
    pub fn fleet(self) -> Fleet {
        match self {
            Self::Magnolia => small_fleet(3, &[10, 8, 12, 9, 11]),
            Self::Vestfjord => small_fleet(4, &[10, 10, 10, 10, 10]),
            Self::Planned => large_fleet(
                PLANNED_POOLS,
                PLANNED_HOSTS - PLANNED_SPARES,
                PLANNED_SPARES,
            ),
            Self::Scaled(pools) => large_fleet(pools, pools * 10, 1),
        }
    }
}

/// Builds a fleet, placing hosts in the racks of each zone.
struct FleetBuilder {
    fleet: Fleet,
    zones: Vec<ZoneKey>,
    /// Number of hosts added to each zone so far.
    hosts_per_zone: Vec<usize>,
}

impl FleetBuilder {
    fn new(zones: usize) -> Self {
        let mut fleet = Fleet {
            revision: 1,
            ..Fleet::default()
        };
        let region = |zone: usize| Zone {
            region: format!("r{}", zone / ZONES_PER_PLANNED_POOL),
        };
        let zones: Vec<_> = (0..zones)
            .map(|zone| fleet.zones.upsert(&format!("z{zone:02}"), region(zone)))
            .collect();
        Self {
            hosts_per_zone: vec![0; zones.len()],
            fleet,
            zones,
        }
    }

    fn add_pool(&mut self, name: &str, budget: Budget, spare: bool) -> PoolKey {
        self.fleet.pools.upsert(name, Pool { budget, spare })
    }

    /// Adds a host to the zone's last rack, or to a new one if that is full.
    fn add_host(&mut self, name: &str, pool: PoolKey, zone: usize) {
        let rack = self.hosts_per_zone[zone] / HOSTS_PER_RACK;
        self.hosts_per_zone[zone] += 1;
        let host = Host {
            pool,
            zone: self.zones[zone],
            rack: format!("k{rack}"),
            address: ([127, 0, 0, 1], 1).into(),
            slots: SLOTS_PER_ENDPOINT,
            connections: CONNECTIONS_PER_ENDPOINT,
        };
        self.fleet.hosts.upsert(name, host);
    }
}

/// Returns a maintenance budget that allows one host out per rack.
const fn budget(max_out: u32, max_out_per_zone: u32) -> Budget {
    Budget {
        max_out,
        max_out_per_rack: 1,
        max_out_per_zone,
    }
}

/// Builds a fleet with one pool for each service and one spare host.
fn small_fleet(zones: usize, services: &[usize]) -> Fleet {
    let mut builder = FleetBuilder::new(zones);
    for (service, &size) in services.iter().enumerate() {
        let pool = builder.add_pool(&format!("s{service}"), budget(2, 1), false);
        for host in 0..size {
            let zone = (service + host) % zones;
            builder.add_host(&format!("s{service}-{host:02}"), pool, zone);
        }
    }
    let spare = builder.add_pool("spare", budget(1, 1), true);
    builder.add_host("spare-00", spare, 0);
    builder.fleet
}

/// Builds a fleet over 19 zones with equal pools and the given number of spare hosts.
fn large_fleet(pools: usize, hosts: usize, spares: usize) -> Fleet {
    const ZONES: usize = 19;
    let mut builder = FleetBuilder::new(ZONES);
    let keys: Vec<_> = (0..pools)
        .map(|pool| builder.add_pool(&format!("p{pool:03}"), budget(5, 2), false))
        .collect();
    for host in 0..hosts {
        let pool = host % pools;
        let zone = (pool + (host / pools) % ZONES_PER_PLANNED_POOL) % ZONES;
        builder.add_host(&format!("p{pool:03}-{host:05}"), keys[pool], zone);
    }
    let spare = builder.add_pool("spare", budget(8, 2), true);
    for host in 0..spares {
        builder.add_host(&format!("spare-{host:02}"), spare, host % ZONES);
    }
    builder.fleet
}
