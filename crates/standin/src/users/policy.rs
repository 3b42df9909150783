//! The placement policy, which allows every step on the same endpoints and issues a
//! ticket for each combination of a step and an endpoint.

use http::StatusCode;
use serde_json::{Value, json};

use super::SharedState;
use super::http::{ReceivedRequest, Reply};

pub(crate) async fn handle(shared: SharedState, call: ReceivedRequest) -> Reply {
    if call.path != "/advise" {
        return Some((StatusCode::NOT_FOUND, Value::Null));
    }
    let state = shared.lock();
    let step = call.body["step"].as_str().unwrap_or("");
    let requested = call.body["workers"].as_array();
    let requested = requested.into_iter().flatten().filter_map(Value::as_str);
    let is_allowed = |id: &&str| {
        let allowed = state.allowed.as_ref();
        allowed.is_some_and(|allowed| allowed.contains(*id))
    };
    let allowed: Vec<Value> = requested
        .filter(is_allowed)
        .map(|id| json!([id, ticket(step, id)]))
        .collect();
    let body = json!({"allowed": allowed, "valid-ms": 3_000});
    Some((StatusCode::OK, body))
}

/// Returns the name of the step that a task belongs to.
pub(crate) fn step(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// Returns the ticket that allows a step to run on an endpoint.
pub(crate) fn ticket(step: &str, endpoint: &str) -> String {
    format!("{step}@{endpoint}")
}
