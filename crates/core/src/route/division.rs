//! Divides the slots of a pool among entry hosts without coordination.
//!
//! Every entry host computes the division on its own. Entry hosts that agree on the hosts
//! and the members get the same division, in which each slot belongs to exactly one of
//! them.

use crate::fleet::{HostKey, ZoneKey};

/// An entry host that takes part in a division.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Peer {
    /// Unique name of the entry host, by which the division is ordered.
    pub entry: String,
    /// Availability zone of the entry host, if the configuration declares it.
    pub zone: Option<ZoneKey>,
}

/// An endpoint whose slots are divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DivisibleEndpoint {
    /// The host that the endpoint runs on.
    pub host: HostKey,
    /// Availability zone of the host.
    pub zone: ZoneKey,
    /// Number of slots to divide; zero for a host that accepts no work.
    pub slots: u32,
}

/// Divides pools among a fixed set of entry hosts.
#[derive(Clone, Debug)]
pub struct SlotDivider {
    peers: Vec<Peer>,
    this: usize,
}

impl SlotDivider {
    /// Returns a divider for the live entry hosts, from the point of view of `this`.
    ///
    /// `this` is added to `peers` if it is missing; their order doesn't matter.
    pub fn new(this: Peer, mut peers: Vec<Peer>) -> Self {
        if !peers.contains(&this) {
            peers.push(this.clone());
        }
        peers.sort_by(|a, b| a.entry.cmp(&b.entry));
        peers.dedup_by(|a, b| a.entry == b.entry);
        let position = peers.iter().position(|peer| peer.entry == this.entry);
        Self {
            peers,
            this: position.unwrap_or(0),
        }
    }

    /// Returns this entry host's slots at each endpoint, in the order of `endpoints`.
    ///
    /// Every entry host gets an equal part of the pool, within one slot: first slots in
    /// its own zone, then slots in other zones for the rest. All entry hosts must agree
    /// on the order of `endpoints` and on `offset`, which rotates the entry hosts that
    /// get one slot more.
    pub fn divide_slots(
        &self,
        endpoints: &[DivisibleEndpoint],
        offset: usize,
    ) -> Vec<u32> {
        let mut quotas = self.quotas(endpoints, offset);
        let mut remaining: Vec<u32> =
            endpoints.iter().map(|endpoint| endpoint.slots).collect();
        let mut own_slots = vec![0; endpoints.len()];
        let mut next = offset;
        for same_zone in [true, false] {
            for (index, endpoint) in endpoints.iter().enumerate() {
                while remaining[index] > 0 {
                    let recipient = self.next_recipient(
                        &quotas,
                        next,
                        same_zone.then_some(endpoint.zone),
                    );
                    let Some(peer) = recipient else { break };
                    quotas[peer] -= 1;
                    remaining[index] -= 1;
                    own_slots[index] += u32::from(peer == self.this);
                    next = peer + 1;
                }
            }
        }
        own_slots
    }

    fn quotas(&self, endpoints: &[DivisibleEndpoint], offset: usize) -> Vec<u64> {
        let total: u64 = endpoints
            .iter()
            .map(|endpoint| u64::from(endpoint.slots))
            .sum();
        let count = self.peers.len();
        let each = total / count as u64;
        let remainder = (total % count as u64) as usize;
        (0..count)
            .map(|index| each + u64::from((index + offset) % count < remainder))
            .collect()
    }

    /// Returns the next entry host in rotation that has quota left; with a zone, only one
    /// in that zone.
    fn next_recipient(
        &self,
        quotas: &[u64],
        next: usize,
        zone: Option<ZoneKey>,
    ) -> Option<usize> {
        let count = self.peers.len();
        (0..count).map(|step| (next + step) % count).find(|&index| {
            let same_zone = zone.is_none() || self.peers[index].zone == zone;
            same_zone && quotas[index] > 0
        })
    }
}
