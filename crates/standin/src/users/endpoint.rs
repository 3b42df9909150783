//! Orders to endpoints.

use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::{Value, json};

use super::Shared;
use super::front::{Call, Reply};
use super::policy;
use super::state::{Live, StartedRun, State};

/// Time between two looks for an end.
const LOOK_INTERVAL: Duration = Duration::from_millis(3);

pub(crate) async fn answer(shared: Shared, id: &str, call: Call) -> Reply {
    if call.target.as_deref().is_some_and(|target| target != id) {
        return Some((StatusCode::MISDIRECTED_REQUEST, Value::Null));
    }
    if call.path == "/hold" {
        return hold(&shared, id, &call).await;
    }
    let mut state = shared.lock();
    state.advance();
    match call.path.as_str() {
        "/run-start" => Some(start(&mut state, id, &call)),
        "/run-stop" => Some(stop(&mut state, id, &call)),
        "/pace" => {
            let clock_ms = state.endpoints[id].clock.now_ms();
            Some((StatusCode::OK, json!({"clock-ms": clock_ms})))
        }
        _ => Some((StatusCode::NOT_FOUND, Value::Null)),
    }
}

fn rejected(clock_ms: u64, reason: &str) -> (StatusCode, Value) {
    let body = json!({"clock-ms": clock_ms, "reason": reason});
    (StatusCode::CONFLICT, body)
}

fn start(state: &mut State, id: &str, call: &Call) -> (StatusCode, Value) {
    let task = call.body["task"].as_str().unwrap_or("").to_owned();
    let (run, fence) = (call.number("run-id"), call.number("fencing-token"));
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return (StatusCode::NOT_FOUND, Value::Null);
    };
    let clock_ms = endpoint.clock.now_ms();
    if fence < endpoint.fence {
        return rejected(clock_ms, "fence");
    }
    endpoint.fence = fence;
    endpoint.lease_end_ms = endpoint.lease_end_ms.max(call.number("until-ms"));
    if endpoint
        .stopped
        .get(&task)
        .is_some_and(|&highest| run <= highest)
    {
        return rejected(clock_ms, "old");
    }
    if call.number("until-ms") < clock_ms {
        return rejected(clock_ms, "late");
    }
    let ticket = call.body["ticket"].as_str();
    if state.allowed.is_some() && ticket != Some(&policy::ticket(policy::step(&task), id))
    {
        return rejected(clock_ms, "ticket");
    }
    state.check_start(&task, run);
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return (StatusCode::NOT_FOUND, Value::Null);
    };
    endpoint.live.push(Live {
        task: task.clone(),
        run,
        until: Instant::now() + endpoint.run_time,
    });
    state.started_runs.push(StartedRun {
        task,
        run,
        endpoint: id.to_owned(),
        at: Instant::now(),
    });
    (StatusCode::OK, json!({"clock-ms": clock_ms}))
}

fn stop(state: &mut State, id: &str, call: &Call) -> (StatusCode, Value) {
    let task = call.body["task"].as_str().unwrap_or("");
    let run = call.number("run-id");
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return (StatusCode::NOT_FOUND, Value::Null);
    };
    let clock_ms = endpoint.clock.now_ms();
    if call.number("fencing-token") < endpoint.fence {
        return rejected(clock_ms, "fence");
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

async fn hold(shared: &Shared, id: &str, call: &Call) -> Reply {
    let born = shared
        .lock()
        .endpoints
        .get(id)
        .map(|endpoint| endpoint.born);
    let end = Instant::now() + Duration::from_millis(call.number("wait-ms"));
    loop {
        {
            let mut state = shared.lock();
            state.advance();
            let State {
                endpoints, noted, ..
            } = &mut *state;
            let Some(endpoint) = endpoints.get_mut(id) else {
                return Some((StatusCode::NOT_FOUND, Value::Null));
            };
            if born != Some(endpoint.born) {
                // The life that was asked is over, and its connections with it.
                return None;
            }
            let clock_ms = endpoint.clock.now_ms();
            let fence = call.number("fencing-token");
            if fence < endpoint.fence {
                return Some(rejected(clock_ms, "fence"));
            }
            endpoint.fence = fence;
            endpoint.lease_end_ms = endpoint.lease_end_ms.max(call.number("until-ms"));
            let seen = call.number("last-seen");
            let forgotten = endpoint.ended.iter().filter(|end| end.sequence <= seen);
            let done = forgotten.filter(|end| end.how == "done");
            noted.extend(done.map(|end| end.task.clone()));
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
                    "clock-ms": clock_ms, "born": endpoint.born,
                    "running": running, "finished": finished,
                });
                return Some((StatusCode::OK, body));
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
