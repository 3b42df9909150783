//! Plans swaps of allowance records and settles them in the holder.

use std::collections::BTreeMap;
use std::time::Duration;

use super::page::{Page, Standing};
use super::plan::Context;
use super::{AllowanceSettings, Demand, Holder, Ledger, Membership, SHARDS, Shard};
use crate::fleet::{Fleet, WorkspaceKey};
use crate::member::Member;
use crate::time::Instant;

/// Least time between two swaps of one record by one entry host, unless the first had no
/// effect.
const SWAP_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two readings of a record while more units are wanted than held.
const SHORT_REFRESH: Duration = Duration::from_millis(500);

/// One entry host's dealings with all allowance records.
///
/// Each swap goes through three calls: [`Allocator::plan`] deducts what the swap gives up and
/// hands out a [`Draft`]; the caller swaps the record; [`Allocator::record_outcome`] adds what a
/// confirmed swap has gained. Only the first and last need the holder.
#[derive(Clone, Debug)]
pub struct Allocator {
    member: Member,
    settings: AllowanceSettings,
    pages: Vec<Page>,
    names: BTreeMap<String, WorkspaceKey>,
    stopping: bool,
}

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The configuration in force here.
    pub fleet: &'a Fleet,
    /// Requests that wait here.
    pub demand: &'a Demand,
    /// The members that exist.
    pub membership: &'a Membership,
    /// The present.
    pub now: Instant,
}

/// A record's new content, to be swapped in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Draft {
    /// Store revision of the record's last change; zero when it doesn't exist.
    pub version: u64,
    /// The new content.
    pub ledger: Ledger,
}

/// A record as read from the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionedLedger {
    /// Store revision of the record's last change; zero when it doesn't exist.
    pub version: u64,
    /// The content.
    pub ledger: Ledger,
}

/// How the swap of a draft ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The draft is the record's content since this store revision.
    Done(u64),
    /// The record had changed and the draft had no effect.
    Conflict(VersionedLedger),
    /// The draft never reached the store.
    Failed,
    /// The draft may have taken effect, or may still do so.
    Unknown,
}

impl Allocator {
    /// Returns the dealings of a member that has read no record yet.
    pub fn new(member: Member, settings: AllowanceSettings) -> Self {
        Self {
            member,
            settings,
            pages: vec![Page::default(); usize::from(SHARDS)],
            names: BTreeMap::new(),
            stopping: false,
        }
    }

    /// Lets units go as work ends, and leaves the floors once nothing runs.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether another incarnation owns the floors, so this one must end.
    pub fn is_replaced(&self) -> bool {
        let left = |page: &Page| page.standing == Standing::Left;
        !self.stopping && self.pages.iter().any(left)
    }

    /// Returns whether nothing is left to return before the process ends.
    pub fn is_released(&self) -> bool {
        self.pages.iter().all(|page| self.has_left(page))
    }

    /// Returns the record's content as last known.
    pub fn ledger(&self, shard: Shard) -> &Ledger {
        &self.pages[shard.index()].ledger
    }

    /// Returns whether the record should be read before the next plan.
    pub fn needs_read(&self, shard: Shard, holder: &Holder, now: Instant) -> bool {
        let page = &self.pages[shard.index()];
        let refresh = if page.short {
            SHORT_REFRESH
        } else {
            self.settings.refresh
        };
        page.read.is_none_or(|read| {
            !holder.trusts(read) || now.saturating_since(read) >= refresh
        })
    }

    /// Takes in a reading of a record that was begun at `asked`.
    pub fn refresh(
        &mut self,
        shard: Shard,
        reading: VersionedLedger,
        asked: Instant,
        holder: &mut Holder,
    ) {
        let page = &mut self.pages[shard.index()];
        page.accept(reading, asked, &self.member);
        self.grant(shard, holder);
    }

    /// Plans the next swap of a record and deducts what it gives up.
    ///
    /// Returns `None` when nothing should change now. Every draft must be settled.
    pub fn plan(
        &mut self,
        shard: Shard,
        input: PlanInput<'_>,
        holder: &mut Holder,
    ) -> Option<Draft> {
        holder.observe(input.now);
        self.note_run_times(input.fleet);
        self.sync_workspaces(shard, input, holder);
        let page = &mut self.pages[shard.index()];
        let Page {
            ledger,
            version,
            lapses,
            ..
        } = page;
        lapses.observe(ledger, *version, input.membership, input.now);
        if self.is_due(shard, holder, input.now) {
            self.draft(shard, input, holder)
        } else {
            None
        }
    }

    /// Takes in how the swap of the last draft ended.
    ///
    /// # Panics
    ///
    /// Panics when no draft of the shard is under way.
    pub fn record_outcome(
        &mut self,
        shard: Shard,
        outcome: SwapOutcome,
        holder: &mut Holder,
        now: Instant,
    ) {
        let page = &mut self.pages[shard.index()];
        let pending = page.pending.take().expect("a draft is under way");
        match outcome {
            SwapOutcome::Done(version) => page.commit(pending, version, now),
            SwapOutcome::Conflict(reading) => {
                page.last_swap = None;
                page.accept(reading, pending.started, &self.member);
            }
            SwapOutcome::Failed => {}
            SwapOutcome::Unknown => {
                page.unresolved = true;
                page.read = None;
            }
        }
        self.grant(shard, holder);
    }

    fn has_left(&self, page: &Page) -> bool {
        let owner = page.ledger.owner(&self.member.entry);
        page.pending.is_none()
            && !page.unresolved
            && owner != Some(self.member.incarnation)
    }

    fn is_due(&self, shard: Shard, holder: &Holder, now: Instant) -> bool {
        let page = &self.pages[shard.index()];
        let rested = page
            .last_swap
            .is_none_or(|last| now.saturating_since(last) >= SWAP_INTERVAL);
        rested && page.pending.is_none() && !self.needs_read(shard, holder, now)
    }

    /// Work of an older revision may run as long as that revision allowed.
    fn note_run_times(&mut self, fleet: &Fleet) {
        for (_, _, queue) in fleet.queues.iter() {
            self.settings.longest_run = self.settings.longest_run.max(queue.max_run_time);
        }
    }

    /// Follows the declared workspaces; a name that returns under a new key starts
    /// frozen.
    fn sync_workspaces(
        &mut self,
        shard: Shard,
        input: PlanInput<'_>,
        holder: &mut Holder,
    ) {
        let page = &mut self.pages[shard.index()];
        for (key, name, _) in input.fleet.workspaces.iter() {
            if Shard::of(name) != shard || self.names.get(name) == Some(&key) {
                continue;
            }
            let former = self.names.insert(name.to_owned(), key);
            if former.is_some() || page.removed.remove(name).is_some() {
                holder.freeze(key, input.now + self.settings.outwait());
            }
        }
        let declared = |name: &str| input.fleet.workspaces.find(name).is_some();
        let gone: Vec<String> = page
            .ledger
            .workspaces()
            .chain(self.names.keys().map(String::as_str))
            .filter(|name| Shard::of(name) == shard && !declared(name))
            .map(str::to_owned)
            .collect();
        for name in gone {
            if let Some(key) = self.names.remove(&name) {
                holder.forget(key);
            }
            page.removed.entry(name).or_insert(input.now);
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
            names: &self.names,
            stopping: self.stopping,
            input,
            holder,
        };
        let page = &mut self.pages[shard.index()];
        let pending = context.plan(shard, page)?;
        let draft = Draft {
            version: page.version,
            ledger: pending.ledger.clone(),
        };
        page.last_swap = Some(input.now);
        self.deduct(shard, &draft.ledger, holder);
        self.pages[shard.index()].pending = Some(pending);
        Some(draft)
    }

    /// Sets the holder's units from the record, or lowers them to it while a swap may
    /// still change the record.
    fn grant(&self, shard: Shard, holder: &mut Holder) {
        let page = &self.pages[shard.index()];
        let certain = page.pending.is_none() && !page.unresolved;
        for (name, &key) in self.names_of(shard) {
            let grant = page.grant(&page.ledger, name, &self.member);
            if certain {
                holder.grant(key, grant);
            } else {
                holder.deduct(key, grant.units);
            }
        }
    }

    fn deduct(&self, shard: Shard, ledger: &Ledger, holder: &mut Holder) {
        let page = &self.pages[shard.index()];
        for (name, &key) in self.names_of(shard) {
            holder.deduct(key, page.grant(ledger, name, &self.member).units);
        }
    }

    fn names_of(&self, shard: Shard) -> impl Iterator<Item = (&String, &WorkspaceKey)> {
        self.names
            .iter()
            .filter(move |(name, _)| Shard::of(name) == shard)
    }
}
