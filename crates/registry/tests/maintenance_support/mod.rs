//! A store with lost responses, stale reads and a hook before the next swap, and the
//! invariants that every revision of the ledger must satisfy.

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

/// Backoff that allows six retries without delay.
pub const RETRY_DELAYS: [Duration; 6] = [Duration::ZERO; 6];

/// A fault injected into one call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The call is carried out and answered.
    None,
    /// The call is carried out, and its response is lost.
    LostResponse,
    /// The call never reaches the store, and the sender can't tell.
    LostRequest,
    /// The call can't be sent, and the sender knows it.
    Down,
    /// A read returns the value before the last one.
    StaleRead,
}

/// An in-memory store that takes the faults of its next reads and swaps from two queues.
pub struct FaultyStore {
    store: Memory,
    reads: Mutex<VecDeque<Fault>>,
    swaps: Mutex<VecDeque<Fault>>,
    values: Mutex<Vec<Entry>>,
}

impl FaultyStore {
    pub fn new() -> Self {
        Self {
            store: Memory::new(),
            reads: Mutex::default(),
            swaps: Mutex::default(),
            values: Mutex::default(),
        }
    }

    pub fn inject(&self, reads: &[Fault], swaps: &[Fault]) {
        self.reads.lock().unwrap().extend(reads);
        self.swaps.lock().unwrap().extend(swaps);
    }

    pub fn clear_faults(&self) {
        self.reads.lock().unwrap().clear();
        self.swaps.lock().unwrap().clear();
    }

    /// Returns every version of the ledger that was written, oldest first.
    pub fn history(&self) -> Vec<Ledger> {
        let values = self.values.lock().unwrap();
        values
            .iter()
            .map(|entry| maintenance::parse(entry).unwrap())
            .collect()
    }

    /// Runs the hook, if one is set, and then the swap.
    fn run_hook_and_swap(&self, swap: Swap) -> Result<Swapped, Error> {
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

/// Runs `action` before the next swap on this thread, that is between a sender's read and
/// its swap.
pub fn before_next_swap(action: impl FnOnce() + 'static) {
    HOOK.set(Some(Box::new(action)));
}

fn no_response<T>(effect: Effect) -> Result<T, Error> {
    Err(Error::unreachable(effect, "no response"))
}

impl Store for FaultyStore {
    type Watch = memory::Watch;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let fault = self.reads.lock().unwrap().pop_front();
        match fault.unwrap_or(Fault::None) {
            Fault::None => self.store.get(key),
            Fault::StaleRead => {
                let values = self.values.lock().unwrap();
                Ok(values.iter().rev().nth(1).cloned())
            }
            Fault::Down | Fault::LostResponse | Fault::LostRequest => {
                no_response(Effect::None)
            }
        }
    }

    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        let fault = self.swaps.lock().unwrap().pop_front();
        match fault.unwrap_or(Fault::None) {
            Fault::None | Fault::StaleRead => self.run_hook_and_swap(swap),
            Fault::LostResponse => self
                .run_hook_and_swap(swap)
                .and_then(|_| no_response(Effect::Unknown)),
            Fault::LostRequest => no_response(Effect::Unknown),
            Fault::Down => no_response(Effect::None),
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

/// Checks every revision of the ledger: budgets are exceeded by failures only, a host
/// changes pool only when it was drained, and the generation increases.
///
/// # Errors
///
/// Describes the first invariant that is violated.
pub fn check_invariants(fleet: &Fleet, history: &[Ledger]) -> Result<(), String> {
    for ledger in history {
        for usage in ledger.budget_usage(fleet).violations(fleet) {
            if usage.out > usage.max_out + usage.unplanned {
                return Err(format!("budget exceeded: {usage:?}"));
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
            return Err(format!("{host} changed pool at step {:?}", step(before)));
        }
    }
    if after.generation() <= before.generation() {
        return Err("generation did not increase".to_owned());
    }
    Ok(())
}
