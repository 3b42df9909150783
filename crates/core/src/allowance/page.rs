//! What one entry host knows of one record.

use std::collections::BTreeMap;
use std::time::Duration;

use super::allocator::VersionedLedger;
use super::holder::{Epoch, Grant};
use super::sizing::Usage;
use super::{Lapses, Ledger, Limit, Units};
use crate::member::Member;
use crate::time::Instant;

/// One record as last read, and the swap that is under way.
#[derive(Clone, Debug, Default)]
pub(super) struct Page {
    pub(super) version: u64,
    pub(super) ledger: Ledger,
    /// When the newest reading or confirmed swap was begun.
    pub(super) read: Option<Instant>,
    /// A swap against `version` may still take effect.
    pub(super) unresolved: bool,
    /// Fewer units are held than wanted.
    pub(super) short: bool,
    pub(super) standing: Standing,
    /// The epoch in which the loans were last confirmed.
    pub(super) confirmed: Option<Epoch>,
    pub(super) last_swap: Option<Instant>,
    pub(super) pending: Option<Pending>,
    pub(super) lapses: Lapses,
    pub(super) usage: BTreeMap<String, Usage>,
    pub(super) removed: BTreeMap<String, Instant>,
    pub(super) limits: Limits,
}

/// Whether this process owns the floors kept under its entry host's name.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Standing {
    /// It hasn't adopted them yet.
    #[default]
    Candidate,
    /// It owns them, and uses them from a reading on.
    Owner(Instant),
    /// It has released them, or another incarnation owns them.
    Left,
}

/// The limits of a shard as declared, and the revision that last changed them.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    units: Option<Vec<Limit>>,
    changed: u64,
}

/// A swap that was handed out and not settled.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) ledger: Ledger,
    pub(super) started: Instant,
    /// The epoch in which the swap confirms loans.
    pub(super) epoch: Option<Epoch>,
    /// When a predecessor's work has ended, if the swap adopts its floors.
    pub(super) outwait: Option<Duration>,
}

impl Limits {
    /// Notes the limits of a revision and returns whether the record must show them.
    pub(super) fn note(
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

impl Page {
    /// Takes in a reading that was begun at `asked`; an older one than known is ignored.
    pub(super) fn accept(
        &mut self,
        reading: VersionedLedger,
        asked: Instant,
        member: &Member,
    ) {
        if reading.version < self.version {
            return;
        }
        self.read = self.read.max(Some(asked));
        if reading.version == self.version {
            return;
        }
        self.version = reading.version;
        self.ledger = reading.ledger;
        self.unresolved = false;
        self.note_owner(member);
    }

    /// Takes in the ledger that a confirmed swap wrote.
    pub(super) fn commit(&mut self, pending: Pending, version: u64, now: Instant) {
        if version >= self.version {
            self.version = version;
            self.ledger = pending.ledger;
            self.unresolved = false;
        }
        self.read = self.read.max(Some(pending.started));
        self.confirmed = pending.epoch.or(self.confirmed);
        if let (Some(wait), Standing::Candidate) = (pending.outwait, self.standing) {
            self.standing = Standing::Owner(now + wait);
        }
    }

    /// Returns whether floors may be changed at `now`.
    pub(super) fn owns(&self, now: Instant) -> bool {
        matches!(self.standing, Standing::Owner(from) if from <= now)
    }

    /// Returns what a ledger grants to a member for a workspace.
    pub(super) fn grant(
        &self,
        ledger: &Ledger,
        workspace: &str,
        member: &Member,
    ) -> Grant {
        let holding = ledger.holding(workspace, &member.entry);
        let mut units = Units::default();
        if let Standing::Owner(from) = self.standing {
            units.floor = holding.map_or(0, |holding| holding.floor);
            units.floor_from = from;
        }
        units.loaned = holding.map_or(0, |holding| holding.loan(member.incarnation));
        Grant {
            units,
            loan_epoch: self.confirmed,
            cap: cap(ledger, workspace, units.floor + units.loaned),
            confirmed: self.read.unwrap_or_default(),
        }
    }

    /// An owner that finds another incarnation in its place has lost its floors.
    fn note_owner(&mut self, member: &Member) {
        let owner = self.ledger.owner(&member.entry);
        if matches!(self.standing, Standing::Owner(_))
            && owner != Some(member.incarnation)
        {
            self.standing = Standing::Left;
        }
    }
}

/// Returns the most of `units` to keep while more is held than declared.
///
/// The parts that holders keep add up to at most the declared limit.
pub(super) fn cap(ledger: &Ledger, workspace: &str, units: u32) -> Option<u32> {
    let held = u64::from(ledger.held(workspace));
    let target = u64::from(ledger.target(workspace));
    (held > target)
        .then(|| u32::try_from(u64::from(units) * target / held).unwrap_or(units))
}
