//! Swaps that are sent until their fate is known.

use std::thread;

use rhubarbrill_edge::record::Backoff;
use rhubarbrill_edge::store::{self, Effect, Entry, Store, Swap, Swapped};

use super::{Configuration, MAX_WAIT};

/// A swap without an answer.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub(super) error: store::Error,
    /// Whether the swap may have taken effect, or may yet.
    pub(super) is_doubtful: bool,
}

impl<S: Store> Configuration<'_, S> {
    /// Sends the same swap until an answer comes or the tries are used up.
    ///
    /// After a lost answer, a conflict may be with the swap's own effect: the caller tells
    /// from the entry found.
    pub(super) fn swap(&self, swap: &Swap) -> Result<Swapped, Failure> {
        let mut is_doubtful = false;
        self.retry(
            || self.store.swap(swap.clone()),
            |error| {
                is_doubtful |= error.effect() == Effect::Unknown;
            },
        )
        .map_err(|error| Failure { error, is_doubtful })
    }

    pub(super) fn get(&self, key: &str) -> Result<Option<Entry>, store::Error> {
        self.retry(|| self.store.get(key), |_| {})
    }

    pub(super) fn list(&self, prefix: &str) -> Result<store::Listing, store::Error> {
        self.retry(|| self.store.list(prefix), |_| {})
    }

    fn retry<T>(
        &self,
        call: impl Fn() -> Result<T, store::Error>,
        mut note: impl FnMut(&store::Error),
    ) -> Result<T, store::Error> {
        let mut waits = Backoff::new(self.first_wait, MAX_WAIT, self.attempts - 1);
        loop {
            let error = match call() {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            note(&error);
            match waits.next() {
                Some(wait) if !error.is_refused() => thread::sleep(wait),
                _ => return Err(error),
            }
        }
    }
}
