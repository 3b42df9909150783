//! Submissions of jobs, which are stored before they are accepted.

use std::time::Duration;

use http::StatusCode;
use rhubarbrill_core::job::configuration::{Declarations, Queue};
use rhubarbrill_core::job::record::{Record, Submission};
use rhubarbrill_core::job::{Declared, Spec};
use rhubarbrill_core::time::Instant;
use serde::{Deserialize, Serialize};

use super::request::Call;
use super::{Answer, admission, forwarding};
use crate::fault::Place;
use crate::node::Node;
use crate::platform::{
    Bodies, CommitOutcome, Condition, Failure, Item, Platform, Transaction, Write,
};
use crate::{clock, fault, key};

/// Age of the last contact above which the store counts as unreachable. The store answers
/// a watch within one second.
const STORE_UNREACHABLE_AGE: Duration = Duration::from_millis(1_700);

/// Time after which a submission whose writes get no answer is given up, so that the caller
/// can send it to another entry host.
const MAX_UNANSWERED_TIME: Duration = Duration::from_millis(1_400);

/// Delay before the store is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum SubmitOutcome {
    /// The job was stored at this store revision.
    Accepted(u64),
    /// The job had already been stored.
    AcceptedBefore,
    /// The job was cancelled before it was accepted, and never runs.
    Cancelled,
    /// The job is not in the store, and this submission will not add it later.
    TurnedAway,
    /// The job may or may not be stored.
    Unanswered,
}

impl SubmitOutcome {
    /// Returns the text used in logs and in refusals to callers.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted(_) => "accepted",
            Self::AcceptedBefore => "accepted before",
            Self::Cancelled => "cancelled before it was accepted, never runs",
            Self::TurnedAway => "the store turned the job away",
            Self::Unanswered => "the store didn't answer; the job may be accepted",
        }
    }
}

/// Accepts a job: stores it, or forwards it to the leader if the store rejects it.
pub(super) async fn submit<P: Platform>(
    node: &Node<P>,
    call: &Call,
    spec: Spec,
) -> Answer {
    fault::check(Place::Call, &spec.payload);
    if node.view.borrow().state(&call.id).is_some() {
        return to_answer(node, &call.id, SubmitOutcome::AcceptedBefore);
    }
    let deadline = clock::now() + call.timeout;
    if let Some(answer) = admission::reject(node, call, &spec).await {
        return answer;
    }
    let (queue, workspace) = (&call.queue, call.workspace.clone());
    let outcome =
        store_job(node, &call.id, queue, workspace, spec.clone(), deadline).await;
    let outcome = match outcome {
        SubmitOutcome::TurnedAway => forwarding::submit(node, call, spec, deadline).await,
        SubmitOutcome::Accepted(_)
        | SubmitOutcome::AcceptedBefore
        | SubmitOutcome::Cancelled
        | SubmitOutcome::Unanswered => outcome,
    };
    if let SubmitOutcome::Accepted(revision) = outcome {
        node.view.borrow_mut().record_accepted(&call.id, revision);
    }
    to_answer(node, &call.id, outcome)
}

fn to_answer<P: Platform>(node: &Node<P>, id: &str, outcome: SubmitOutcome) -> Answer {
    let refusal = || node.platform.bodies().refusal(outcome.as_str());
    match outcome {
        SubmitOutcome::Accepted(_) | SubmitOutcome::AcceptedBefore => {
            Answer::new(StatusCode::OK, outcome.as_str())
        }
        // The caller needn't come back with this job.
        SubmitOutcome::Cancelled => {
            Answer::new(StatusCode::SERVICE_UNAVAILABLE, outcome.as_str())
                .with_body(refusal())
        }
        SubmitOutcome::TurnedAway => {
            let delay = node.refusals.borrow_mut().refuse(clock::now(), id);
            Answer::new(StatusCode::SERVICE_UNAVAILABLE, outcome.as_str())
                .with_body(refusal())
                .with_retry_after(delay)
        }
        SubmitOutcome::Unanswered => {
            Answer::new(StatusCode::GATEWAY_TIMEOUT, outcome.as_str())
                .with_body(refusal())
        }
    }
}

/// Stores a job.
pub(super) async fn store_job<P: Platform>(
    node: &Node<P>,
    id: &str,
    queue: &Queue,
    workspace: Option<String>,
    spec: Spec,
    deadline: Instant,
) -> SubmitOutcome {
    if is_store_unreachable(node) {
        // Nothing was sent, so the job is certainly not accepted here.
        return SubmitOutcome::TurnedAway;
    }
    let configuration = node.configuration();
    let declarations = Declarations {
        queue: Some(queue),
        workspace: configuration
            .as_ref()
            .zip(workspace.as_deref())
            .and_then(|(configuration, name)| configuration.workspace(name)),
    };
    let record = Record {
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        declared: Declared::new(&spec, declarations),
        workspace,
        submitted: clock::wall_clock(),
        spec,
    };
    let submission = Submission::Accepted(Box::new(record));
    match serde_json::to_vec(&submission) {
        Ok(value) => commit_submission(node, id, value, deadline).await,
        // A job that was decoded can be encoded again.
        Err(_) => SubmitOutcome::TurnedAway,
    }
}

/// Commits a submission, retrying until the outcome is certain or the deadline passes.
async fn commit_submission<P: Platform>(
    node: &Node<P>,
    id: &str,
    value: Vec<u8>,
    deadline: Instant,
) -> SubmitOutcome {
    let mut uncertain = false;
    let give_up_at = deadline.min(clock::now() + MAX_UNANSWERED_TIME);
    let transaction = submission_transaction(id, value);
    while clock::now() < deadline {
        match node.commit(&transaction).await {
            Ok(CommitOutcome::Done(revision)) => {
                node.metrics.store_write("done");
                return SubmitOutcome::Accepted(revision);
            }
            Ok(CommitOutcome::Conflict(items)) => match existing_entry(&items) {
                Some(ExistingEntry::Accepted) => return SubmitOutcome::AcceptedBefore,
                Some(ExistingEntry::Cancelled) => return SubmitOutcome::Cancelled,
                None => {}
            },
            Ok(CommitOutcome::LeaseNotFound) => return SubmitOutcome::Unanswered,
            Ok(CommitOutcome::Refused(_)) if uncertain => {
                return SubmitOutcome::Unanswered;
            }
            Ok(CommitOutcome::Refused(_)) => return SubmitOutcome::TurnedAway,
            Err(Failure::NotDone(_) | Failure::Compacted | Failure::TooLong)
                if !uncertain =>
            {
                node.metrics.store_write("not done");
                return SubmitOutcome::TurnedAway;
            }
            Err(Failure::NotDone(_) | Failure::Compacted | Failure::TooLong) => {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(Failure::Unknown(_)) => {
                node.metrics.store_write("unknown");
                if clock::now() >= give_up_at || is_store_unreachable(node) {
                    return SubmitOutcome::Unanswered;
                }
                uncertain = true;
            }
        }
    }
    SubmitOutcome::Unanswered
}

/// Returns the transaction that stores a submission, or its cancellation. It requires that the
/// store holds neither of them, and no state, because a finished job has a state and no record.
pub(super) fn submission_transaction(id: &str, value: Vec<u8>) -> Transaction {
    let absent = |key| Condition { key, revision: 0 };
    Transaction {
        conditions: vec![absent(key::job(id)), absent(key::state(id))],
        writes: vec![Write::Record {
            key: key::job(id),
            value,
            lease: None,
        }],
        removals: Vec::new(),
    }
}

/// What the store already holds under the ID of a submission that conflicted.
enum ExistingEntry {
    /// The job, or its state.
    Accepted,
    /// A tombstone.
    Cancelled,
}

/// Returns what a conflicting submission found; `None` if it was removed meanwhile.
fn existing_entry(items: &[Item]) -> Option<ExistingEntry> {
    let value = items.iter().find_map(|item| item.value.as_ref())?;
    Some(match serde_json::from_slice(value) {
        Ok(Submission::Cancelled { .. }) => ExistingEntry::Cancelled,
        // The value is a job, or the state of one.
        Ok(Submission::Accepted(_)) | Err(_) => ExistingEntry::Accepted,
    })
}

/// Returns whether the store hasn't answered for so long that a submission would only
/// wait in vain.
pub(super) fn is_store_unreachable<P>(node: &Node<P>) -> bool {
    node.store_age(clock::now())
        .is_none_or(|age| age > STORE_UNREACHABLE_AGE)
}
