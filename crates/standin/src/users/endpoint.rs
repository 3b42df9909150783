//! Orders to endpoints.

use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::{Value, json};

use super::Shared;
use super::front::{Call, Reply};
use super::policy;
use super::state::{Live, Ran, State};

/// Time between two looks for an end.
const LOOK_INTERVAL: Duration = Duration::from_millis(3);

pub(crate) async fn answer(shared: Shared, id: &str, call: Call) -> Reply {
    if call.target.as_deref().is_some_and(|target| target != id) {
        return Some((StatusCode::MISDIRECTED_REQUEST, Value::Null));
    }
    if call.path == "/hold" {
        return Some(hold(&shared, id, &call).await);
    }
    let mut state = shared.lock();
    state.advance();
    match call.path.as_str() {
        "/run-start" => Some(start(&mut state, id, &call)),
        "/run-stop" => Some(stop(&mut state, id, &call)),
        "/pace" => Some((StatusCode::OK, json!({"clock-ms": state.clock_ms()}))),
        _ => Some((StatusCode::NOT_FOUND, Value::Null)),
    }
}

fn rejected(state: &State, reason: &str) -> (StatusCode, Value) {
    let body = json!({"clock-ms": state.clock_ms(), "reason": reason});
    (StatusCode::CONFLICT, body)
}

fn start(state: &mut State, id: &str, call: &Call) -> (StatusCode, Value) {
    let clock_ms = state.clock_ms();
    let task = call.body["task"].as_str().unwrap_or("").to_owned();
    let (run, fence) = (call.number("run-id"), call.number("fencing-token"));
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return (StatusCode::NOT_FOUND, Value::Null);
    };
    if fence < endpoint.fence {
        return rejected(state, "fence");
    }
    endpoint.fence = fence;
    endpoint.lease_end_ms = endpoint.lease_end_ms.max(call.number("until-ms"));
    if endpoint
        .stopped
        .get(&task)
        .is_some_and(|&highest| run <= highest)
    {
        return rejected(state, "old");
    }
    if call.number("until-ms") < clock_ms {
        return rejected(state, "late");
    }
    let ticket = call.body["ticket"].as_str();
    if state.allowed.is_some() && ticket != Some(&policy::ticket(policy::step(&task), id))
    {
        return rejected(state, "ticket");
    }
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return (StatusCode::NOT_FOUND, Value::Null);
    };
    endpoint.live.push(Live {
        task: task.clone(),
        run,
        until: Instant::now() + endpoint.run_time,
    });
    state.ran.push(Ran {
        task,
        run,
        endpoint: id.to_owned(),
    });
    (StatusCode::OK, json!({"clock-ms": clock_ms}))
}

fn stop(state: &mut State, id: &str, call: &Call) -> (StatusCode, Value) {
    let clock_ms = state.clock_ms();
    let task = call.body["task"].as_str().unwrap_or("");
    let run = call.number("run-id");
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return (StatusCode::NOT_FOUND, Value::Null);
    };
    if call.number("fencing-token") < endpoint.fence {
        return rejected(state, "fence");
    }
    let highest = endpoint.stopped.entry(task.to_owned()).or_default();
    *highest = (*highest).max(run);
    let found = endpoint
        .live
        .iter()
        .position(|live| live.task == task && live.run == run);
    if let Some(found) = found {
        let live = endpoint.live.remove(found);
        endpoint.end(&live, "stopped");
    }
    (StatusCode::OK, json!({"clock-ms": clock_ms}))
}

async fn hold(shared: &Shared, id: &str, call: &Call) -> (StatusCode, Value) {
    let end = Instant::now() + Duration::from_millis(call.number("wait-ms"));
    loop {
        {
            let mut state = shared.lock();
            state.advance();
            let clock_ms = state.clock_ms();
            let Some(endpoint) = state.endpoints.get_mut(id) else {
                return (StatusCode::NOT_FOUND, Value::Null);
            };
            let fence = call.number("fencing-token");
            if fence < endpoint.fence {
                return rejected(&state, "fence");
            }
            endpoint.fence = fence;
            endpoint.lease_end_ms = endpoint.lease_end_ms.max(call.number("until-ms"));
            let seen = call.number("last-seen");
            endpoint.ended.retain(|ended| ended.sequence > seen);
            if !endpoint.ended.is_empty() || Instant::now() >= end {
                let running: Vec<Value> = endpoint
                    .live
                    .iter()
                    .map(|live| json!([live.task, live.run, "", 50]))
                    .collect();
                let finished: Vec<Value> = endpoint
                    .ended
                    .iter()
                    .map(|ended| {
                        json!([ended.sequence, ended.task, ended.run, ended.how, ""])
                    })
                    .collect();
                let body = json!({
                    "clock-ms": clock_ms, "born": 1_000,
                    "running": running, "finished": finished,
                });
                return (StatusCode::OK, body);
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
