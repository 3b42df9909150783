//! What the store holds for a job.

use rhubarbrill_core::job::record::{State, Submission};

use crate::key;
use crate::node::Node;
use crate::platform::{Failure, Platform};
use crate::view::decode;

/// Reads the state of a job from the store. Returns `None` if there is no such job.
pub(super) async fn read_job_state<P: Platform>(
    node: &Node<P>,
    id: &str,
) -> Result<Option<State>, Failure> {
    Ok(match read(node, id).await? {
        Stored::Active(_, state) | Stored::Finished(state) => Some(state),
        Stored::Absent | Stored::Cancelled => None,
    })
}

/// What the store holds for a job.
pub(super) enum Stored {
    /// The job hasn't finished. Contains the revision of its record, and its state.
    Active(u64, State),
    /// The job has finished in this state.
    Finished(State),
    /// The job was cancelled before it was accepted.
    Cancelled,
    Absent,
}

/// Reads what the store holds for a job.
///
/// When a job finishes, one transaction replaces its record by its final state. A reader
/// that finds neither may have read the state before that transaction and the record
/// after it, so it reads the state again.
pub(super) async fn read<P: Platform>(
    node: &Node<P>,
    id: &str,
) -> Result<Stored, Failure> {
    let state = read_state(node, id).await?;
    if let Some(state) = state.filter(|state| state.is_final()) {
        return Ok(Stored::Finished(state));
    }
    if let Some(item) = node.read(&key::job(id)).await? {
        let value = item.value.unwrap_or_default();
        return match decode(&value) {
            Ok(Submission::Cancelled { .. }) => Ok(Stored::Cancelled),
            Ok(Submission::Accepted(_)) => {
                let state = state.unwrap_or(State::Queued);
                Ok(Stored::Active(item.revision, state))
            }
            Err(reason) => Err(Failure::NotDone(reason)),
        };
    }
    let state = read_state(node, id).await?;
    Ok(state.map_or(Stored::Absent, Stored::Finished))
}

async fn read_state<P: Platform>(
    node: &Node<P>,
    id: &str,
) -> Result<Option<State>, Failure> {
    let item = node.read(&key::state(id)).await?;
    let value = item.and_then(|item| item.value);
    value
        .map(|value| decode(&value).map_err(Failure::NotDone))
        .transpose()
}
