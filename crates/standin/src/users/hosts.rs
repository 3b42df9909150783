//! The list of hosts, with one host per endpoint, and the requests to move them between
//! pools, which are rejected unless a test allows them.

use http::StatusCode;
use serde_json::{Value, json};

use super::SharedState;
use super::http::{ReceivedRequest, Reply};
use super::state::State;

/// Name of the standby pool, whose hosts are switched off.
pub(crate) const STANDBY: &str = "spare";

pub(crate) async fn handle(shared: SharedState, call: ReceivedRequest) -> Reply {
    let mut state = shared.lock();
    match call.path.as_str() {
        "/machines" => Some((StatusCode::OK, list(&state))),
        "/machine-move" if state.host_moves_allowed => Some(move_host(&mut state, &call)),
        _ => Some(busy()),
    }
}

fn busy() -> (StatusCode, Value) {
    (StatusCode::CONFLICT, json!({"reason": "busy"}))
}

fn list(state: &State) -> Value {
    let hosts: Vec<Value> = state
        .endpoints
        .iter()
        .map(|(id, endpoint)| {
            let is_running =
                endpoint.pool != STANDBY && endpoint.down_until.is_none();
            json!({
                "machine": format!("m-{id}"), "pool": endpoint.pool, "state": "up",
                "zone": endpoint.zone, "labels": ["a", "r1-1"], "id": is_running.then_some(&endpoint.instance),
                "capacity": {"cpu": 32_000, "mem-mb": 131_072, "gpu": 0},
            })
        })
        .collect();
    json!({"machines": hosts, "next-token": null})
}

fn move_host(state: &mut State, call: &ReceivedRequest) -> (StatusCode, Value) {
    let host = call.body["machine"].as_str().unwrap_or("");
    let pool = call.body["pool"].as_str().unwrap_or("");
    let id = host.strip_prefix("m-").unwrap_or(host);
    if !state.endpoints.contains_key(id) {
        return (StatusCode::BAD_REQUEST, Value::Null);
    }
    state.record_order(host, &call.holder);
    state.move_endpoint(id, pool);
    (StatusCode::OK, json!({}))
}
