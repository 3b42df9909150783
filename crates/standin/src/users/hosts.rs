//! The hosts' platform: one host for each endpoint. Hosts move if a test lets them.

use http::StatusCode;
use serde_json::{Value, json};

use super::Shared;
use super::front::{Call, Reply};
use super::state::State;

/// Name of the pool whose hosts are switched off.
pub(crate) const STANDBY: &str = "spare";

pub(crate) async fn answer(shared: Shared, call: Call) -> Reply {
    let mut state = shared.lock();
    match call.path.as_str() {
        "/machines" => Some((StatusCode::OK, list(&state))),
        "/machine-move" if state.hosts_move => Some(move_host(&mut state, &call)),
        _ => Some(busy()),
    }
}

fn busy() -> (StatusCode, Value) {
    (StatusCode::CONFLICT, json!({"reason": "busy"}))
}

fn list(state: &State) -> Value {
    let machines: Vec<Value> = state
        .endpoints
        .iter()
        .map(|(id, endpoint)| {
            let runs = endpoint.pool != STANDBY;
            json!({
                "machine": format!("m-{id}"), "pool": endpoint.pool, "state": "up",
                "zone": "z", "labels": ["a", "r1-1"], "id": runs.then_some(id),
                "capacity": {"cpu": 32_000, "mem-mb": 131_072, "gpu": 0},
            })
        })
        .collect();
    json!({"machines": machines, "next-token": null})
}

fn move_host(state: &mut State, call: &Call) -> (StatusCode, Value) {
    let machine = call.body["machine"].as_str().unwrap_or("");
    let pool = call.body["pool"].as_str().unwrap_or("");
    let id = machine.strip_prefix("m-").unwrap_or(machine);
    if !state.endpoints.contains_key(id) {
        return (StatusCode::BAD_REQUEST, Value::Null);
    }
    state.note_order(machine, &call.holder);
    state.move_endpoint(id, pool);
    (StatusCode::OK, json!({}))
}
