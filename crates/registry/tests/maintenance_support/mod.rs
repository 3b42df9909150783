//! A store that loses answers, reads stale and lets others go first, and the checks that
//! every revision of the ledger must pass.

#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Ledger, Step};
use rhubarbrill_edge::store::{
    Effect, Entry, Error, Lease, Listing, Memory, Store, Swap, Swapped, memory,
};
use rhubarbrill_registry::maintenance;

/// Waits that let a sender try this often more.
pub const WAITS: [Duration; 6] = [Duration::ZERO; 6];

/// What happens to one call of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It is carried out and answered.
    None,
    /// It is carried out and its answer lost.
    LostAfter,
    /// It never arrives, and the sender can't tell.
    LostBefore,
    /// It can't be sent.
    Down,
    /// A read answers with the value before the last.
    Stale,
}

/// A store in memory whose calls go through a list of faults.
pub struct Faulty {
    store: Memory,
    reads: Mutex<VecDeque<Fault>>,
    swaps: Mutex<VecDeque<Fault>>,
    values: Mutex<Vec<Entry>>,
}

impl Faulty {
    pub fn new() -> Self {
        Self {
            store: Memory::new(),
            reads: Mutex::default(),
            swaps: Mutex::default(),
            values: Mutex::default(),
        }
    }

    pub fn fail(&self, reads: &[Fault], swaps: &[Fault]) {
        self.reads.lock().unwrap().extend(reads);
        self.swaps.lock().unwrap().extend(swaps);
    }

    pub fn heal(&self) {
        self.reads.lock().unwrap().clear();
        self.swaps.lock().unwrap().clear();
    }

    /// Returns every ledger that the store held, oldest first.
    pub fn history(&self) -> Vec<Ledger> {
        let values = self.values.lock().unwrap();
        values
            .iter()
            .map(|entry| maintenance::parse(entry).unwrap())
            .collect()
    }

    /// Carries a swap out, after whatever the hook does first.
    fn carry_out(&self, swap: Swap) -> Result<Swapped, Error> {
        if let Some(hook) = HOOK.take() {
            hook();
        }
        let answer = self.store.swap(swap.clone())?;
        if let (Swapped::Done(_), Some(entry)) = (&answer, self.store.get(&swap.key)?) {
            self.values.lock().unwrap().push(entry);
        }
        Ok(answer)
    }
}

thread_local! {
    static HOOK: RefCell<Option<Box<dyn FnOnce()>>> = const { RefCell::new(None) };
}

/// Lets `action` happen between the next sender's read and its swap.
pub fn before_next_swap(action: impl FnOnce() + 'static) {
    HOOK.set(Some(Box::new(action)));
}

fn lost<T>(effect: Effect) -> Result<T, Error> {
    Err(Error::unreachable(effect, "no answer"))
}

impl Store for Faulty {
    type Watch = memory::Watch;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let fault = self.reads.lock().unwrap().pop_front();
        match fault.unwrap_or(Fault::None) {
            Fault::None => self.store.get(key),
            Fault::Stale => {
                let values = self.values.lock().unwrap();
                Ok(values.iter().rev().nth(1).cloned())
            }
            Fault::Down | Fault::LostAfter | Fault::LostBefore => lost(Effect::None),
        }
    }

    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        let fault = self.swaps.lock().unwrap().pop_front();
        match fault.unwrap_or(Fault::None) {
            Fault::None | Fault::Stale => self.carry_out(swap),
            Fault::LostAfter => self.carry_out(swap).and_then(|_| lost(Effect::Unknown)),
            Fault::LostBefore => lost(Effect::Unknown),
            Fault::Down => lost(Effect::None),
        }
    }

    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.store.list(prefix)
    }
    fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.store.grant(ttl)
    }
    fn renew(&self, lease: Lease) -> Result<bool, Error> {
        self.store.renew(lease)
    }
    fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.store.revoke(lease)
    }
    fn watch(&self, prefix: &str, from: u64) -> Result<memory::Watch, Error> {
        self.store.watch(prefix, from)
    }
}

/// Checks every revision: budgets are overdrawn by failures only, and a host changes pool
/// only from drained to moving.
///
/// # Errors
///
/// Says what is broken.
pub fn check(fleet: &Fleet, history: &[Ledger]) -> Result<(), String> {
    for ledger in history {
        for over in ledger.budget_usage(fleet).violations(fleet) {
            if over.out > over.max_out + over.unplanned {
                return Err(format!("overdrawn: {over:?}"));
            }
        }
    }
    for pair in history.windows(2) {
        check_pools(fleet, &pair[0], &pair[1])?;
    }
    Ok(())
}

fn check_pools(fleet: &Fleet, before: &Ledger, after: &Ledger) -> Result<(), String> {
    for (key, host, _) in fleet.hosts.iter() {
        let step = |ledger: &Ledger| ledger.record(host).map(|record| record.step);
        let moved = before.pool(fleet, key) != after.pool(fleet, key);
        if moved && step(before) != Some(Step::Drained) {
            return Err(format!("{host} changed pool from {:?}", step(before)));
        }
    }
    if after.generation() <= before.generation() {
        return Err("generation didn't rise".to_owned());
    }
    Ok(())
}
