//! A simulated store of records, leases and members, on the simulation's clock.

use std::collections::BTreeMap;

use rhubarbrill_core::allowance::{
    Draft, Ledger, Membership, Shard, SwapOutcome, VersionedLedger,
};
use rhubarbrill_core::member::Member;

use super::WORKSPACES;

#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub records: BTreeMap<Shard, VersionedLedger>,
    /// When each lease expires.
    pub leases: BTreeMap<i64, u64>,
    /// The member record of each entry host, with its lease.
    pub members: BTreeMap<String, (i64, Member)>,
}

impl Store {
    pub fn read(&self, shard: Shard) -> VersionedLedger {
        self.records.get(&shard).cloned().unwrap_or_default()
    }

    pub fn ledger(&self, shard: Shard) -> Ledger {
        self.read(shard).ledger
    }

    pub fn membership(&self) -> Membership {
        Membership {
            revision: self.revision,
            members: self
                .members
                .values()
                .map(|(_, member)| member.clone())
                .collect(),
        }
    }

    pub fn expire(&mut self, now: u64) {
        self.leases.retain(|_, expires| *expires > now);
        let before = self.members.len();
        let leases = &self.leases;
        self.members
            .retain(|_, (lease, _)| leases.contains_key(lease));
        self.revision += u64::from(self.members.len() < before);
    }

    /// Writes a member record under a new lease, and overwrites any existing one.
    pub fn register(&mut self, member: &Member, expires: u64) -> i64 {
        self.revision += 1;
        let lease = self.revision.cast_signed();
        self.leases.insert(lease, expires);
        let record = (lease, member.clone());
        self.members.insert(member.entry.clone(), record);
        lease
    }

    /// Returns the member registered for an entry host.
    pub fn registered(&self, entry: &str) -> Option<&Member> {
        self.members.get(entry).map(|(_, member)| member)
    }

    pub fn swap(&mut self, shard: Shard, draft: Draft) -> SwapOutcome {
        let before = self.read(shard);
        if before.version != draft.version {
            return SwapOutcome::Conflict(before);
        }
        self.revision += 1;
        let version = self.revision;
        for workspace in WORKSPACES {
            let bound = before
                .ledger
                .limit(workspace)
                .max(draft.ledger.target(workspace));
            // More units than the declared limit may be held only after it was lowered.
            assert!(
                draft.ledger.held(workspace) <= bound,
                "{workspace}: more units are held than the limit allows"
            );
        }
        let ledger = draft.ledger;
        self.records
            .insert(shard, VersionedLedger { version, ledger });
        SwapOutcome::Done(version)
    }
}
