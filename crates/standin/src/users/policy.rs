//! The placement policy: it allows each step on the same endpoints, with a ticket for each.

use http::StatusCode;
use serde_json::{Value, json};

use super::Shared;
use super::front::{Call, Reply};

pub(crate) async fn answer(shared: Shared, call: Call) -> Reply {
    if call.path != "/advise" {
        return Some((StatusCode::NOT_FOUND, Value::Null));
    }
    let state = shared.lock();
    let step = call.body["step"].as_str().unwrap_or("");
    let asked = call.body["workers"].as_array();
    let asked = asked.into_iter().flatten().filter_map(Value::as_str);
    let is_allowed = |id: &&str| {
        let allowed = state.allowed.as_ref();
        allowed.is_some_and(|allowed| allowed.contains(*id))
    };
    let allowed: Vec<Value> = asked
        .filter(is_allowed)
        .map(|id| json!([id, ticket(step, id)]))
        .collect();
    let body = json!({"allowed": allowed, "valid-ms": 3_000});
    Some((StatusCode::OK, body))
}

/// Returns the name of a task's step.
pub(crate) fn step(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// Returns the ticket for a step on an endpoint.
pub(crate) fn ticket(step: &str, endpoint: &str) -> String {
    format!("{step}@{endpoint}")
}
