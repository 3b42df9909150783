//! The current pool of each host, and whether the host accepts new work.

use slotmap::SecondaryMap;

use crate::fleet::{Fleet, HostKey, PoolKey};

/// The current placement of every host.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    hosts: SecondaryMap<HostKey, HostPlacement>,
}

/// The current pool of one host, and whether the host accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostPlacement {
    /// The pool to which the host currently belongs.
    pub pool: PoolKey,
    /// Whether new work may be sent to the host.
    pub accepts: bool,
}

impl Placement {
    /// Returns the placement in which every host accepts work for its declared pool.
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

    /// Sets the placement of a host.
    pub fn set(&mut self, host: HostKey, placement: HostPlacement) {
        self.hosts.insert(host, placement);
    }

    /// Returns the placement of a host, or `None` if none was set.
    pub fn get(&self, host: HostKey) -> Option<HostPlacement> {
        self.hosts.get(host).copied()
    }

    /// Returns every host with its placement, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (HostKey, HostPlacement)> {
        self.hosts.iter().map(|(key, &placement)| (key, placement))
    }
}
