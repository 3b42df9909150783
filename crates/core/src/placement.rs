//! Where each host stands now: its pool, and whether it takes new work.

use slotmap::SecondaryMap;

use crate::fleet::{Fleet, HostKey, PoolKey};

/// The placement of every host at run time.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    hosts: SecondaryMap<HostKey, HostPlacement>,
}

/// One host's pool, and whether it takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostPlacement {
    /// The one pool the host belongs to.
    pub pool: PoolKey,
    /// Whether new work may be sent to the host.
    pub accepts: bool,
}

impl Placement {
    /// Returns the placement in which each host serves the pool it is declared for.
    pub fn declared(fleet: &Fleet) -> Self {
        let mut placement = Self::default();
        for (key, _, host) in fleet.hosts.iter() {
            placement.set(
                key,
                HostPlacement {
                    pool: host.pool,
                    accepts: true,
                },
            );
        }
        placement
    }

    /// Records the placement of a host.
    pub fn set(&mut self, host: HostKey, placement: HostPlacement) {
        self.hosts.insert(host, placement);
    }

    /// Returns the placement of a host.
    pub fn get(&self, host: HostKey) -> Option<HostPlacement> {
        self.hosts.get(host).copied()
    }

    /// Returns every host with its placement, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (HostKey, HostPlacement)> {
        self.hosts.iter().map(|(key, &placement)| (key, placement))
    }
}
