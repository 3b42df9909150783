//! Detects members whose record has expired and whose work must have ended.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Ledger;
use crate::member::Member;
use crate::time::Instant;

/// The members whose records exist in the store at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    /// Store revision at which the records were read.
    pub revision: u64,
    /// The members with a record at that revision.
    pub members: BTreeSet<Member>,
}

impl Membership {
    fn contains(&self, evidence: &Evidence) -> bool {
        self.members.iter().any(|member| {
            member.entry == evidence.entry && member.incarnation == evidence.incarnation
        })
    }
}

/// Evidence that the loans of a member may be reclaimed.
///
/// Only [`ExpiredBorrowers`] issues it. It becomes void when the member confirms its
/// loans again.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Evidence {
    entry: String,
    incarnation: u64,
    confirmation: u64,
}

impl Evidence {
    pub(super) fn new(entry: &str, incarnation: u64, confirmation: u64) -> Self {
        Self {
            entry: entry.to_owned(),
            incarnation,
            confirmation,
        }
    }

    /// Returns the name of the entry host whose member is gone.
    pub fn entry(&self) -> &str {
        &self.entry
    }

    /// Returns the incarnation of the process that is gone.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(super) const fn confirmation(&self) -> u64 {
        self.confirmation
    }
}

/// The borrowers whose member record has expired, each with the local time at which this
/// process first noticed it.
#[derive(Clone, Debug, Default)]
pub struct ExpiredBorrowers {
    since: BTreeMap<Evidence, Instant>,
}

impl ExpiredBorrowers {
    /// Compares the borrowers of a ledger with the registered members at `now`.
    ///
    /// A member registers before it borrows. A missing member record therefore shows that
    /// the member is gone only if the membership was read at or after the ledger's
    /// `version`. When a member confirms its loans again, its waiting time starts anew.
    pub fn observe(
        &mut self,
        ledger: &Ledger,
        version: u64,
        membership: &Membership,
        now: Instant,
    ) {
        let fresh = membership.revision >= version;
        let mut since = BTreeMap::new();
        for borrower in ledger.borrowers() {
            let known = self.since.get(&borrower).copied();
            let start = known.or_else(|| fresh.then_some(now));
            if let Some(start) = start.filter(|_| !membership.contains(&borrower)) {
                since.insert(borrower, start);
            }
        }
        self.since = since;
    }

    /// Returns evidence for the members that have been gone for at least `reuse_delay`.
    pub fn reclaimable(
        &self,
        now: Instant,
        reuse_delay: Duration,
    ) -> impl Iterator<Item = Evidence> {
        self.since
            .iter()
            .filter(move |&(_, &start)| now.saturating_since(start) >= reuse_delay)
            .map(|(evidence, _)| evidence.clone())
    }
}
