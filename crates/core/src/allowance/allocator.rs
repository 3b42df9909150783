//! Plans compare-and-swap updates of allowance records and applies their outcome to the
//! holder.

use std::collections::BTreeMap;
use std::time::Duration;

use super::plan::Context;
use super::record::{FloorOwnership, RecordState};
use super::{AllowanceSettings, Demand, Holder, Ledger, Membership, SHARDS, Shard};
use crate::fleet::{Fleet, WorkspaceKey};
use crate::member::Member;
use crate::time::Instant;

/// Minimum time between two swaps of one record by one entry host, unless the first lost
/// to a conflicting swap.
const SWAP_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of a record while fewer units are held than wanted.
const BELOW_DEMAND_REFRESH: Duration = Duration::from_millis(500);

/// Plans the updates of all allowance records for one entry host.
///
/// Each swap takes three steps. [`Allocator::plan`] deducts the units that the swap gives
/// up from the holder and returns a [`Draft`]. The caller swaps the record in the store.
/// [`Allocator::record_outcome`] adds the units that a confirmed swap gained. Only the
/// first and the last step need access to the holder.
#[derive(Clone, Debug)]
pub struct Allocator {
    member: Member,
    settings: AllowanceSettings,
    records: Vec<RecordState>,
    workspaces: BTreeMap<String, WorkspaceKey>,
    stopping: bool,
}

/// The inputs of [`Allocator::plan`].
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The configuration in force on this entry host.
    pub fleet: &'a Fleet,
    /// The number of requests that wait on this entry host, by workspace.
    pub demand: &'a Demand,
    /// The registered members, as last read from the store.
    pub membership: &'a Membership,
    /// The current time.
    pub now: Instant,
}

/// The planned new content of a record, to be written by compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Draft {
    /// Store revision of the record's last change; zero when it doesn't exist.
    pub version: u64,
    /// The new content of the record.
    pub ledger: Ledger,
}

/// A record as read from the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionedLedger {
    /// Store revision of the record's last change; zero when it doesn't exist.
    pub version: u64,
    /// The content of the record; empty when it doesn't exist.
    pub ledger: Ledger,
}

/// The result of swapping in a draft.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The draft became the record's content at this store revision.
    Done(u64),
    /// The record had changed, so the draft had no effect; holds the current record.
    Conflict(VersionedLedger),
    /// The draft never reached the store.
    Failed,
    /// The draft may have taken effect, or may still do so.
    Unknown,
}

impl Allocator {
    /// Returns the allocator of a member that hasn't read any record yet.
    pub fn new(member: Member, settings: AllowanceSettings) -> Self {
        Self {
            member,
            settings,
            records: vec![RecordState::default(); usize::from(SHARDS)],
            workspaces: BTreeMap::new(),
            stopping: false,
        }
    }

    /// Starts the shutdown: units are returned as work ends, and the floors are released
    /// once no work runs.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether another incarnation owns the floors, so that this process must
    /// exit.
    pub fn is_replaced(&self) -> bool {
        let relinquished =
            |record: &RecordState| record.ownership == FloorOwnership::Relinquished;
        !self.stopping && self.records.iter().any(relinquished)
    }

    /// Returns whether this process owns no floors and no swap is pending or unresolved,
    /// so that the process may exit.
    pub fn is_released(&self) -> bool {
        self.records.iter().all(|record| self.has_released(record))
    }

    /// Returns the record's content as last known.
    pub fn ledger(&self, shard: Shard) -> &Ledger {
        &self.records[shard.index()].ledger
    }

    /// Returns whether the record should be read before the next plan.
    pub fn needs_read(&self, shard: Shard, holder: &Holder, now: Instant) -> bool {
        let record = &self.records[shard.index()];
        let refresh = if record.below_demand {
            BELOW_DEMAND_REFRESH
        } else {
            self.settings.refresh
        };
        record.last_read.is_none_or(|read| {
            !holder.trusts(read) || now.saturating_since(read) >= refresh
        })
    }

    /// Updates the state from a read of a record that was sent at `requested_at`.
    pub fn refresh(
        &mut self,
        shard: Shard,
        found: VersionedLedger,
        requested_at: Instant,
        holder: &mut Holder,
    ) {
        let record = &mut self.records[shard.index()];
        record.accept_read(found, requested_at, &self.member);
        self.grant(shard, holder);
    }

    /// Plans the next swap of a record and deducts the units that it gives up.
    ///
    /// Returns `None` when no swap is due or nothing needs to change. The outcome of
    /// every draft must be passed to [`Allocator::record_outcome`].
    pub fn plan(
        &mut self,
        shard: Shard,
        input: PlanInput<'_>,
        holder: &mut Holder,
    ) -> Option<Draft> {
        holder.observe(input.now);
        self.raise_longest_run(input.fleet);
        self.sync_workspaces(shard, input, holder);
        let record = &mut self.records[shard.index()];
        let RecordState {
            ledger,
            version,
            expired_borrowers,
            ..
        } = record;
        expired_borrowers.observe(ledger, *version, input.membership, input.now);
        if self.is_due(shard, holder, input.now) {
            self.draft(shard, input, holder)
        } else {
            None
        }
    }

    /// Records the outcome of swapping in the last draft of the shard.
    ///
    /// # Panics
    ///
    /// Panics when no draft of the shard is pending.
    pub fn record_outcome(
        &mut self,
        shard: Shard,
        outcome: SwapOutcome,
        holder: &mut Holder,
        now: Instant,
    ) {
        let record = &mut self.records[shard.index()];
        let pending = record.pending.take().expect("no draft is pending");
        match outcome {
            SwapOutcome::Done(version) => record.commit(pending, version, now),
            SwapOutcome::Conflict(found) => {
                record.last_swap = None;
                record.accept_read(found, pending.started, &self.member);
            }
            SwapOutcome::Failed => {}
            SwapOutcome::Unknown => {
                record.unresolved = true;
                record.last_read = None;
            }
        }
        self.grant(shard, holder);
    }

    fn has_released(&self, record: &RecordState) -> bool {
        let owner = record.ledger.owner(&self.member.entry);
        record.pending.is_none()
            && !record.unresolved
            && owner != Some(self.member.incarnation)
    }

    fn is_due(&self, shard: Shard, holder: &Holder, now: Instant) -> bool {
        let record = &self.records[shard.index()];
        let interval_elapsed = record
            .last_swap
            .is_none_or(|last| now.saturating_since(last) >= SWAP_INTERVAL);
        interval_elapsed
            && record.pending.is_none()
            && !self.needs_read(shard, holder, now)
    }

    /// Raises the longest run time to that of every queue.
    ///
    /// It is never lowered: work that started under an older revision may run for as long
    /// as that revision allowed.
    fn raise_longest_run(&mut self, fleet: &Fleet) {
        for (_, _, queue) in fleet.queues.iter() {
            self.settings.longest_run = self.settings.longest_run.max(queue.max_run_time);
        }
    }

    /// Updates the tracked workspaces from the declared ones.
    ///
    /// A workspace that is declared again under a new key starts frozen, as work started
    /// under its former key may still run.
    fn sync_workspaces(
        &mut self,
        shard: Shard,
        input: PlanInput<'_>,
        holder: &mut Holder,
    ) {
        let record = &mut self.records[shard.index()];
        for (key, name, _) in input.fleet.workspaces.iter() {
            if Shard::of(name) != shard || self.workspaces.get(name) == Some(&key) {
                continue;
            }
            let former = self.workspaces.insert(name.to_owned(), key);
            if former.is_some() || record.removed.remove(name).is_some() {
                holder.freeze(key, input.now + self.settings.reuse_delay());
            }
        }
        let declared = |name: &str| input.fleet.workspaces.find(name).is_some();
        let undeclared: Vec<String> = record
            .ledger
            .workspaces()
            .chain(self.workspaces.keys().map(String::as_str))
            .filter(|name| Shard::of(name) == shard && !declared(name))
            .map(str::to_owned)
            .collect();
        for name in undeclared {
            if let Some(key) = self.workspaces.remove(&name) {
                holder.remove_units(key);
            }
            record.removed.entry(name).or_insert(input.now);
        }
        self.grant(shard, holder);
    }

    fn draft(
        &mut self,
        shard: Shard,
        input: PlanInput<'_>,
        holder: &mut Holder,
    ) -> Option<Draft> {
        let context = Context {
            member: &self.member,
            settings: &self.settings,
            workspaces: &self.workspaces,
            stopping: self.stopping,
            input,
            holder,
        };
        let record = &mut self.records[shard.index()];
        let pending = context.plan(shard, record)?;
        let draft = Draft {
            version: record.version,
            ledger: pending.ledger.clone(),
        };
        record.last_swap = Some(input.now);
        self.deduct(shard, &draft.ledger, holder);
        self.records[shard.index()].pending = Some(pending);
        Some(draft)
    }

    /// Sets the holder's units to those in the record.
    ///
    /// While a swap may still change the record, units are only lowered.
    fn grant(&self, shard: Shard, holder: &mut Holder) {
        let record = &self.records[shard.index()];
        let resolved = record.pending.is_none() && !record.unresolved;
        for (name, &key) in self.workspaces_in(shard) {
            let grant = record.grant(&record.ledger, name, &self.member);
            if resolved {
                holder.grant(key, grant);
            } else {
                holder.deduct(key, grant.units);
            }
        }
    }

    fn deduct(&self, shard: Shard, ledger: &Ledger, holder: &mut Holder) {
        let record = &self.records[shard.index()];
        for (name, &key) in self.workspaces_in(shard) {
            holder.deduct(key, record.grant(ledger, name, &self.member).units);
        }
    }

    fn workspaces_in(
        &self,
        shard: Shard,
    ) -> impl Iterator<Item = (&String, &WorkspaceKey)> {
        self.workspaces
            .iter()
            .filter(move |(name, _)| Shard::of(name) == shard)
    }
}
