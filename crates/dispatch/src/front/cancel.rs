//! Cancellations of jobs.
//!
//! A cancellation that is acknowledged is final, also if there is no such job: a submission of it
//! may still be under way, so a tombstone keeps it and later ones from being accepted, until it is
//! removed with the states of jobs that finished at the same time.

use std::time::Duration;

use rhubarbrill_core::job::record::{State, Submission};

use super::request::Call;
use super::stored::{self, Stored};
use super::submit::submission_transaction;
use crate::node::Node;
use crate::platform::{CommitOutcome, Condition, Platform, Transaction, Write};
use crate::{clock, key};

/// Delay before the store is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CancelOutcome {
    /// The cancellation is stored, or the job has already finished.
    Done,
    /// There is no such job, and a tombstone keeps it from being accepted.
    NoSuchJob,
    /// There is no such job now, and too many tombstones were written lately.
    TooMany,
    /// The store gave no answer before the deadline.
    Unknown,
}

/// Stores a cancellation, retrying until the deadline passes.
pub(super) async fn cancel<P: Platform>(node: &Node<P>, call: &Call) -> CancelOutcome {
    let deadline = clock::now() + call.timeout;
    let known = node.view.borrow().state(&call.id);
    if known.is_some_and(State::is_final) {
        return CancelOutcome::Done;
    }
    let mut cancellation = Cancellation {
        node,
        call,
        revision: node.view.borrow().accepted_revision(&call.id),
        is_counted: false,
    };
    while clock::now() < deadline {
        if let Some(outcome) = cancellation.attempt().await {
            return outcome;
        }
    }
    CancelOutcome::Unknown
}

/// A cancellation that is being stored.
struct Cancellation<'a, P> {
    node: &'a Node<P>,
    call: &'a Call,
    /// Store revision of the job's record; `None` if it isn't known.
    revision: Option<u64>,
    /// Whether the tombstone of this call counts towards the limit already.
    is_counted: bool,
}

impl<P: Platform> Cancellation<'_, P> {
    /// Tries once to store the cancellation. Returns `None` if it is to be tried again.
    async fn attempt(&mut self) -> Option<CancelOutcome> {
        if let Some(revision) = self.revision {
            return self.store_mark(revision).await;
        }
        match stored::read(self.node, &self.call.id).await {
            Ok(Stored::Active(revision, _)) => {
                self.revision = Some(revision);
                None
            }
            Ok(Stored::Finished(_)) => Some(CancelOutcome::Done),
            Ok(Stored::Cancelled) => Some(CancelOutcome::NoSuchJob),
            Ok(Stored::Absent) if self.may_write_tombstone() => {
                self.store_tombstone().await
            }
            Ok(Stored::Absent) => Some(CancelOutcome::TooMany),
            Err(_) => {
                tokio::time::sleep(RETRY_PAUSE).await;
                None
            }
        }
    }

    /// Marks the job whose record has this store revision as cancelled.
    async fn store_mark(&mut self, revision: u64) -> Option<CancelOutcome> {
        let transaction = Transaction {
            conditions: vec![Condition {
                key: key::job(&self.call.id),
                revision,
            }],
            writes: vec![Write::Record {
                key: key::cancellation(&self.call.id),
                value: Vec::new(),
                lease: None,
            }],
            removals: Vec::new(),
        };
        self.commit(&transaction, CancelOutcome::Done).await
    }

    /// Returns whether the limit on tombstones allows for that of this call.
    fn may_write_tombstone(&mut self) -> bool {
        let entry_hosts = self.node.view.borrow().entries.len();
        let workspace = self.call.workspace.as_deref();
        let mut budget = self.node.tombstones.borrow_mut();
        self.is_counted =
            self.is_counted || budget.take(clock::now(), entry_hosts, workspace);
        self.is_counted
    }

    /// Writes a tombstone in the place of the job's record.
    async fn store_tombstone(&mut self) -> Option<CancelOutcome> {
        let tombstone = Submission::Cancelled {
            cancelled: clock::wall_clock(),
        };
        // A time can be encoded.
        let value = serde_json::to_vec(&tombstone).unwrap_or_default();
        let transaction = submission_transaction(&self.call.id, value);
        self.commit(&transaction, CancelOutcome::NoSuchJob).await
    }

    /// Commits a transaction. Returns `done` if the store has executed it, and `None` if the job
    /// must be looked up again or the store must be asked again.
    async fn commit(
        &mut self,
        transaction: &Transaction,
        done: CancelOutcome,
    ) -> Option<CancelOutcome> {
        match self.node.commit(transaction).await {
            Ok(CommitOutcome::Done(_)) => return Some(done),
            Ok(CommitOutcome::Conflict(_) | CommitOutcome::LeaseNotFound) => {
                self.revision = None;
            }
            Ok(CommitOutcome::Refused(_)) | Err(_) => {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        None
    }
}
