//! Divides the slots of a pool among entry hosts without a counter in the middle.
//!
//! Every entry host works the division out for itself. All that agree on the hosts and
//! the members get the same one, in which each slot belongs to exactly one entry host.

use crate::fleet::{HostKey, ZoneKey};

/// An entry host in a division.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Peer {
    /// Name of the entry host.
    pub entry: String,
    /// The zone it stands in, if that is declared.
    pub zone: Option<ZoneKey>,
}

/// An endpoint in a division.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DivisibleEndpoint {
    /// The host.
    pub host: HostKey,
    /// The zone it stands in.
    pub zone: ZoneKey,
    /// Slots to divide.
    pub slots: u32,
}

/// Divides pools among a fixed list of entry hosts.
#[derive(Clone, Debug)]
pub struct SlotDivider {
    peers: Vec<Peer>,
    this: usize,
}

impl SlotDivider {
    /// Returns a divider for the live entry hosts, seen from the one named `this`.
    ///
    /// `this` is added if it is missing; the order of `peers` doesn't matter.
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

    /// Returns this entry host's slots at each site, in the order of `sites`.
    ///
    /// Every entry host gets an equal part of the pool, within one slot: slots of its
    /// own zone first, and slots of other zones for what is missing. `sites` must be in
    /// an order that all entry hosts agree on, and so must `offset`, which rotates who
    /// gets the odd slots.
    pub fn divide(&self, sites: &[DivisibleEndpoint], offset: usize) -> Vec<u32> {
        let mut quotas = self.quotas(sites, offset);
        let mut left: Vec<u32> = sites.iter().map(|site| site.slots).collect();
        let mut own = vec![0; sites.len()];
        let mut turn = offset;
        for near in [true, false] {
            for (index, site) in sites.iter().enumerate() {
                while left[index] > 0 {
                    let taker = self.next_taker(&quotas, turn, near.then_some(site.zone));
                    let Some(peer) = taker else { break };
                    quotas[peer] -= 1;
                    left[index] -= 1;
                    own[index] += u32::from(peer == self.this);
                    turn = peer + 1;
                }
            }
        }
        own
    }

    fn quotas(&self, sites: &[DivisibleEndpoint], offset: usize) -> Vec<u64> {
        let total: u64 = sites.iter().map(|site| u64::from(site.slots)).sum();
        let count = self.peers.len();
        let each = total / count as u64;
        let odd = (total % count as u64) as usize;
        (0..count)
            .map(|index| each + u64::from((index + offset) % count < odd))
            .collect()
    }

    /// Returns the next entry host in rotation that has quota left, in a zone if given.
    fn next_taker(
        &self,
        quotas: &[u64],
        turn: usize,
        zone: Option<ZoneKey>,
    ) -> Option<usize> {
        let count = self.peers.len();
        (0..count).map(|step| (turn + step) % count).find(|&index| {
            let near = zone.is_none() || self.peers[index].zone == zone;
            near && quotas[index] > 0
        })
    }
}
