//! Forwards requests to the leader when this entry host can't reach the store.
//!
//! The store may reject one host, or be partitioned from it, while it serves the others.
//! Such an entry host forwards submissions and state queries to the leader, whose address
//! is in the leader's record. The leader checks the queue and the key against its own
//! configuration.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rhubarbrill_core::job::Spec;
use rhubarbrill_core::job::record::State;
use rhubarbrill_core::time::Instant;
use rhubarbrill_event::Event;
use serde::{Deserialize, Serialize};
use slog::o;

use super::Answer;
use super::request::Call;
use super::stored;
use super::submit::{self, SubmitOutcome};
use crate::node::Node;
use crate::platform::{Failure, Peers, Platform};
use crate::view::decode;
use crate::{clock, event};

/// Path at which an entry host accepts forwarded requests.
const JOBS_PATH: &str = "/jobs";

/// Largest forwarded message, in bytes. It holds a job's spec and its names, and is
/// larger than any body that callers may send.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Timeout of a state query to the leader.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// A forwarded submission.
#[derive(Debug, Deserialize, Serialize)]
struct Submission {
    id: String,
    queue: String,
    /// API key that the caller presented, if the queue requires one.
    key: Option<String>,
    spec: Spec,
    /// Time left until the caller's deadline, in milliseconds.
    patience_ms: u64,
}

/// The answer to a state query.
#[derive(Debug, Deserialize, Serialize)]
struct StateReply {
    /// State of the job; `None` if there is no such job.
    state: Option<State>,
}

/// Forwards a submission to the leader and returns its outcome.
pub(super) async fn submit<P: Platform>(
    node: &Node<P>,
    call: &Call,
    spec: Spec,
    deadline: Instant,
) -> SubmitOutcome {
    let remaining = deadline.saturating_since(clock::now());
    let Some(leader) = leader(node).filter(|_| !remaining.is_zero()) else {
        return SubmitOutcome::TurnedAway;
    };
    let submission = Submission {
        id: call.id.clone(),
        queue: call.queue.name.clone(),
        key: call.key.clone(),
        spec,
        patience_ms: clock::millis(remaining),
    };
    let Ok(body) = serde_json::to_vec(&submission) else {
        return SubmitOutcome::TurnedAway;
    };
    let peers = node.platform.peers();
    match peers
        .call(leader, Method::POST, JOBS_PATH, body, remaining)
        .await
    {
        Ok(body) => decode(&body).unwrap_or(SubmitOutcome::Unanswered),
        Err(Failure::NotDone(_) | Failure::Compacted | Failure::TooLong) => {
            SubmitOutcome::TurnedAway
        }
        Err(Failure::Unknown(_)) => SubmitOutcome::Unanswered,
    }
}

/// Asks the leader for the state of a job. Returns `None` without a usable answer, and
/// `Some(None)` if there is no such job.
pub(super) async fn state<P: Platform>(
    node: &Node<P>,
    id: &str,
) -> Option<Option<State>> {
    let leader = leader(node)?;
    let path = format!("{JOBS_PATH}/{id}");
    let peers = node.platform.peers();
    let response = peers.call(leader, Method::GET, &path, Vec::new(), STATE_TIMEOUT);
    let reply: StateReply = decode(&response.await.ok()?).ok()?;
    Some(reply.state)
}

/// Returns the address of the leader, unless this process is the leader or none is known.
fn leader<P>(node: &Node<P>) -> Option<SocketAddr> {
    let view = node.view.borrow();
    let address = view.leader.as_ref()?.value.address?;
    (address != node.settings.internal).then_some(address)
}

/// Answers a forwarded request. Returns `None` for any other path or method.
pub(super) async fn answer<P: Platform>(
    node: &Node<P>,
    request: Request<Incoming>,
) -> Option<Answer> {
    let rest = request.uri().path().strip_prefix(JOBS_PATH)?.to_owned();
    match (request.method(), rest.strip_prefix('/')) {
        (&Method::POST, None) => Some(accept_submission(node, request).await),
        (&Method::GET, Some(id)) => Some(answer_state(node, id).await),
        _ => None,
    }
}

async fn accept_submission<P: Platform>(
    node: &Node<P>,
    request: Request<Incoming>,
) -> Answer {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await;
    let body = body.map_or_else(|_| Bytes::new(), http_body_util::Collected::to_bytes);
    let submission: Submission = match decode(&body) {
        Ok(submission) => submission,
        Err(reason) => {
            return Answer::new(StatusCode::BAD_REQUEST, "message can't be decoded")
                .with_body(reason.into_bytes());
        }
    };
    let id = submission.id.clone();
    let outcome = store_submission(node, submission).await;
    let fields = o!("job" => id, "reason" => "forwarded", "outcome" => outcome.as_str());
    event::log(&node.log, Event::RequestAnswered, fields);
    json(&outcome)
}

async fn store_submission<P: Platform>(
    node: &Node<P>,
    submission: Submission,
) -> SubmitOutcome {
    let Some(configuration) = node.configuration() else {
        return SubmitOutcome::TurnedAway;
    };
    let Some(queue) = configuration.queue(&submission.queue) else {
        return SubmitOutcome::TurnedAway;
    };
    let key = submission.key.as_deref();
    let holder = key.and_then(|key| configuration.workspace_by_key(key));
    if holder.is_none() && !queue.public {
        return SubmitOutcome::TurnedAway;
    }
    let workspace = holder.map(|holder| holder.name.clone());
    let deadline = clock::now() + Duration::from_millis(submission.patience_ms);
    submit::store_job(
        node,
        &submission.id,
        queue,
        workspace,
        submission.spec,
        deadline,
    )
    .await
}

async fn answer_state<P: Platform>(node: &Node<P>, id: &str) -> Answer {
    let known = node.view.borrow().state(id);
    let state = match known {
        Some(state) => Some(state),
        None => match stored::read_job_state(node, id).await {
            Ok(state) => state,
            Err(failure) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Answer::new(status, "the store didn't answer")
                    .with_body(failure.to_string().into_bytes());
            }
        },
    };
    json(&StateReply { state })
}

pub(super) fn json<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => Answer::new(StatusCode::OK, "forwarded").with_body(body),
        Err(error) => Answer::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "response can't be encoded",
        )
        .with_body(error.to_string().into_bytes()),
    }
}
