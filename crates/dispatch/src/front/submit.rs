//! Submissions, cancellations and questions that need the store.

use std::time::Duration;

use http::StatusCode;
use rhubarbrill_core::job::Spec;
use rhubarbrill_core::job::record::{Record, State, Submission};
use rhubarbrill_core::time::Instant;

use super::Answer;
use super::request::Call;
use crate::edge::{
    Bodies, Committed, Condition, Failure, Item, Platform, Store, Transaction, Write,
};
use crate::node::Node;
use crate::view::decode;
use crate::{clock, key};

/// When a caller may come back after the store turned a submission away.
const STORE_RETRY: Duration = Duration::from_secs(1);

/// Age of the newest word of the store above which it counts as lost: a watch is answered
/// within one second.
const LOST_AGE: Duration = Duration::from_millis(1_700);

/// Pause before the store is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How a cancellation ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cancelled {
    /// It is in the store.
    Done,
    /// There is no such job.
    NoSuchJob,
    /// The store gave no answer.
    Unknown,
}

/// What is known of a job that a caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Lookup {
    /// Its state.
    Found(State),
    /// There is no such job.
    NoSuchJob,
    /// The store gave no answer.
    Unknown,
}

/// Puts a job into the store.
pub(super) async fn submit<P: Platform>(
    node: &Node<P>,
    call: &Call,
    spec: Spec,
) -> Answer {
    if node.view.borrow().state(&call.id).is_some() {
        return Answer::new(StatusCode::OK, "accepted before");
    }
    if is_store_lost(node) {
        // Nothing was sent, so the job is certainly not accepted here.
        return turned_away(node);
    }
    let record = Record {
        queue: call.queue.name.clone(),
        pool: call.queue.pool.clone(),
        workspace: call.workspace.clone(),
        submitted: clock::wall(),
        spec,
    };
    let submission = Submission::Accepted(Box::new(record));
    let value = match serde_json::to_vec(&submission) {
        Ok(value) => value,
        Err(error) => {
            let body = node.platform.bodies().refusal(&error.to_string());
            return Answer::new(StatusCode::BAD_REQUEST, "job not writable")
                .with_body(body);
        }
    };
    let deadline = clock::now() + call.patience;
    write(node, &call.id, value, deadline).await
}

/// Writes a submission until it is certain what became of it, or the deadline passes.
async fn write<P: Platform>(
    node: &Node<P>,
    id: &str,
    value: Vec<u8>,
    deadline: Instant,
) -> Answer {
    let mut revision = 0;
    let mut doubtful = false;
    while clock::now() < deadline {
        let transaction = submission(id, revision, value.clone());
        match node.platform.store().commit(&transaction).await {
            Ok(Committed::Done(revision)) => {
                node.metrics.store_write("done");
                node.view.borrow_mut().note_accepted(id, revision);
                return Answer::new(StatusCode::OK, "accepted");
            }
            Ok(Committed::Conflict(items)) => match found(&items) {
                Found::Accepted => return Answer::new(StatusCode::OK, "accepted before"),
                Found::Marker(at) => revision = at,
            },
            Ok(Committed::LeaseGone) => return unanswered(node),
            Err(Failure::NotDone(_) | Failure::Compacted) if !doubtful => {
                node.metrics.store_write("not done");
                return turned_away(node);
            }
            Err(Failure::NotDone(_) | Failure::Compacted) => {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(Failure::Unknown(_)) => {
                node.metrics.store_write("unknown");
                if doubtful || is_store_lost(node) {
                    return unanswered(node);
                }
                doubtful = true;
            }
        }
    }
    unanswered(node)
}

/// Returns the write of a job that replaces a marker of this revision, or nothing; a job that
/// is over has a state and no record.
fn submission(id: &str, revision: u64, value: Vec<u8>) -> Transaction {
    Transaction {
        conditions: vec![
            Condition {
                key: key::job(id),
                revision,
            },
            Condition {
                key: key::state(id),
                revision: 0,
            },
        ],
        writes: vec![Write::Own {
            key: key::job(id),
            value,
            lease: None,
        }],
        removals: Vec::new(),
    }
}

/// What stands under the identity of a submission that met another one.
enum Found {
    Accepted,
    /// A marker of a refusal, or nothing, at this revision.
    Marker(u64),
}

fn found(items: &[Item]) -> Found {
    let mut marker = 0;
    for item in items {
        let Some(value) = &item.value else {
            continue;
        };
        match serde_json::from_slice(value) {
            Ok(Submission::Refused) => marker = item.revision,
            // A job, or the state of one.
            Ok(Submission::Accepted(_)) | Err(_) => return Found::Accepted,
        }
    }
    Found::Marker(marker)
}

fn turned_away<P: Platform>(node: &Node<P>) -> Answer {
    let reason = "the store turned the job away";
    Answer::new(StatusCode::SERVICE_UNAVAILABLE, reason)
        .with_body(node.platform.bodies().refusal(reason))
        .with_retry_after(STORE_RETRY)
}

fn unanswered<P: Platform>(node: &Node<P>) -> Answer {
    let reason = "the store didn't answer; the job may be accepted";
    Answer::new(StatusCode::GATEWAY_TIMEOUT, reason)
        .with_body(node.platform.bodies().refusal(reason))
}

/// Writes a cancellation.
pub(super) async fn cancel<P: Platform>(node: &Node<P>, call: &Call) -> Cancelled {
    let deadline = clock::now() + call.patience;
    let known = node.view.borrow().state(&call.id);
    if known.is_some_and(State::is_final) {
        return Cancelled::Done;
    }
    let mut revision = node.view.borrow().accepted_at(&call.id);
    while clock::now() < deadline {
        let Some(at) = revision else {
            match read(node, &call.id).await {
                Ok(Stored::UnderWay(at, _)) => revision = Some(at),
                Ok(Stored::Over(_)) => return Cancelled::Done,
                Ok(Stored::Nothing) => return Cancelled::NoSuchJob,
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
            continue;
        };
        let transaction = Transaction {
            conditions: vec![Condition {
                key: key::job(&call.id),
                revision: at,
            }],
            writes: vec![Write::Own {
                key: key::cancellation(&call.id),
                value: Vec::new(),
                lease: None,
            }],
            removals: Vec::new(),
        };
        match node.platform.store().commit(&transaction).await {
            Ok(Committed::Done(_)) => return Cancelled::Done,
            Ok(Committed::Conflict(_) | Committed::LeaseGone) => revision = None,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    Cancelled::Unknown
}

/// Finds the state of a job, in the store if the copy doesn't know it.
pub(super) async fn look_up<P: Platform>(node: &Node<P>, call: &Call) -> Lookup {
    if let Some(state) = node.view.borrow().state(&call.id) {
        return Lookup::Found(state);
    }
    let deadline = clock::now() + call.patience;
    while clock::now() < deadline {
        match read(node, &call.id).await {
            Ok(Stored::UnderWay(_, state) | Stored::Over(state)) => {
                return Lookup::Found(state);
            }
            Ok(Stored::Nothing) => return Lookup::NoSuchJob,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    Lookup::Unknown
}

/// What the store holds of a job.
enum Stored {
    /// The revision of its record, and its state.
    UnderWay(u64, State),
    /// Its last state.
    Over(State),
    Nothing,
}

/// Reads what the store holds of a job.
///
/// A job's end replaces its record by its state at once. So whoever sees neither has to look
/// for the state once more.
async fn read<P: Platform>(node: &Node<P>, id: &str) -> Result<Stored, Failure> {
    let state = read_state(node, id).await?;
    if let Some(state) = state.filter(|state| state.is_final()) {
        return Ok(Stored::Over(state));
    }
    if let Some(item) = node.platform.store().get(&key::job(id)).await? {
        let value = item.value.unwrap_or_default();
        return match decode(&value) {
            Ok(Submission::Refused) => Ok(Stored::Nothing),
            Ok(Submission::Accepted(_)) => {
                let state = state.unwrap_or(State::Queued);
                Ok(Stored::UnderWay(item.revision, state))
            }
            Err(reason) => Err(Failure::NotDone(reason)),
        };
    }
    let state = read_state(node, id).await?;
    Ok(state.map_or(Stored::Nothing, Stored::Over))
}

async fn read_state<P: Platform>(
    node: &Node<P>,
    id: &str,
) -> Result<Option<State>, Failure> {
    let item = node.platform.store().get(&key::state(id)).await?;
    let value = item.and_then(|item| item.value);
    value
        .map(|value| decode(&value).map_err(Failure::NotDone))
        .transpose()
}

/// Returns whether the store hasn't answered for a while, so that a submission would only
/// wait for nothing.
fn is_store_lost<P>(node: &Node<P>) -> bool {
    node.store_age(clock::now())
        .is_none_or(|age| age > LOST_AGE)
}
