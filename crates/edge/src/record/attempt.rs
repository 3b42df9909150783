//! One write of a record, sent until it is settled.

use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::trail::{Envelope, Stamp, Trace, Trail};
use super::{Record, WriteOutcome, parse};
use crate::store::{Effect, Entry, Error, Expect, Store, Swap, Swapped};

/// A swap that may be sent several times, and takes effect at most once.
#[derive(Debug)]
pub(super) struct Attempt<T> {
    swap: Swap,
    stamp: Stamp,
    envelope: Envelope<T>,
}

impl<T: DeserializeOwned + Serialize> Attempt<T> {
    /// Prepares the write of `value` over the record of the given version and trail.
    pub(super) fn new(
        key: &str,
        base: Option<(u64, Trail)>,
        value: T,
    ) -> Result<Self, Error> {
        let (expect, trail) = match base {
            Some((version, trail)) => (Expect::Version(version), trail),
            None => (Expect::Absent, Trail::default()),
        };
        let (trail, stamp) = trail.extend();
        let envelope = Envelope { trail, value };
        let bytes = serde_json::to_vec(&envelope)
            .map_err(|error| Error::malformed(Effect::None, format!("{key}: {error}")))?;
        let swap = Swap {
            key: key.to_owned(),
            expect,
            value: Some(bytes),
            lease: None,
        };
        Ok(Self {
            swap,
            stamp,
            envelope,
        })
    }

    /// Sends the swap until its fate is known or the waits are used up.
    ///
    /// # Errors
    ///
    /// Fails when the swap certainly never took effect and no other did.
    pub(super) fn run<S, W>(
        self,
        store: &S,
        waits: &mut W,
    ) -> Result<WriteOutcome<T>, Error>
    where
        S: Store + ?Sized,
        W: Iterator<Item = Duration>,
    {
        let mut doubt = None;
        loop {
            let error = match store.swap(self.swap.clone()) {
                Ok(Swapped::Done(version)) => {
                    return Ok(WriteOutcome::Applied(self.envelope.at(version)));
                }
                Ok(Swapped::Conflict(found)) => {
                    return self.settle(found.as_ref(), doubt);
                }
                Err(error) => error,
            };
            let wait = waits.next().filter(|_| !error.is_refused());
            if error.effect() == Effect::Unknown {
                doubt = Some(error.clone());
            }
            match (wait, doubt.clone()) {
                (Some(wait), _) => thread::sleep(wait),
                (None, Some(doubt)) => return Ok(WriteOutcome::Unknown(doubt)),
                (None, None) => return Err(error),
            }
        }
    }

    /// Tells from the record found in a conflict what became of the swap.
    ///
    /// Looks for the nonce also when no answer was lost: something between the two ends
    /// may have sent the swap twice.
    fn settle(
        &self,
        found: Option<&Entry>,
        doubt: Option<Error>,
    ) -> Result<WriteOutcome<T>, Error> {
        let record: Option<Record<T>> = match found.map(parse).transpose() {
            Ok(record) => record,
            Err(error) => return doubt.map(WriteOutcome::Unknown).ok_or(error),
        };
        let trace = record
            .as_ref()
            .map_or(Trace::Beyond, |record| record.trail.trace(self.stamp));
        Ok(match (trace, record, doubt) {
            // Others may have written since: what was found, not what was sent.
            (Trace::Present, Some(record), _) => WriteOutcome::Applied(record),
            (Trace::Beyond, _, Some(doubt)) => WriteOutcome::Unknown(doubt),
            (_, record, _) => WriteOutcome::Conflict(record),
        })
    }
}
