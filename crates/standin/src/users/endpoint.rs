//! Request handling of endpoints: orders to start, stop and hold runs.

use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::{Value, json};

use super::SharedState;
use super::http::{ReceivedRequest, Reply};
use super::policy;
use super::state::{LiveRun, StartedRun, State};

/// Interval between two checks of a pending hold request for runs that have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Largest number of ends in one report.
const MAX_REPORTED_ENDS: usize = 500;

pub(crate) async fn handle(
    shared: SharedState,
    id: &str,
    call: ReceivedRequest,
) -> Reply {
    shared.lock().advance();
    if shared.lock().is_down(id) {
        return None;
    }
    let instance = shared.lock().endpoints[id].instance.clone();
    if call
        .target_id
        .as_deref()
        .is_some_and(|target_id| target_id != instance)
    {
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

fn reject(clock_ms: u64, reason: &str) -> (StatusCode, Value) {
    let body = json!({"clock-ms": clock_ms, "reason": reason});
    (StatusCode::CONFLICT, body)
}

fn start(state: &mut State, id: &str, call: &ReceivedRequest) -> (StatusCode, Value) {
    let task = call.body["task"].as_str().unwrap_or("").to_owned();
    let (run, fencing_token) = (call.number("run-id"), call.number("fencing-token"));
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return (StatusCode::NOT_FOUND, Value::Null);
    };
    if endpoint.rejects_starts {
        return (StatusCode::SERVICE_UNAVAILABLE, Value::Null);
    }
    let clock_ms = endpoint.clock.now_ms();
    if fencing_token < endpoint.fencing_token {
        return reject(clock_ms, "fence");
    }
    endpoint.fencing_token = fencing_token;
    endpoint.lease_end_ms = endpoint.lease_end_ms.max(call.number("until-ms"));
    if endpoint
        .stopped
        .get(&task)
        .is_some_and(|&highest| run <= highest)
    {
        return reject(clock_ms, "old");
    }
    if call.number("until-ms") < clock_ms {
        return reject(clock_ms, "late");
    }
    let ticket = call.body["ticket"].as_str();
    if state.allowed.is_some() && ticket != Some(&policy::ticket(policy::step(&task), id))
    {
        return reject(clock_ms, "ticket");
    }
    state.check_start(&task, run);
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return (StatusCode::NOT_FOUND, Value::Null);
    };
    endpoint.live.push(LiveRun {
        task: task.clone(),
        run,
        ends_at: Instant::now() + endpoint.run_time,
    });
    state.started_runs.push(StartedRun {
        task: task.clone(),
        run,
        fencing_token,
        endpoint: id.to_owned(),
        fence: fencing_token,
        at: Instant::now(),
    });
    state.check_capacity(id, &task);
    let payload = call.body["spec"].as_str().unwrap_or("");
    state.record_crashing_start(id, &task, payload);
    (StatusCode::OK, json!({"clock-ms": clock_ms}))
}

fn stop(state: &mut State, id: &str, call: &ReceivedRequest) -> (StatusCode, Value) {
    let task = call.body["task"].as_str().unwrap_or("");
    let run = call.number("run-id");
    let Some(endpoint) = state.endpoints.get_mut(id) else {
        return (StatusCode::NOT_FOUND, Value::Null);
    };
    let clock_ms = endpoint.clock.now_ms();
    if call.number("fencing-token") < endpoint.fencing_token {
        return reject(clock_ms, "fence");
    }
    let highest = endpoint.stopped.entry(task.to_owned()).or_default();
    *highest = (*highest).max(run);
    let position = endpoint
        .live
        .iter()
        .position(|live| live.task == task && live.run == run);
    if let Some(position) = position {
        let live = endpoint.live.remove(position);
        endpoint.record_end(&live, "stopped");
    }
    (StatusCode::OK, json!({"clock-ms": clock_ms}))
}

async fn hold(shared: &SharedState, id: &str, call: &ReceivedRequest) -> Reply {
    let born = shared
        .lock()
        .endpoints
        .get(id)
        .map(|endpoint| endpoint.born);
    let deadline = Instant::now() + Duration::from_millis(call.number("wait-ms"));
    loop {
        {
            let mut state = shared.lock();
            state.advance();
            let State {
                endpoints,
                acknowledged,
                ..
            } = &mut *state;
            let Some(endpoint) = endpoints.get_mut(id) else {
                return Some((StatusCode::NOT_FOUND, Value::Null));
            };
            if born != Some(endpoint.born) || endpoint.down_until.is_some() {
                // The endpoint has restarted since the request arrived, which also closes
                // the connections of its previous incarnation.
                return None;
            }
            let clock_ms = endpoint.clock.now_ms();
            let fencing_token = call.number("fencing-token");
            if fencing_token < endpoint.fencing_token {
                return Some(reject(clock_ms, "fence"));
            }
            endpoint.fencing_token = fencing_token;
            endpoint.lease_end_ms = endpoint.lease_end_ms.max(call.number("until-ms"));
            let last_seen = call.number("last-seen");
            let newly_acknowledged = endpoint
                .ended
                .iter()
                .filter(|ended| ended.sequence <= last_seen);
            let done = newly_acknowledged.filter(|ended| ended.outcome == "done");
            acknowledged.extend(done.map(|ended| ended.task.clone()));
            endpoint.ended.retain(|ended| ended.sequence > last_seen);
            if !endpoint.ended.is_empty() || Instant::now() >= deadline {
                let running: Vec<Value> = endpoint
                    .live
                    .iter()
                    .map(|live| json!([live.task, live.run, "", 50]))
                    .collect();
                let finished: Vec<Value> = endpoint
                    .ended
                    .iter()
                    .take(MAX_REPORTED_ENDS)
                    .map(|ended| {
                        json!([ended.sequence, ended.task, ended.run, ended.outcome, ""])
                    })
                    .collect();
                let body = json!({
                    "clock-ms": clock_ms, "born": endpoint.born,
                    "running": running, "finished": finished,
                });
                return Some((StatusCode::OK, body));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
