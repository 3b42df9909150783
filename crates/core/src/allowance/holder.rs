//! The entry host's side: units it holds and the work that occupies them.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::fleet::WorkspaceKey;
use crate::time::Instant;

/// Units of every workspace that one entry host holds.
///
/// A holder that was built by `default` trusts its floors through any pause; one that a
/// [`Allocator`](super::Allocator) feeds needs [`Holder::with_longest_pause`].
#[derive(Clone, Debug, Default)]
pub struct Holder {
    accounts: SecondaryMap<WorkspaceKey, Account>,
    lease: Option<Lease>,
    longest_pause: Option<Duration>,
    last_seen: Instant,
    trust: Trust,
    wakes: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    units: Units,
    /// The epoch in which the loans were last confirmed.
    loan_epoch: Option<Epoch>,
    /// No unit may be used before this reading.
    frozen_until: Instant,
    /// When the newest reading of the record was begun.
    confirmed: Instant,
    cap: Option<u32>,
    running: u32,
}

/// Units of one workspace that an entry host holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Units {
    /// Units without expiry.
    pub floor: u32,
    /// The floor isn't used before this reading: a predecessor's work may still run.
    pub floor_from: Instant,
    /// Units under the member lease.
    pub loaned: u32,
}

/// The member lease of this process, as far as it is certain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The store's name of the lease; a new one means that the former had ended.
    pub id: i64,
    /// A reading from before the last renewal, or the registration, was sent.
    pub renewed: Instant,
    /// How long the lease is certain to hold from then on: its term, less a margin.
    pub valid_for: Duration,
}

impl Lease {
    /// Returns when the lease stops being certain.
    pub fn valid_until(&self) -> Instant {
        self.renewed + self.valid_for
    }
}

/// A time through which others can't have counted the member as gone.
///
/// It ends with the lease, and with a pause that is longer than trusted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Epoch {
    lease: i64,
    wakes: u32,
}

/// Whether the process can still rule out that a replacement took its place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trust {
    /// It can, by any reading of the record begun from here on.
    Since(Instant),
    /// It was paused too long, and must renew its lease from here on.
    Lost(Instant),
}

impl Default for Trust {
    fn default() -> Self {
        Self::Since(Instant::ZERO)
    }
}

/// Why a workspace can't start more work here now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Every unit held is occupied.
    Occupied,
    /// Units would be needed whose lease or ownership is not certain to hold.
    LeaseUncertain,
}

impl Holder {
    /// Returns the holder with the longest pause through which it trusts its floors.
    ///
    /// After a longer pause a replacement may have taken this process's place. Nothing is
    /// usable then until the lease has been renewed; floors wait for a new reading of the
    /// record besides, and loans for a swap that confirms them.
    pub fn with_longest_pause(mut self, span: Duration) -> Self {
        self.longest_pause = Some(span);
        self
    }

    /// Sets the units that the entry host owns without expiry.
    pub fn set_floor(&mut self, workspace: WorkspaceKey, units: u32) {
        if let Some(account) = self.account_mut(workspace) {
            account.units.floor = units;
        }
    }

    /// Records the member lease after a renewal or a registration, answered at `now`.
    ///
    /// Only while the member record is still this process's own: a lease can outlast the
    /// record when a replacement has written over it.
    pub fn set_lease(&mut self, lease: Lease, now: Instant) {
        self.observe(now);
        self.lease = Some(lease);
        if matches!(self.trust, Trust::Lost(woke) if lease.renewed >= woke) {
            self.trust = Trust::Since(now);
        }
    }

    /// Notes that the process runs at `now`; call it several times a second.
    pub fn observe(&mut self, now: Instant) {
        if self.paused(now) {
            self.trust = Trust::Lost(now);
            self.wakes += 1;
        }
        self.last_seen = self.last_seen.max(now);
    }

    /// Occupies one unit of the workspace.
    ///
    /// # Errors
    ///
    /// Returns the [`Shortage`] when no unit can be occupied at `now`.
    pub fn try_start(
        &mut self,
        workspace: WorkspaceKey,
        now: Instant,
    ) -> Result<(), Shortage> {
        self.observe(now);
        let account = self.accounts.get(workspace).ok_or(Shortage::Occupied)?;
        let usable = self.usable(account, now);
        if account.running >= usable {
            return Err(account.shortage(usable));
        }
        self.accounts[workspace].running += 1;
        Ok(())
    }

    /// Returns whether work of the workspace that occupies a unit may still be sent at
    /// `now`.
    ///
    /// Ask with a fresh reading right before the first byte leaves: a process that was
    /// paused may have lost its loan meanwhile.
    pub fn may_send(&self, workspace: WorkspaceKey, now: Instant) -> bool {
        self.accounts.get(workspace).is_some_and(|account| {
            account.running > 0 && account.running <= self.usable(account, now)
        })
    }

    /// Frees one unit of the workspace, whose work has ended or was never sent.
    ///
    /// Work that was given up on keeps its unit until it can't run any more.
    pub fn finish(&mut self, workspace: WorkspaceKey) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.running = account.running.saturating_sub(1);
        }
    }

    /// Returns the number of units of the workspace that are occupied.
    pub fn running(&self, workspace: WorkspaceKey) -> u32 {
        self.accounts
            .get(workspace)
            .map_or(0, |account| account.running)
    }

    /// Returns the units of the workspace that are held, usable now or not.
    pub fn units(&self, workspace: WorkspaceKey) -> Units {
        self.accounts
            .get(workspace)
            .map_or_else(Units::default, |account| account.units)
    }

    /// Returns the units of the workspace that work may occupy at `now`.
    pub fn usable_units(&self, workspace: WorkspaceKey, now: Instant) -> u32 {
        let account = self.accounts.get(workspace);
        account.map_or(0, |account| self.usable(account, now))
    }

    /// Returns the present epoch, when it is certain to hold at `now`.
    pub(super) fn epoch(&self, now: Instant) -> Option<Epoch> {
        let lease = self.lease?;
        let trusted = matches!(self.trust, Trust::Since(_)) && !self.paused(now);
        (trusted && now < lease.valid_until()).then_some(Epoch {
            lease: lease.id,
            wakes: self.wakes,
        })
    }

    /// Returns whether a reading begun at `read` still shows what the process owns.
    pub(super) fn trusts(&self, read: Instant) -> bool {
        matches!(self.trust, Trust::Since(since) if read >= since)
    }

    /// Sets units as the record shows them, read or confirmed from `confirmed` on.
    pub(super) fn grant(&mut self, workspace: WorkspaceKey, grant: Grant) {
        if let Some(account) = self.account_mut(workspace) {
            account.units = grant.units;
            account.loan_epoch = grant.loan_epoch;
            account.cap = grant.cap;
            account.confirmed = grant.confirmed;
        }
    }

    /// Lowers units to at most what a swap would leave, before the swap is sent.
    pub(super) fn deduct(&mut self, workspace: WorkspaceKey, left: Units) {
        if let Some(account) = self.account_mut(workspace) {
            account.units.floor = account.units.floor.min(left.floor);
            account.units.loaned = account.units.loaned.min(left.loaned);
        }
    }

    /// Keeps every unit of the workspace unused before `until`.
    pub(super) fn freeze(&mut self, workspace: WorkspaceKey, until: Instant) {
        if let Some(account) = self.account_mut(workspace) {
            account.frozen_until = account.frozen_until.max(until);
        }
    }

    /// Forgets the units of a workspace; work that runs stays counted.
    pub(super) fn forget(&mut self, workspace: WorkspaceKey) {
        self.deduct(workspace, Units::default());
    }

    fn account_mut(&mut self, workspace: WorkspaceKey) -> Option<&mut Account> {
        Some(self.accounts.entry(workspace)?.or_default())
    }

    fn usable(&self, account: &Account, now: Instant) -> u32 {
        if now < account.frozen_until {
            return 0;
        }
        let mut units = 0;
        if self.floor_is_sure(account, now) {
            units += account.units.floor;
        }
        let epoch = self.epoch(now);
        if epoch.is_some() && epoch == account.loan_epoch {
            units += account.units.loaned;
        }
        account.cap.map_or(units, |cap| units.min(cap))
    }

    fn floor_is_sure(&self, account: &Account, now: Instant) -> bool {
        now >= account.units.floor_from
            && self.trusts(account.confirmed)
            && !self.paused(now)
    }

    fn paused(&self, now: Instant) -> bool {
        self.longest_pause
            .is_some_and(|longest| now.saturating_since(self.last_seen) > longest)
    }
}

impl Account {
    fn shortage(&self, usable: u32) -> Shortage {
        let units = self.units.floor + self.units.loaned;
        let held = self.cap.map_or(units, |cap| units.min(cap));
        if held > usable {
            Shortage::LeaseUncertain
        } else {
            Shortage::Occupied
        }
    }
}

/// What a record shows for this process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Grant {
    pub(super) units: Units,
    pub(super) loan_epoch: Option<Epoch>,
    pub(super) cap: Option<u32>,
    pub(super) confirmed: Instant,
}
