//! Answers a leader that can't reach the store: tells it whether this entry host can, and
//! ends its lease on request.

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rhubarbrill_core::job::Feature;
use serde::{Deserialize, Serialize};

use super::Answer;
use super::forwarding::json;
use crate::key;
use crate::node::Node;
use crate::platform::{Platform, Store};
use crate::view::decode;

/// Path of the question whether this entry host reaches the store.
pub(crate) const REACHABLE_PATH: &str = "/store-reachable";

/// Path of the request to end a leader's lease.
pub(crate) const END_TERM_PATH: &str = "/end-term";

/// Largest request body, in bytes.
const MAX_MESSAGE_BYTES: usize = 1_024;

/// Whether an entry host reaches the store.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Reachable {
    pub(crate) reachable: bool,
}

/// A request to end the lease of a leader that no longer acts.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct EndTerm {
    /// ID of the leader's lease.
    pub(crate) lease: u64,
    /// Store revision of the leader's record.
    pub(crate) fence: u64,
}

/// Whether a lease was ended.
#[derive(Debug, Serialize)]
struct Ended {
    ended: bool,
}

/// Answers a request of a leader. Returns the request as an error for any other path or
/// method, and while the hand-over is switched off.
pub(super) async fn answer<P: Platform>(
    node: &Node<P>,
    method: &Method,
    path: &str,
    request: Request<Incoming>,
) -> Result<Answer, Request<Incoming>> {
    if !node.settings.features.contains(Feature::HandOver) {
        return Err(request);
    }
    match (method, path) {
        (&Method::POST, REACHABLE_PATH) => Ok(answer_reachable(node).await),
        (&Method::POST, END_TERM_PATH) => Ok(accept_end_term(node, request).await),
        _ => Err(request),
    }
}

async fn answer_reachable<P: Platform>(node: &Node<P>) -> Answer {
    let reachable = node.read(key::LEADER).await.is_ok();
    json(&Reachable { reachable })
}

async fn accept_end_term<P: Platform>(
    node: &Node<P>,
    request: Request<Incoming>,
) -> Answer {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await;
    let body = body.map_or_else(|_| Bytes::new(), http_body_util::Collected::to_bytes);
    match decode::<EndTerm>(&body) {
        Ok(message) => json(&Ended {
            ended: end_term(node, &message).await,
        }),
        Err(reason) => Answer::new(StatusCode::BAD_REQUEST, "message can't be decoded")
            .with_body(reason.into_bytes()),
    }
}

/// Ends the lease if the leader's record is still the one that the message names. A record
/// that is replaced in between has another lease, which is left alone.
async fn end_term<P: Platform>(node: &Node<P>, message: &EndTerm) -> bool {
    let record = node.read(key::LEADER).await.ok().flatten();
    if record.is_none_or(|record| record.revision != message.fence) {
        return false;
    }
    node.platform.store().revoke(message.lease).await.is_ok()
}
