//! Records: serde values in the store that many processes read, change and swap.
//!
//! A record carries a serial number and the nonces of its last writes. A swap whose answer
//! was lost is recognised by them in the record that is found later, also when others have
//! written since. The lost swap is settled by sending the same swap again: at most one of
//! the two can take effect, and the answer to the second shows what became of the first,
//! however stale the store's reads are.
//!
//! A record that is changed through this module must not be deleted.

use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use self::attempt::Attempt;
use self::trail::{Envelope, Trail};
use crate::store::{Effect, Entry, Error, Store};

mod attempt;
mod backoff;
mod trail;

pub use backoff::Backoff;

/// A value with its place in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record<T> {
    /// The value.
    pub value: T,
    /// Store revision of the last change.
    pub version: u64,
    trail: Trail,
}

/// What to do with a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision<T, R> {
    /// Write this value.
    Write(T),
    /// Leave the record as it is, for this reason.
    Refuse(R),
}

/// How one write ended.
#[derive(Clone, Debug)]
pub enum WriteOutcome<T> {
    /// The write took effect. The record is as it was seen then: after a lost answer it
    /// may hold what others have written since.
    Applied(Record<T>),
    /// The write never took effect: another process was faster and left this record.
    Conflict(Option<Record<T>>),
    /// The write may have taken effect, or may yet do so: the answer was lost.
    Unknown(Error),
}

/// How an update ended.
#[derive(Clone, Debug)]
pub enum Outcome<T, R> {
    /// The record was written. It is as it was seen then: after a lost answer it may hold
    /// what others have written since.
    Applied(Record<T>),
    /// The decision was to leave the record as it is.
    Refused(R),
    /// The record may have been written, or may yet be: the answer was lost.
    Unknown(Error),
}

/// Reads a record.
///
/// # Errors
///
/// Fails when the store gives no answer, or the value is not a record of this type.
pub fn read<T, S>(store: &S, key: &str) -> Result<Option<Record<T>>, Error>
where
    T: DeserializeOwned,
    S: Store + ?Sized,
{
    store.get(key)?.as_ref().map(parse).transpose()
}

/// Reads a record from an entry of a listing or a watch.
///
/// # Errors
///
/// Fails when the value is not a record of this type.
pub fn parse<T: DeserializeOwned>(entry: &Entry) -> Result<Record<T>, Error> {
    let envelope: Envelope<T> =
        serde_json::from_slice(&entry.value).map_err(|error| {
            Error::malformed(Effect::None, format!("{}: {error}", entry.key))
        })?;
    Ok(envelope.at(entry.version))
}

/// Reads a record, decides on it, and swaps it.
///
/// `decide` is asked again with the newer record when another process was faster. Between
/// two calls of the store passes one of `waits`; when they are used up, the update ends.
///
/// # Errors
///
/// Fails when the record certainly was not written: the store can't be reached or refused
/// the swap, others were faster on every try, or the value is not a record of this type.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use rhubarbrill_edge::record::{self, Backoff, Decision, Outcome};
/// use rhubarbrill_edge::store::Memory;
///
/// let store = Memory::new();
/// let waits = || Backoff::new(Duration::from_millis(5), Duration::from_millis(80), 6);
/// for _ in 0..2 {
///     let outcome = record::update(&store, "count", waits(), |found: Option<u32>| {
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
    waits: W,
    decide: F,
) -> Result<Outcome<T, R>, Error>
where
    T: DeserializeOwned + Serialize,
    S: Store + ?Sized,
    W: IntoIterator<Item = Duration>,
    F: FnMut(Option<T>) -> Decision<T, R>,
{
    let mut waits = waits.into_iter();
    let known = loop {
        let error = match read(store, key) {
            Ok(known) => break known,
            Err(error) => error,
        };
        if !error.is_unreachable() {
            return Err(error);
        }
        thread::sleep(waits.next().ok_or(error)?);
    };
    update_from(store, key, known, waits, decide)
}

/// Decides on a record that was read before, and swaps it.
///
/// Saves the read of [`update`]. An outdated `known` costs one more swap; `None` stands for
/// a record that doesn't exist yet.
///
/// # Errors
///
/// Fails as [`update`] does.
pub fn update_from<T, R, S, W, F>(
    store: &S,
    key: &str,
    known: Option<Record<T>>,
    waits: W,
    mut decide: F,
) -> Result<Outcome<T, R>, Error>
where
    T: DeserializeOwned + Serialize,
    S: Store + ?Sized,
    W: IntoIterator<Item = Duration>,
    F: FnMut(Option<T>) -> Decision<T, R>,
{
    let mut waits = waits.into_iter();
    let mut known = known;
    loop {
        let (found, base) = split(known);
        let value = match decide(found) {
            Decision::Write(value) => value,
            Decision::Refuse(reason) => return Ok(Outcome::Refused(reason)),
        };
        match Attempt::new(key, base, value)?.run(store, &mut waits)? {
            WriteOutcome::Applied(record) => return Ok(Outcome::Applied(record)),
            WriteOutcome::Unknown(error) => return Ok(Outcome::Unknown(error)),
            WriteOutcome::Conflict(newer) => known = newer,
        }
        thread::sleep(waits.next().ok_or_else(|| Error::contended(key))?);
    }
}

/// Writes a value over a record that was read before, and decides nothing.
///
/// A write without an answer is sent again after each of `waits`.
///
/// # Errors
///
/// Fails when the record certainly was not written and no other process was faster: the
/// store can't be reached or refused the swap.
pub fn write<T, S, W>(
    store: &S,
    key: &str,
    known: Option<Record<T>>,
    value: T,
    waits: W,
) -> Result<WriteOutcome<T>, Error>
where
    T: DeserializeOwned + Serialize,
    S: Store + ?Sized,
    W: IntoIterator<Item = Duration>,
{
    let (_, base) = split(known);
    Attempt::new(key, base, value)?.run(store, &mut waits.into_iter())
}

fn split<T>(known: Option<Record<T>>) -> (Option<T>, Option<(u64, Trail)>) {
    match known {
        Some(record) => (Some(record.value), Some((record.version, record.trail))),
        None => (None, None),
    }
}
