//! Calls to the store, retried until a response arrives.

use std::thread;

use rhubarbrill_edge::record::Backoff;
use rhubarbrill_edge::store::{self, Effect, Entry, Store, Swap, Swapped};

use super::{Configuration, MAX_BACKOFF};

/// Failure of a swap that got no response on any attempt.
#[derive(Clone, Debug)]
pub(super) struct SwapFailure {
    pub(super) error: store::Error,
    /// Whether the swap may have taken effect, or may still do so.
    pub(super) may_have_applied: bool,
}

impl<S: Store> Configuration<'_, S> {
    /// Sends the same swap until a response arrives or the attempts are used up.
    ///
    /// After a lost response, a conflict may be with the effect of an earlier attempt of
    /// the same swap: the caller tells from the entry found.
    pub(super) fn swap(&self, swap: &Swap) -> Result<Swapped, SwapFailure> {
        let mut may_have_applied = false;
        self.retry(
            || self.store.swap(swap.clone()),
            |error| {
                may_have_applied |= error.effect() == Effect::Unknown;
            },
        )
        .map_err(|error| SwapFailure {
            error,
            may_have_applied,
        })
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
        mut on_error: impl FnMut(&store::Error),
    ) -> Result<T, store::Error> {
        let mut backoff =
            Backoff::new(self.initial_backoff, MAX_BACKOFF, self.attempts - 1);
        loop {
            let error = match call() {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            on_error(&error);
            match backoff.next() {
                Some(wait) if !error.is_refused() => thread::sleep(wait),
                _ => return Err(error),
            }
        }
    }
}
