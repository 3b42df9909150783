//! The store record of the maintenance ledger, which is changed by compare-and-swap.
//!
//! Every command is applied to the version that the swap replaces, so the disruption
//! budgets are checked atomically with the change that uses them. [`record`] resolves a
//! swap whose response was lost, and a command that is sent again changes nothing.

use std::time::Duration;

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Command, Decision, Ledger, Refusal};
use rhubarbrill_edge::record::{self, Outcome};
use rhubarbrill_edge::store::{Entry, Error, Store};

/// Key of the record, relative to the prefix of the store.
pub const KEY: &str = "maintenance";

/// Outcome of a batch of commands.
#[derive(Clone, Debug)]
pub struct ChangeOutcome {
    /// Decision on each command, in the order sent.
    pub decisions: Vec<Result<Decision, Refusal>>,
    /// Whether the ledger in the store was changed.
    pub written: Written,
}

/// Whether a batch of commands changed the ledger in the store.
#[derive(Clone, Debug)]
pub enum Written {
    /// The ledger as it was written.
    Ledger(Box<Ledger>),
    /// No command changed the ledger.
    Nothing,
    /// The change may have been written, or may still be, because the response was lost.
    /// Send the same commands again.
    Unknown(Error),
}

/// Reads the ledger; returns an empty one if there is no record.
///
/// # Errors
///
/// Fails when the store doesn't respond, or when the record is malformed.
pub fn read<S: Store + ?Sized>(store: &S) -> Result<Ledger, Error> {
    let found = record::read(store, KEY)?;
    Ok(found.map(|record| record.value).unwrap_or_default())
}

/// Parses the ledger from an entry of a listing or a watch.
///
/// # Errors
///
/// Fails when the entry isn't a ledger.
pub fn parse(entry: &Entry) -> Result<Ledger, Error> {
    record::parse(entry).map(|record| record.value)
}

/// Applies commands in one swap; their sender decided on them at generation `seen` of the
/// ledger.
///
/// A command that is refused doesn't affect the others. `backoff` gives the waits between
/// attempts of a call to the store.
///
/// # Errors
///
/// Fails when the record was not written and won't be.
///
/// # Example
///
/// ```
/// use rhubarbrill_core::fleet::Fleet;
/// use rhubarbrill_core::maintenance::Command;
/// use rhubarbrill_edge::store::Memory;
/// use rhubarbrill_registry::maintenance::{self, Written};
///
/// let store = Memory::new();
/// let failed = Command::MarkFailed { host: "h1".into() };
/// let outcome = maintenance::change(&store, [], &Fleet::default(), 0, &[failed])?;
/// assert!(outcome.decisions[0].is_err());
/// assert!(matches!(outcome.written, Written::Nothing));
/// # Ok::<(), rhubarbrill_edge::store::Error>(())
/// ```
pub fn change<S, W>(
    store: &S,
    backoff: W,
    fleet: &Fleet,
    seen: u64,
    commands: &[Command],
) -> Result<ChangeOutcome, Error>
where
    S: Store + ?Sized,
    W: IntoIterator<Item = Duration>,
{
    let mut decisions = Vec::new();
    let outcome = record::update(store, KEY, backoff, |found: Option<Ledger>| {
        let mut ledger = found.unwrap_or_default();
        decisions = apply(&mut ledger, fleet, seen, commands);
        match decisions.iter().any(is_change) {
            true => record::Decision::Write(ledger),
            false => record::Decision::Refuse(()),
        }
    })?;
    let written = match outcome {
        Outcome::Applied(record) => Written::Ledger(Box::new(record.value)),
        Outcome::Refused(()) => Written::Nothing,
        Outcome::Unknown(error) => Written::Unknown(error),
    };
    Ok(ChangeOutcome { decisions, written })
}

fn apply(
    ledger: &mut Ledger,
    fleet: &Fleet,
    seen: u64,
    commands: &[Command],
) -> Vec<Result<Decision, Refusal>> {
    commands
        .iter()
        .map(|command| ledger.apply(fleet, seen, command))
        .collect()
}

fn is_change(decision: &Result<Decision, Refusal>) -> bool {
    matches!(decision, Ok(Decision::Changed(_)))
}
