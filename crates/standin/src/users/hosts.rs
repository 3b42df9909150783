//! The hosts' platform: one host for each endpoint, none of which moves.

use http::StatusCode;
use serde_json::{Value, json};

use super::Shared;
use super::front::{Call, Reply};

pub(crate) async fn answer(shared: Shared, call: Call) -> Reply {
    if call.path != "/machines" {
        return Some((StatusCode::CONFLICT, json!({"reason": "busy"})));
    }
    let state = shared.lock();
    let machines: Vec<Value> = state
        .endpoints
        .iter()
        .map(|(id, endpoint)| {
            json!({
                "machine": format!("m-{id}"), "pool": endpoint.pool, "state": "up",
                "zone": "z", "labels": ["a", "r1-1"], "id": id,
                "capacity": {"cpu": 32_000, "mem-mb": 131_072, "gpu": 0},
            })
        })
        .collect();
    let body = json!({"machines": machines, "next-token": null});
    Some((StatusCode::OK, body))
}
