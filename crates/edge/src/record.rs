//! Records: serde values in the store that several processes update by compare-and-swap.
//!
//! A record carries a serial number and the nonces of its last writes. They identify a
//! swap whose response was lost in a record that is read later, even after other writers
//! have changed it. A swap with an unknown outcome is resolved by sending the same swap
//! again: at most one of the two can take effect, and the response to the second one
//! shows whether the first one did, regardless of how stale the store's reads are.
//!
//! A record that is changed through this module must not be deleted.

use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use self::history::{Envelope, WriteHistory};
use self::pending_write::PendingWrite;
use crate::store::{Effect, Entry, Error, Store};

mod backoff;
mod history;
mod pending_write;

pub use backoff::Backoff;

/// A value read from the store, with the version and write history that a swap needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record<T> {
    /// The value.
    pub value: T,
    /// Store revision of the last change to the record.
    pub version: u64,
    history: WriteHistory,
}

/// Decision of an update on whether to write a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision<T, R> {
    /// Write this value.
    Write(T),
    /// Leave the record unchanged, for this reason.
    Refuse(R),
}

/// Outcome of a single write.
#[derive(Clone, Debug)]
pub enum WriteOutcome<T> {
    /// The write took effect. After a lost response, the record may already include later
    /// writes by other processes.
    Applied(Record<T>),
    /// The write never took effect, because another process wrote first. Holds the record
    /// found instead, or `None` if there is none.
    Conflict(Option<Record<T>>),
    /// The write may have taken effect, or may still do so, because the response was
    /// lost.
    Unknown(Error),
}

/// Outcome of an update.
#[derive(Clone, Debug)]
pub enum Outcome<T, R> {
    /// The record was written. After a lost response, it may already include later writes
    /// by other processes.
    Applied(Record<T>),
    /// The decision was to leave the record unchanged.
    Refused(R),
    /// The record may have been written, or may still be, because the response was lost.
    Unknown(Error),
}

/// Reads a record; returns `None` if the key doesn't exist.
///
/// # Errors
///
/// Fails when the store doesn't respond, or the value isn't a record of this type.
pub fn read<T, S>(store: &S, key: &str) -> Result<Option<Record<T>>, Error>
where
    T: DeserializeOwned,
    S: Store + ?Sized,
{
    store.get(key)?.as_ref().map(parse).transpose()
}

/// Parses a record from an entry of a listing or a watch.
///
/// # Errors
///
/// Fails when the value isn't a record of this type.
pub fn parse<T: DeserializeOwned>(entry: &Entry) -> Result<Record<T>, Error> {
    let envelope: Envelope<T> =
        serde_json::from_slice(&entry.value).map_err(|error| {
            Error::malformed(Effect::None, format!("{}: {error}", entry.key))
        })?;
    Ok(envelope.into_record(entry.version))
}

/// Updates a record: reads it, passes it to `decide`, and writes the result by
/// compare-and-swap.
///
/// After a conflict with another writer, `decide` is called again with the newer record.
/// `backoff` yields the delays between consecutive store calls; the update gives up when
/// it is exhausted.
///
/// # Errors
///
/// Fails when the record was certainly not written: the store can't be reached or
/// rejected the swap, other writers won on every attempt, or the value isn't a record of
/// this type.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use rhubarbrill_edge::record::{self, Backoff, Decision, Outcome};
/// use rhubarbrill_edge::store::Memory;
///
/// let store = Memory::new();
/// let backoff = || Backoff::new(Duration::from_millis(5), Duration::from_millis(80), 6);
/// for _ in 0..2 {
///     let outcome = record::update(&store, "count", backoff(), |found: Option<u32>| {
///         match found.unwrap_or(0) {
///             0 => Decision::Write(1),
///             _ => Decision::Refuse("enough"),
///         }
///     })?;
///     assert!(!matches!(outcome, Outcome::Unknown(_)));
/// }
/// assert_eq!(record::read::<u32, _>(&store, "count")?.map(|r| r.value), Some(1));
/// # Ok::<(), rhubarbrill_edge::store::Error>(())
/// ```
pub fn update<T, R, S, W, F>(
    store: &S,
    key: &str,
    backoff: W,
    decide: F,
) -> Result<Outcome<T, R>, Error>
where
    T: DeserializeOwned + Serialize,
    S: Store + ?Sized,
    W: IntoIterator<Item = Duration>,
    F: FnMut(Option<T>) -> Decision<T, R>,
{
    let mut backoff = backoff.into_iter();
    let known = loop {
        let error = match read(store, key) {
            Ok(known) => break known,
            Err(error) => error,
        };
        if !error.is_unreachable() {
            return Err(error);
        }
        thread::sleep(backoff.next().ok_or(error)?);
    };
    update_from(store, key, known, backoff, decide)
}

/// Updates a record that was read before, without reading it again.
///
/// Saves the initial read of [`update`]. An outdated `known` costs one additional swap;
/// `None` stands for a record that doesn't exist yet.
///
/// # Errors
///
/// Fails as [`update`] does.
pub fn update_from<T, R, S, W, F>(
    store: &S,
    key: &str,
    known: Option<Record<T>>,
    backoff: W,
    mut decide: F,
) -> Result<Outcome<T, R>, Error>
where
    T: DeserializeOwned + Serialize,
    S: Store + ?Sized,
    W: IntoIterator<Item = Duration>,
    F: FnMut(Option<T>) -> Decision<T, R>,
{
    let mut backoff = backoff.into_iter();
    let mut known = known;
    loop {
        let (found, base) = split_record(known);
        let value = match decide(found) {
            Decision::Write(value) => value,
            Decision::Refuse(reason) => return Ok(Outcome::Refused(reason)),
        };
        match PendingWrite::new(key, base, value)?.send(store, &mut backoff)? {
            WriteOutcome::Applied(record) => return Ok(Outcome::Applied(record)),
            WriteOutcome::Unknown(error) => return Ok(Outcome::Unknown(error)),
            WriteOutcome::Conflict(newer) => known = newer,
        }
        thread::sleep(backoff.next().ok_or_else(|| Error::contended(key))?);
    }
}

/// Replaces the value of a record that was read before, without retrying on conflict.
///
/// A write that gets no response is sent again after each delay of `backoff`.
///
/// # Errors
///
/// Fails when the record was certainly not written and no conflicting write was found:
/// the store can't be reached or rejected the swap.
pub fn write<T, S, W>(
    store: &S,
    key: &str,
    known: Option<Record<T>>,
    value: T,
    backoff: W,
) -> Result<WriteOutcome<T>, Error>
where
    T: DeserializeOwned + Serialize,
    S: Store + ?Sized,
    W: IntoIterator<Item = Duration>,
{
    let (_, base) = split_record(known);
    PendingWrite::new(key, base, value)?.send(store, &mut backoff.into_iter())
}

/// Splits a record into its value and the version and history that a swap builds on.
fn split_record<T>(known: Option<Record<T>>) -> (Option<T>, Option<(u64, WriteHistory)>) {
    match known {
        Some(record) => (Some(record.value), Some((record.version, record.history))),
        None => (None, None),
    }
}
