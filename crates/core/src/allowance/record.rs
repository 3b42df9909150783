//! One entry host's view of one allowance record.

use std::collections::BTreeMap;
use std::time::Duration;

use super::allocator::VersionedLedger;
use super::holder::{Epoch, Grant};
use super::sizing::PeakDemand;
use super::{ExpiredBorrowers, Ledger, Limit, Units};
use crate::member::Member;
use crate::time::Instant;

/// An allowance record as last read, and the swap that is pending.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordState {
    /// Store revision of the record's last known change.
    pub(super) version: u64,
    pub(super) ledger: Ledger,
    /// When the latest read or confirmed swap was started.
    pub(super) last_read: Option<Instant>,
    /// Whether a swap against `version` may have taken effect, or may still do so.
    pub(super) unresolved: bool,
    /// Whether fewer units are held than wanted.
    pub(super) below_demand: bool,
    pub(super) ownership: FloorOwnership,
    /// The epoch in which the loans were last confirmed.
    pub(super) confirmed: Option<Epoch>,
    pub(super) last_swap: Option<Instant>,
    pub(super) pending: Option<Pending>,
    pub(super) expired_borrowers: ExpiredBorrowers,
    pub(super) peak_demand: BTreeMap<String, PeakDemand>,
    /// When each workspace was first found to be no longer declared.
    pub(super) removed: BTreeMap<String, Instant>,
    pub(super) limits: Limits,
}

/// Whether this process owns the floors recorded for its entry host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum FloorOwnership {
    /// The process hasn't adopted them yet.
    #[default]
    NotAdopted,
    /// The process owns them, and may use them from this time on.
    Owner(Instant),
    /// The process has released them, or another incarnation owns them.
    Relinquished,
}

/// The declared limits of a shard, and the revision that last changed them.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    units: Option<Vec<Limit>>,
    changed: u64,
}

/// A swap whose draft was returned and whose outcome isn't recorded yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) ledger: Ledger,
    pub(super) started: Instant,
    /// The epoch in which the swap confirms loans.
    pub(super) epoch: Option<Epoch>,
    /// How long the floors must stay unused, if the swap adopts them: until the work of a
    /// predecessor must have ended.
    pub(super) floor_delay: Option<Duration>,
}

impl Limits {
    /// Records the limits of a revision, and returns whether the record must be updated
    /// to them.
    pub(super) fn update(
        &mut self,
        limits: &[Limit],
        revision: u64,
        ledger: &Ledger,
    ) -> bool {
        let changed = self.units.as_ref().is_some_and(|units| units != limits);
        if changed {
            self.changed = revision;
        }
        self.units = Some(limits.to_vec());
        let missing = limits
            .iter()
            .any(|limit| ledger.target(&limit.workspace) != limit.units);
        let declared =
            |workspace: &str| limits.iter().any(|limit| limit.workspace == workspace);
        let surplus = ledger
            .workspaces()
            .any(|workspace| ledger.target(workspace) > 0 && !declared(workspace));
        revision > ledger.revision()
            && (missing || surplus || ledger.revision() < self.changed)
    }
}

impl RecordState {
    /// Updates the state from a read that was sent at `requested_at`.
    ///
    /// A record older than the known one is ignored.
    pub(super) fn accept_read(
        &mut self,
        found: VersionedLedger,
        requested_at: Instant,
        member: &Member,
    ) {
        if found.version < self.version {
            return;
        }
        self.last_read = self.last_read.max(Some(requested_at));
        if found.version == self.version {
            return;
        }
        self.version = found.version;
        self.ledger = found.ledger;
        self.unresolved = false;
        self.check_ownership(member);
    }

    /// Updates the state from a confirmed swap.
    pub(super) fn commit(&mut self, pending: Pending, version: u64, now: Instant) {
        if version >= self.version {
            self.version = version;
            self.ledger = pending.ledger;
            self.unresolved = false;
        }
        self.last_read = self.last_read.max(Some(pending.started));
        self.confirmed = pending.epoch.or(self.confirmed);
        if let (Some(wait), FloorOwnership::NotAdopted) =
            (pending.floor_delay, self.ownership)
        {
            self.ownership = FloorOwnership::Owner(now + wait);
        }
    }

    /// Returns whether the process may use and change the floors at `now`.
    pub(super) fn owns_floors(&self, now: Instant) -> bool {
        matches!(self.ownership, FloorOwnership::Owner(from) if from <= now)
    }

    /// Returns the units of a workspace that a ledger grants to a member.
    pub(super) fn grant(
        &self,
        ledger: &Ledger,
        workspace: &str,
        member: &Member,
    ) -> Grant {
        let holding = ledger.holding(workspace, &member.entry);
        let mut units = Units::default();
        if let FloorOwnership::Owner(from) = self.ownership {
            units.floor = holding.map_or(0, |holding| holding.floor);
            units.floor_from = from;
        }
        units.loaned = holding.map_or(0, |holding| holding.loan(member.incarnation));
        Grant {
            units,
            loan_epoch: self.confirmed,
            cap: cap(ledger, workspace, units.floor + units.loaned),
            confirmed: self.last_read.unwrap_or_default(),
        }
    }

    /// Gives up the floors when the ledger shows that this process no longer owns them.
    fn check_ownership(&mut self, member: &Member) {
        let owner = self.ledger.owner(&member.entry);
        if matches!(self.ownership, FloorOwnership::Owner(_))
            && owner != Some(member.incarnation)
        {
            self.ownership = FloorOwnership::Relinquished;
        }
    }
}

/// Returns the number of `units` to keep while more is held than the declared limit.
///
/// Each holder keeps a part in proportion to its units, rounded down, so that the parts
/// add up to at most the declared limit.
pub(super) fn cap(ledger: &Ledger, workspace: &str, units: u32) -> Option<u32> {
    let held = u64::from(ledger.held(workspace));
    let target = u64::from(ledger.target(workspace));
    (held > target)
        .then(|| u32::try_from(u64::from(units) * target / held).unwrap_or(units))
}
