//! A write of a record that is sent until its outcome is known.

use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::history::{Envelope, WriteHistory, WriteId, WriteStatus};
use super::{Record, WriteOutcome, parse};
use crate::store::{Effect, Entry, Error, Expect, Store, Swap, Swapped};

/// A swap that may be sent several times but takes effect at most once.
#[derive(Debug)]
pub(super) struct PendingWrite<T> {
    swap: Swap,
    id: WriteId,
    envelope: Envelope<T>,
}

impl<T: DeserializeOwned + Serialize> PendingWrite<T> {
    /// Prepares the write of `value` over the record of the given version and history.
    ///
    /// No `base` stands for a record that doesn't exist yet.
    pub(super) fn new(
        key: &str,
        base: Option<(u64, WriteHistory)>,
        value: T,
    ) -> Result<Self, Error> {
        let (expect, history) = match base {
            Some((version, history)) => (Expect::Version(version), history),
            None => (Expect::Absent, WriteHistory::default()),
        };
        let (trail, id) = history.append_write();
        let envelope = Envelope { trail, value };
        let bytes = serde_json::to_vec(&envelope)
            .map_err(|error| Error::malformed(Effect::None, format!("{key}: {error}")))?;
        let swap = Swap {
            key: key.to_owned(),
            expect,
            value: Some(bytes),
            lease: None,
        };
        Ok(Self { swap, id, envelope })
    }

    /// Sends the swap until its outcome is known or the backoff is exhausted.
    ///
    /// # Errors
    ///
    /// Fails when the swap certainly never took effect and no conflicting write was
    /// found.
    pub(super) fn send<S, W>(
        self,
        store: &S,
        backoff: &mut W,
    ) -> Result<WriteOutcome<T>, Error>
    where
        S: Store + ?Sized,
        W: Iterator<Item = Duration>,
    {
        let mut ambiguous_error = None;
        loop {
            let error = match store.swap(self.swap.clone()) {
                Ok(Swapped::Done(version)) => {
                    return Ok(WriteOutcome::Applied(self.envelope.into_record(version)));
                }
                Ok(Swapped::Conflict(found)) => {
                    return self.resolve_conflict(found.as_ref(), ambiguous_error);
                }
                Err(error) => error,
            };
            let wait = backoff.next().filter(|_| !error.is_refused());
            if error.effect() == Effect::Unknown {
                ambiguous_error = Some(error.clone());
            }
            match (wait, ambiguous_error.clone()) {
                (Some(wait), _) => thread::sleep(wait),
                (None, Some(ambiguous_error)) => {
                    return Ok(WriteOutcome::Unknown(ambiguous_error));
                }
                (None, None) => return Err(error),
            }
        }
    }

    /// Determines from the record found in a conflict whether the swap took effect.
    ///
    /// Looks for the nonce even when no response was lost, since an intermediary between
    /// this process and the store may have sent the swap twice.
    fn resolve_conflict(
        &self,
        found: Option<&Entry>,
        ambiguous_error: Option<Error>,
    ) -> Result<WriteOutcome<T>, Error> {
        let record: Option<Record<T>> = match found.map(parse).transpose() {
            Ok(record) => record,
            Err(error) => return ambiguous_error.map(WriteOutcome::Unknown).ok_or(error),
        };
        let status = record.as_ref().map_or(WriteStatus::Undetermined, |record| {
            record.history.status(self.id)
        });
        Ok(match (status, record, ambiguous_error) {
            // Returns the record found, not the one sent: others may have written since.
            (WriteStatus::Applied, Some(record), _) => WriteOutcome::Applied(record),
            (WriteStatus::Undetermined, _, Some(ambiguous_error)) => {
                WriteOutcome::Unknown(ambiguous_error)
            }
            (_, record, _) => WriteOutcome::Conflict(record),
        })
    }
}
