//! Calls to the store whose timeouts follow its response times.

use std::time::Duration;

use crate::clock;
use crate::node::Node;
use crate::platform::{CommitOutcome, Failure, Item, Platform, Store as _, Transaction};

impl<P: Platform> Node<P> {
    /// Reads one key. Returns `None` if the key doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    pub(crate) async fn read(&self, key: &str) -> Result<Option<Item>, Failure> {
        let timeout = self.store_timeout();
        self.timed(timeout, self.platform.store().get(key, timeout))
            .await
    }

    /// Applies a transaction if all of its conditions hold.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer. The variant tells whether the
    /// transaction may have taken effect.
    pub(crate) async fn commit(
        &self,
        transaction: &Transaction,
    ) -> Result<CommitOutcome, Failure> {
        let timeout = self.store_timeout();
        self.timed(timeout, self.platform.store().commit(transaction, timeout))
            .await
    }

    /// Renews a lease. Returns `false` if the lease has already ended.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    pub(crate) async fn renew(&self, lease: u64) -> Result<bool, Failure> {
        let timeout = self.store_timeout();
        self.timed(timeout, self.platform.store().renew(lease, timeout))
            .await
    }

    fn store_timeout(&self) -> Duration {
        self.store_round_trip.borrow().timeout()
    }

    /// Makes a call with the given timeout and records its response time.
    async fn timed<T>(
        &self,
        timeout: Duration,
        call: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        let sent = clock::now();
        let outcome = call.await;
        self.record_store_call(&outcome);
        let elapsed = clock::now().saturating_since(sent);
        let mut round_trip = self.store_round_trip.borrow_mut();
        match &outcome {
            Ok(_) => round_trip.record_answer(elapsed),
            Err(Failure::Unknown(_)) if elapsed >= timeout => round_trip.record_timeout(),
            // A refusal or a closed connection says nothing about response times.
            Err(_) => {}
        }
        outcome
    }
}
