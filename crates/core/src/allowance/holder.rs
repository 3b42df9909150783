//! Counts the running work of one entry host against the units that it holds.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::fleet::WorkspaceKey;
use crate::time::Instant;

/// The units that one entry host holds of every workspace, and the work that occupies
/// them.
///
/// A holder built by `default` uses its floors after a pause of any length. A holder that
/// an [`Allocator`](super::Allocator) updates needs [`Holder::with_longest_pause`].
#[derive(Clone, Debug, Default)]
pub struct Holder {
    accounts: SecondaryMap<WorkspaceKey, Account>,
    lease: Option<Lease>,
    longest_pause: Option<Duration>,
    last_observed: Instant,
    trust: Trust,
    long_pauses: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    units: Units,
    /// The epoch in which the loans were last confirmed; they are usable only in it.
    loan_epoch: Option<Epoch>,
    /// No unit may be used before this time.
    frozen_until: Instant,
    /// When the latest read of the record, or the latest confirmed swap, was started.
    confirmed: Instant,
    /// Maximum number of usable units while more is held than declared.
    cap: Option<u32>,
    running: u32,
}

/// Units of one workspace that an entry host holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Units {
    /// Units that don't expire.
    pub floor: u32,
    /// The floor isn't used before this time, as a predecessor's work may still run.
    pub floor_from: Instant,
    /// Units that are valid only under the member lease.
    pub loaned: u32,
}

/// The member lease of this process, with the time for which it is surely valid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The store's identifier of the lease; a new one means that the previous lease
    /// ended.
    pub id: i64,
    /// A time no later than when the last renewal, or the registration, was sent.
    pub renewed: Instant,
    /// How long the lease is valid after `renewed`: its time to live less a margin.
    pub valid_for: Duration,
}

impl Lease {
    /// Returns the time from which the lease may have expired.
    pub fn valid_until(&self) -> Instant {
        self.renewed + self.valid_for
    }
}

/// A period in which no other process can have treated the member as gone.
///
/// It ends with the lease, or with a pause longer than [`Holder::with_longest_pause`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Epoch {
    lease: i64,
    long_pauses: u32,
}

/// Whether the process can rule out that a replacement has taken its place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trust {
    /// It can, according to any read of the record that was started at or after this
    /// time.
    Since(Instant),
    /// It can't: the process resumed at this time after a pause that was too long, and
    /// must renew its lease first.
    Lost(Instant),
}

impl Default for Trust {
    fn default() -> Self {
        Self::Since(Instant::ZERO)
    }
}

/// The reason why a workspace can't start more work on this entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Every usable unit is occupied.
    Occupied,
    /// Some units are held but not usable, as the lease or the ownership of the floor may
    /// have ended.
    LeaseUncertain,
}

impl Holder {
    /// Sets the longest pause of the process after which its units stay usable.
    ///
    /// After a longer pause a replacement may have taken the place of this process. Then
    /// no unit is usable until the lease has been renewed. In addition, floors need a new
    /// read of the record, and loans a swap that confirms them.
    pub fn with_longest_pause(mut self, span: Duration) -> Self {
        self.longest_pause = Some(span);
        self
    }

    /// Sets the floor of a workspace, in units that don't expire.
    pub fn set_floor(&mut self, workspace: WorkspaceKey, units: u32) {
        if let Some(account) = self.account_mut(workspace) {
            account.units.floor = units;
        }
    }

    /// Records the member lease after a renewal or a registration that was answered at
    /// `now`.
    ///
    /// Call it only while the member record belongs to this process: a lease can outlive
    /// the record, when a replacement has overwritten it.
    pub fn set_lease(&mut self, lease: Lease, now: Instant) {
        self.observe(now);
        self.lease = Some(lease);
        if matches!(self.trust, Trust::Lost(resumed) if lease.renewed >= resumed) {
            self.trust = Trust::Since(now);
        }
    }

    /// Records that the process runs at `now`, to detect pauses.
    ///
    /// Call it several times a second.
    pub fn observe(&mut self, now: Instant) {
        if self.paused(now) {
            self.trust = Trust::Lost(now);
            self.long_pauses += 1;
        }
        self.last_observed = self.last_observed.max(now);
    }

    /// Occupies one unit of the workspace.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] when no unit can be occupied at `now`.
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
    /// Call it with the current time right before the first byte is sent: a process that
    /// was paused may have lost its loan in the meantime.
    pub fn may_send(&self, workspace: WorkspaceKey, now: Instant) -> bool {
        self.accounts.get(workspace).is_some_and(|account| {
            account.running > 0 && account.running <= self.usable(account, now)
        })
    }

    /// Frees one unit of the workspace whose work has ended or was never sent.
    ///
    /// Abandoned work must keep its unit until it can no longer run.
    pub fn finish(&mut self, workspace: WorkspaceKey) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.running = account.running.saturating_sub(1);
        }
    }

    /// Returns the number of occupied units of the workspace.
    pub fn running(&self, workspace: WorkspaceKey) -> u32 {
        self.accounts
            .get(workspace)
            .map_or(0, |account| account.running)
    }

    /// Returns the units held of the workspace, whether they are usable or not.
    pub fn units(&self, workspace: WorkspaceKey) -> Units {
        self.accounts
            .get(workspace)
            .map_or_else(Units::default, |account| account.units)
    }

    /// Returns the number of units of the workspace that work may occupy at `now`.
    pub fn usable_units(&self, workspace: WorkspaceKey, now: Instant) -> u32 {
        let account = self.accounts.get(workspace);
        account.map_or(0, |account| self.usable(account, now))
    }

    /// Returns the current epoch, or `None` when it may have ended at `now`.
    pub(super) fn epoch(&self, now: Instant) -> Option<Epoch> {
        let lease = self.lease?;
        let trusted = matches!(self.trust, Trust::Since(_)) && !self.paused(now);
        (trusted && now < lease.valid_until()).then_some(Epoch {
            lease: lease.id,
            long_pauses: self.long_pauses,
        })
    }

    /// Returns whether a read started at `read` still shows what the process owns.
    pub(super) fn trusts(&self, read: Instant) -> bool {
        matches!(self.trust, Trust::Since(since) if read >= since)
    }

    /// Sets the units of a workspace to those shown by the record.
    pub(super) fn grant(&mut self, workspace: WorkspaceKey, grant: Grant) {
        if let Some(account) = self.account_mut(workspace) {
            account.units = grant.units;
            account.loan_epoch = grant.loan_epoch;
            account.cap = grant.cap;
            account.confirmed = grant.confirmed;
        }
    }

    /// Lowers the units of a workspace to at most `left`.
    ///
    /// Called before a swap that leaves these units is sent, as the swap may take effect
    /// without an answer.
    pub(super) fn deduct(&mut self, workspace: WorkspaceKey, left: Units) {
        if let Some(account) = self.account_mut(workspace) {
            account.units.floor = account.units.floor.min(left.floor);
            account.units.loaned = account.units.loaned.min(left.loaned);
        }
    }

    /// Makes every unit of the workspace unusable before `until`.
    pub(super) fn freeze(&mut self, workspace: WorkspaceKey, until: Instant) {
        if let Some(account) = self.account_mut(workspace) {
            account.frozen_until = account.frozen_until.max(until);
        }
    }

    /// Removes all units of a workspace; running work stays counted.
    pub(super) fn remove_units(&mut self, workspace: WorkspaceKey) {
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
        if self.floor_is_valid(account, now) {
            units += account.units.floor;
        }
        let epoch = self.epoch(now);
        if epoch.is_some() && epoch == account.loan_epoch {
            units += account.units.loaned;
        }
        account.cap.map_or(units, |cap| units.min(cap))
    }

    fn floor_is_valid(&self, account: &Account, now: Instant) -> bool {
        now >= account.units.floor_from
            && self.trusts(account.confirmed)
            && !self.paused(now)
    }

    fn paused(&self, now: Instant) -> bool {
        self.longest_pause
            .is_some_and(|longest| now.saturating_since(self.last_observed) > longest)
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

/// The units of one workspace that a record grants to this process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Grant {
    pub(super) units: Units,
    pub(super) loan_epoch: Option<Epoch>,
    pub(super) cap: Option<u32>,
    /// When the read or the confirmed swap that showed the units was started.
    pub(super) confirmed: Instant,
}
