//! Store records of allowances: which entry host holds which units of each workspace's
//! limit.

use std::time::Duration;

use rhubarbrill_core::allowance::{
    Allocator, Draft, Holder, Ledger, PlanInput, SHARDS, Shard, SwapOutcome,
    VersionedLedger,
};
use rhubarbrill_edge::Error;
use rhubarbrill_edge::record::{self, Record, WriteOutcome};
use rhubarbrill_edge::store::Store;

/// Delays before a swap that got no response is sent again.
const RETRY_DELAYS: [Duration; 2] =
    [Duration::from_millis(50), Duration::from_millis(200)];

/// Maximum number of plans for one record in one step.
const MAX_ATTEMPTS: u32 = 3;

/// Returns the store key of a shard's record.
pub fn key(shard: Shard) -> String {
    format!("allowance/{shard}")
}

/// Access to the caller's holder and to the input of plans, both under the caller's lock.
pub trait HolderAccess {
    /// Runs `operation` under the lock, with a fresh clock reading in the input.
    fn with_holder<R>(
        &mut self,
        operation: impl FnOnce(&mut Holder, PlanInput<'_>) -> R,
    ) -> R;
}

/// Reads and updates the allowance records on behalf of one entry host.
///
/// The newest version seen of each record is cached.
#[derive(Debug)]
pub struct AllowanceClient {
    allocator: Allocator,
    cached: Vec<Option<Record<Ledger>>>,
}

/// Result of one [`AllowanceClient::step`].
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of records read.
    pub reads: u32,
    /// Number of swaps that took effect.
    pub swaps: u32,
    /// Number of swaps that conflicted with a write of another entry host.
    pub conflicts: u32,
    /// Number of swaps of which it is unknown whether they took effect.
    pub unknown: u32,
    /// The error that ended the step early, if any.
    pub error: Option<Error>,
    /// Whether another process has replaced this one, which must therefore exit.
    pub replaced: bool,
}

impl AllowanceClient {
    /// Returns a client for `allocator` that has read no record yet.
    pub fn new(allocator: Allocator) -> Self {
        Self {
            allocator,
            cached: vec![None; usize::from(SHARDS)],
        }
    }

    /// Returns the allocator, which plans how units move between entry hosts.
    pub fn allocator(&self) -> &Allocator {
        &self.allocator
    }

    /// Starts to release units as work ends, from the next step on.
    pub fn stop(&mut self) {
        self.allocator.stop();
    }

    /// Brings every record up to date, with at most one successful swap per record.
    ///
    /// Call it about once a second, also while the store is down. No lock is held during
    /// calls to the store; the first call that fails ends the step.
    pub fn step<S, A>(&mut self, store: &S, access: &mut A) -> Report
    where
        S: Store + ?Sized,
        A: HolderAccess,
    {
        let mut report = Report::default();
        for shard in Shard::all() {
            if let Err(error) = self.step_shard(shard, store, access, &mut report) {
                report.error = Some(error);
                break;
            }
        }
        report.replaced = self.allocator.is_replaced();
        report
    }

    /// Brings one record up to date.
    ///
    /// A plan that obtains fewer units than wanted is made again after a fresh read, and
    /// a plan whose swap conflicted is made again from the record that was found.
    fn step_shard<S, A>(
        &mut self,
        shard: Shard,
        store: &S,
        access: &mut A,
        report: &mut Report,
    ) -> Result<(), Error>
    where
        S: Store + ?Sized,
        A: HolderAccess,
    {
        for _ in 0..MAX_ATTEMPTS {
            let was_read = self.refresh(shard, store, access, report)?;
            let draft = access
                .with_holder(|holder, input| self.allocator.plan(shard, input, holder));
            let is_finished = match draft {
                Some(draft) => self.apply_draft(shard, draft, store, access, report)?,
                None => was_read,
            };
            if is_finished {
                break;
            }
        }
        Ok(())
    }

    /// Reads the record if a read is due; returns whether it was read.
    fn refresh<S, A>(
        &mut self,
        shard: Shard,
        store: &S,
        access: &mut A,
        report: &mut Report,
    ) -> Result<bool, Error>
    where
        S: Store + ?Sized,
        A: HolderAccess,
    {
        let now = access.with_holder(|holder, input| {
            let is_due = self.allocator.needs_read(shard, holder, input.now);
            is_due.then_some(input.now)
        });
        let Some(now) = now else {
            return Ok(false);
        };
        let found = self.read(shard, store)?;
        report.reads += 1;
        access.with_holder(|holder, _| self.allocator.refresh(shard, found, now, holder));
        Ok(true)
    }

    /// Writes a draft with a swap and records the outcome with the allocator.
    ///
    /// Returns `false` if the swap conflicted, so that a new plan is needed.
    fn apply_draft<S, A>(
        &mut self,
        shard: Shard,
        draft: Draft,
        store: &S,
        access: &mut A,
        report: &mut Report,
    ) -> Result<bool, Error>
    where
        S: Store + ?Sized,
        A: HolderAccess,
    {
        let (outcome, error) = self.write(shard, store, draft);
        report.count(&outcome);
        let is_conflict = matches!(outcome, SwapOutcome::Conflict(_));
        access.with_holder(|holder, input| {
            self.allocator
                .record_outcome(shard, outcome, holder, input.now);
        });
        error.map_or(Ok(!is_conflict), Err)
    }

    fn read<S>(&mut self, shard: Shard, store: &S) -> Result<VersionedLedger, Error>
    where
        S: Store + ?Sized,
    {
        let found = record::read(store, &key(shard))?;
        let reading = versioned_ledger(found.as_ref());
        self.update_cache(shard, found);
        Ok(reading)
    }

    fn write<S>(
        &mut self,
        shard: Shard,
        store: &S,
        draft: Draft,
    ) -> (SwapOutcome, Option<Error>)
    where
        S: Store + ?Sized,
    {
        let cached = self.cached[shard.index()].clone();
        let ledger = draft.ledger.clone();
        match record::write(store, &key(shard), cached, draft.ledger, RETRY_DELAYS) {
            Ok(WriteOutcome::Applied(found)) if found.value == ledger => {
                let version = found.version;
                self.update_cache(shard, Some(found));
                (SwapOutcome::Done(version), None)
            }
            // Another entry host has overwritten the draft since, so its record is
            // current.
            Ok(WriteOutcome::Applied(found)) => {
                let outcome = SwapOutcome::Conflict(versioned_ledger(Some(&found)));
                self.update_cache(shard, Some(found));
                (outcome, None)
            }
            Ok(WriteOutcome::Conflict(found)) => {
                let outcome = SwapOutcome::Conflict(versioned_ledger(found.as_ref()));
                self.update_cache(shard, found);
                (outcome, None)
            }
            Ok(WriteOutcome::Unknown(error)) => (SwapOutcome::Unknown, Some(error)),
            Err(error) => (SwapOutcome::Failed, Some(error)),
        }
    }

    /// Keeps the newest version of the record, since reads of the store may be stale.
    fn update_cache(&mut self, shard: Shard, found: Option<Record<Ledger>>) {
        let cached = &mut self.cached[shard.index()];
        let version =
            |record: &Option<Record<Ledger>>| record.as_ref().map(|r| r.version);
        if version(&found) > version(cached) {
            *cached = found;
        }
    }
}

impl Report {
    fn count(&mut self, outcome: &SwapOutcome) {
        match outcome {
            SwapOutcome::Done(_) => self.swaps += 1,
            SwapOutcome::Conflict(_) => self.conflicts += 1,
            SwapOutcome::Unknown => self.unknown += 1,
            SwapOutcome::Failed => {}
        }
    }
}

fn versioned_ledger(record: Option<&Record<Ledger>>) -> VersionedLedger {
    record.map_or_else(VersionedLedger::default, |record| VersionedLedger {
        version: record.version,
        ledger: record.value.clone(),
    })
}
