//! The maintenance ledger's record: read, and changed by one swap.
//!
//! Every command is applied to the copy that the swap replaces, so the budgets are
//! checked in the very change that spends them. A swap whose answer was lost is settled
//! by [`record`], and a command that is sent again changes nothing.

use std::time::Duration;

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Command, Decision, Ledger, Refusal};
use rhubarbrill_edge::record::{self, Outcome};
use rhubarbrill_edge::store::{Entry, Error, Store};

/// Key of the record, below the store's prefix.
pub const KEY: &str = "maintenance";

/// What became of a sender's commands.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What each command did, in the order sent.
    pub decisions: Vec<Result<Decision, Refusal>>,
    /// What the store holds.
    pub written: Written,
}

/// Whether commands reached the store.
#[derive(Clone, Debug)]
pub enum Written {
    /// The ledger was changed to this.
    Ledger(Box<Ledger>),
    /// No command changed the ledger.
    Nothing,
    /// The change may have been written, or may yet be: the answer was lost. Send the
    /// same commands again.
    Unknown(Error),
}

/// Reads the ledger; an empty one when there is no record.
///
/// # Errors
///
/// Fails when the store gives no answer, or the record can't be read.
pub fn read<S: Store + ?Sized>(store: &S) -> Result<Ledger, Error> {
    let found = record::read(store, KEY)?;
    Ok(found.map(|record| record.value).unwrap_or_default())
}

/// Reads the ledger from an entry of a listing or a watch.
///
/// # Errors
///
/// Fails when the entry isn't a ledger.
pub fn parse(entry: &Entry) -> Result<Ledger, Error> {
    record::parse(entry).map(|record| record.value)
}

/// Applies commands, which their sender decided on at generation `seen`, in one swap.
///
/// A command that is refused leaves the others as they are. `waits` pass between calls of
/// the store.
///
/// # Errors
///
/// Fails when the record certainly was not written.
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
/// let answer = maintenance::change(&store, [], &Fleet::default(), 0, &[failed])?;
/// assert!(answer.decisions[0].is_err());
/// assert!(matches!(answer.written, Written::Nothing));
/// # Ok::<(), rhubarbrill_edge::store::Error>(())
/// ```
pub fn change<S, W>(
    store: &S,
    waits: W,
    fleet: &Fleet,
    seen: u64,
    commands: &[Command],
) -> Result<Answer, Error>
where
    S: Store + ?Sized,
    W: IntoIterator<Item = Duration>,
{
    let mut decisions = Vec::new();
    let outcome = record::update(store, KEY, waits, |found: Option<Ledger>| {
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
    Ok(Answer { decisions, written })
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
