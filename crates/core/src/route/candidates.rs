//! Candidates of one pool: the endpoints that have a free slot for this entry host.

use super::endpoint::{CandidatePosition, Tier};
use crate::fleet::HostKey;

#[derive(Clone, Debug, Default)]
pub(super) struct PoolCandidates {
    same_zone: Vec<HostKey>,
    other_zone: Vec<HostKey>,
    probing: Vec<HostKey>,
    pub(super) units: u32,
    pub(super) declared: u32,
    pub(super) accepting: u32,
}

impl PoolCandidates {
    pub(super) fn tier(&self, tier: Tier) -> &[HostKey] {
        match tier {
            Tier::SameZone => &self.same_zone,
            Tier::OtherZone => &self.other_zone,
            Tier::Probing => &self.probing,
        }
    }

    pub(super) fn push(&mut self, tier: Tier, host: HostKey) -> CandidatePosition {
        let hosts = self.tier_mut(tier);
        hosts.push(host);
        CandidatePosition {
            tier,
            index: hosts.len() - 1,
        }
    }

    /// Removes the candidate at a position and returns the host that was moved there in
    /// its place, if any.
    pub(super) fn remove(&mut self, position: CandidatePosition) -> Option<HostKey> {
        let hosts = self.tier_mut(position.tier);
        hosts.swap_remove(position.index);
        hosts.get(position.index).copied()
    }

    fn tier_mut(&mut self, tier: Tier) -> &mut Vec<HostKey> {
        match tier {
            Tier::SameZone => &mut self.same_zone,
            Tier::OtherZone => &mut self.other_zone,
            Tier::Probing => &mut self.probing,
        }
    }
}
