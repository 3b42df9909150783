//! The records of allowances: who holds which units of the workspaces' limits.

use std::time::Duration;

use rhubarbrill_core::allowance::{
    Allocator, Draft, Holder, Ledger, PlanInput, SHARDS, Shard, SwapOutcome,
    VersionedLedger,
};
use rhubarbrill_edge::Error;
use rhubarbrill_edge::record::{self, Record, Written};
use rhubarbrill_edge::store::Store;

/// Waits before a swap without an answer is sent again.
const RETRY_WAITS: [Duration; 2] =
    [Duration::from_millis(50), Duration::from_millis(200)];

/// Plans for one record in one step.
const MAX_TRIES: u32 = 3;

/// Returns the store's key of a shard's record.
pub fn key(shard: Shard) -> String {
    format!("allowance/{shard}")
}

/// The caller's holder, and what plans are made from, under the caller's lock.
pub trait HolderAccess {
    /// Runs `visit` under the lock, with a fresh clock reading in the input.
    fn with_holder<R>(
        &mut self,
        visit: impl FnOnce(&mut Holder, PlanInput<'_>) -> R,
    ) -> R;
}

/// One entry host's dealings with the records, and what it last read of them.
#[derive(Debug)]
pub struct AllowanceClient {
    allocator: Allocator,
    known: Vec<Option<Record<Ledger>>>,
}

/// What one step did.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Records read.
    pub reads: u32,
    /// Swaps that took effect.
    pub swaps: u32,
    /// Swaps that another entry host forestalled.
    pub conflicts: u32,
    /// Swaps whose effect isn't known.
    pub unknown: u32,
    /// Why the step ended early.
    pub error: Option<Error>,
    /// Whether another process has taken this one's place, so that it must end.
    pub replaced: bool,
}

impl AllowanceClient {
    /// Returns the dealings of an allocator that has read no record yet.
    pub fn new(allocator: Allocator) -> Self {
        Self {
            allocator,
            known: vec![None; usize::from(SHARDS)],
        }
    }

    /// Returns the allocator.
    pub fn allocator(&self) -> &Allocator {
        &self.allocator
    }

    /// Lets units go as work ends, from the next step on.
    pub fn stop(&mut self) {
        self.allocator.stop();
    }

    /// Brings every record up to date, with at most one swap that takes effect each.
    ///
    /// Call it about once a second, also while the store is down. No lock is held during
    /// calls of the store; the first that fails ends the step.
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

    /// A plan that falls short of what is wanted is made again from a fresh reading, and
    /// one that was forestalled from the record found.
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
        for _ in 0..MAX_TRIES {
            let has_read = self.refresh(shard, store, access, report)?;
            let draft = access
                .with_holder(|holder, input| self.allocator.plan(shard, input, holder));
            let ended = match draft {
                Some(draft) => self.carry_out(shard, draft, store, access, report)?,
                None => has_read,
            };
            if ended {
                break;
            }
        }
        Ok(())
    }

    /// Reads the record if that is due; returns whether it was.
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
        let asked = access.with_holder(|holder, input| {
            let wanted = self.allocator.needs_read(shard, holder, input.now);
            wanted.then_some(input.now)
        });
        let Some(asked) = asked else {
            return Ok(false);
        };
        let reading = self.read(shard, store)?;
        report.reads += 1;
        access.with_holder(|holder, _| {
            self.allocator.refresh(shard, reading, asked, holder)
        });
        Ok(true)
    }

    /// Swaps a draft in and settles it; returns whether that was the last try.
    fn carry_out<S, A>(
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
        let forestalled = matches!(outcome, SwapOutcome::Conflict(_));
        access.with_holder(|holder, input| {
            self.allocator
                .record_outcome(shard, outcome, holder, input.now);
        });
        error.map_or(Ok(!forestalled), Err)
    }

    fn read<S>(&mut self, shard: Shard, store: &S) -> Result<VersionedLedger, Error>
    where
        S: Store + ?Sized,
    {
        let found = record::read(store, &key(shard))?;
        let reading = reading(found.as_ref());
        self.note(shard, found);
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
        let known = self.known[shard.index()].clone();
        let ledger = draft.ledger.clone();
        match record::write(store, &key(shard), known, draft.ledger, RETRY_WAITS) {
            Ok(Written::Applied(found)) if found.value == ledger => {
                let version = found.version;
                self.note(shard, Some(found));
                (SwapOutcome::Done(version), None)
            }
            // Others have written over it since, so their record counts.
            Ok(Written::Applied(found)) => {
                let outcome = SwapOutcome::Conflict(reading(Some(&found)));
                self.note(shard, Some(found));
                (outcome, None)
            }
            Ok(Written::Conflict(found)) => {
                let outcome = SwapOutcome::Conflict(reading(found.as_ref()));
                self.note(shard, found);
                (outcome, None)
            }
            Ok(Written::Unknown(error)) => (SwapOutcome::Unknown, Some(error)),
            Err(error) => (SwapOutcome::Failed, Some(error)),
        }
    }

    /// Keeps the newest record seen; the store's reads may lag.
    fn note(&mut self, shard: Shard, found: Option<Record<Ledger>>) {
        let known = &mut self.known[shard.index()];
        let version =
            |record: &Option<Record<Ledger>>| record.as_ref().map(|r| r.version);
        if version(&found) > version(known) {
            *known = found;
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

fn reading(record: Option<&Record<Ledger>>) -> VersionedLedger {
    record.map_or_else(VersionedLedger::default, |record| VersionedLedger {
        version: record.version,
        ledger: record.value.clone(),
    })
}
