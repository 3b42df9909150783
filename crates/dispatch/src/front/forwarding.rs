//! Handing on: what the store keeps one process from doing, the leader may be able to do.
//!
//! The store may turn one host away, or be cut off from it, while it serves the others. Such an
//! entry host hands a submission to the leader, whose address is in the leader's record, and
//! asks it for states. The leader checks queue and key by its own configuration.

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
use super::submit::{self, SubmitOutcome};
use crate::node::Node;
use crate::platform::{Failure, Peers, Platform};
use crate::view::decode;
use crate::{clock, event};

/// Path under which a process takes what others hand on.
const JOBS_PATH: &str = "/jobs";

/// Largest message, in bytes: a job's spec with its names, beyond any that callers may send.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Longest time for a question about a state.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// A submission that is handed on.
#[derive(Debug, Deserialize, Serialize)]
struct Submission {
    id: String,
    queue: String,
    /// Key that the caller presented, if the queue needs one.
    key: Option<String>,
    spec: Spec,
    /// How long the caller still waits, in milliseconds.
    patience_ms: u64,
}

/// What a process knows of a job's state.
#[derive(Debug, Deserialize, Serialize)]
struct StateReply {
    /// Nothing if there is no such job.
    state: Option<State>,
}

/// Hands a submission to the leader and tells what became of it.
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
        patience_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
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
        Err(Failure::NotDone(_) | Failure::Compacted) => SubmitOutcome::TurnedAway,
        Err(Failure::Unknown(_)) => SubmitOutcome::Unanswered,
    }
}

/// Asks the leader for a job's state; nothing without an answer.
pub(super) async fn state<P: Platform>(
    node: &Node<P>,
    id: &str,
) -> Option<Option<State>> {
    let leader = leader(node)?;
    let path = format!("{JOBS_PATH}/{id}");
    let peers = node.platform.peers();
    let asked = peers.call(leader, Method::GET, &path, Vec::new(), STATE_TIMEOUT);
    let reply: StateReply = decode(&asked.await.ok()?).ok()?;
    Some(reply.state)
}

/// Returns where another process that leads can be asked.
fn leader<P>(node: &Node<P>) -> Option<SocketAddr> {
    let view = node.view.borrow();
    let address = view.leader.as_ref()?.value.address?;
    (address != node.settings.internal).then_some(address)
}

/// Answers what another process hands on; nothing if the request is no such message.
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
            return Answer::new(StatusCode::BAD_REQUEST, "message not readable")
                .with_body(reason.into_bytes());
        }
    };
    let id = submission.id.clone();
    let outcome = store_submission(node, submission).await;
    let fields = o!("job" => id, "reason" => "handed on", "outcome" => outcome.as_str());
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
    let holder = key.and_then(|key| configuration.holder(key));
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
        None => match submit::read_job_state(node, id).await {
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

fn json<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => Answer::new(StatusCode::OK, "handed on").with_body(body),
        Err(error) => Answer::new(StatusCode::INTERNAL_SERVER_ERROR, "not writable")
            .with_body(error.to_string().into_bytes()),
    }
}
