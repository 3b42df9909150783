//! The store's calls.

use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use super::Shared;
use super::front::{Call, Reply};
use super::state::{State, StoreFault};

/// Time between two looks for changes.
const LOOK_INTERVAL: Duration = Duration::from_millis(3);

/// Items in one page of a list.
const PAGE: usize = 50;

pub(crate) async fn answer(shared: Shared, call: Call) -> Reply {
    let store_fault = shared.lock().store_fault;
    if store_fault == StoreFault::Unavailable {
        return Some((StatusCode::SERVICE_UNAVAILABLE, Value::Null));
    }
    if let StoreFault::Delayed(after_ms) = store_fault {
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
    }
    shared.lock().expire();
    if call.path == "/kv-watch" {
        return watch(&shared, &call).await;
    }
    let mut state = shared.lock();
    match (&call.method, call.path.as_str()) {
        (&Method::GET, "/kv-key") => Some(get(&state, &call)),
        (&Method::GET, "/kv-range") => Some(range(&state, &call)),
        (&Method::POST, "/kv-txn") => {
            let answer = transact(&mut state, &call);
            (store_fault != StoreFault::WritesUnanswered).then_some(answer)
        }
        (&Method::POST, "/kv-lease") => Some(grant(&mut state, &call)),
        (&Method::POST, path) if path.starts_with("/kv-keep/") => {
            Some(keep(&mut state, &path["/kv-keep/".len()..]))
        }
        (&Method::DELETE, path) if path.starts_with("/kv-lease-end/") => {
            let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
            state.end_lease(lease);
            Some((StatusCode::OK, json!({})))
        }
        _ => Some((StatusCode::NOT_FOUND, Value::Null)),
    }
}

fn get(state: &State, call: &Call) -> (StatusCode, Value) {
    let key = call.query("key");
    match state.items.get(key) {
        Some(item) => (StatusCode::OK, State::shown(key, item)),
        None => (StatusCode::NOT_FOUND, Value::Null),
    }
}

fn range(state: &State, call: &Call) -> (StatusCode, Value) {
    let (prefix, after) = (call.query("prefix"), call.query("after"));
    let mut items: Vec<Value> = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
        .take(PAGE + 1)
        .map(|(key, item)| State::shown(key, item))
        .collect();
    let has_more = items.len() > PAGE;
    items.truncate(PAGE);
    let body = json!({"items": items, "has-more": has_more, "as-of": state.revision});
    (StatusCode::OK, body)
}

async fn watch(shared: &Shared, call: &Call) -> Reply {
    let prefix = call.query("prefix");
    let after: u64 = call.query("after").parse().unwrap_or(0);
    let wait = Duration::from_millis(call.query("wait-ms").parse().unwrap_or(0));
    let end = Instant::now() + wait;
    loop {
        {
            let mut state = shared.lock();
            state.expire();
            if state.store_fault == StoreFault::Unavailable {
                return Some((StatusCode::SERVICE_UNAVAILABLE, Value::Null));
            }
            if after < state.oldest {
                return Some((StatusCode::GONE, Value::Null));
            }
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => State::shown(key, item),
                    None => json!({"key": key, "revision": revision, "deleted": true}),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= end {
                let body = json!({"events": events, "as-of": state.revision});
                return Some((StatusCode::OK, body));
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

fn transact(state: &mut State, call: &Call) -> (StatusCode, Value) {
    let rows = |name: &str| call.body[name].as_array().cloned().unwrap_or_default();
    let (expected, writes, removals) = (rows("expected"), rows("writes"), rows("remove"));
    let revision = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    let holds = expected.iter().all(|row| {
        let key = row["key"].as_str().unwrap_or("");
        row["revision"].as_u64() == Some(revision(key))
    });
    if !holds {
        let shown = |row: &Value| {
            let key = row["key"].as_str().unwrap_or("");
            match state.items.get(key) {
                Some(item) => State::shown(key, item),
                None => json!({"key": key, "revision": 0}),
            }
        };
        let items: Vec<Value> = expected.iter().map(shown).collect();
        return (StatusCode::PRECONDITION_FAILED, json!({"items": items}));
    }
    for write in &writes {
        let lease = write["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (StatusCode::NOT_FOUND, Value::Null);
        }
    }
    state.revision += 1;
    for write in &writes {
        let value = STANDARD.decode(write["value"].as_str().unwrap_or(""));
        let lease = write["lease"].as_u64().unwrap_or(0);
        state.write(
            write["key"].as_str().unwrap_or(""),
            &value.unwrap_or_default(),
            lease,
        );
    }
    for key in removals.iter().filter_map(Value::as_str) {
        state.erase(key);
    }
    (StatusCode::OK, json!({"revision": state.revision}))
}

fn grant(state: &mut State, call: &Call) -> (StatusCode, Value) {
    let term = Duration::from_millis(call.number("ttl-ms"));
    state.revision += 1;
    let lease = state.revision;
    state.leases.insert(lease, (term, Instant::now() + term));
    (
        StatusCode::OK,
        json!({"lease": lease, "ttl-ms": call.number("ttl-ms")}),
    )
}

fn keep(state: &mut State, lease: &str) -> (StatusCode, Value) {
    let lease: u64 = lease.parse().unwrap_or(0);
    match state.leases.get_mut(&lease) {
        Some((term, until)) => {
            *until = Instant::now() + *term;
            let ttl = u64::try_from(term.as_millis()).unwrap_or(0);
            (StatusCode::OK, json!({"ttl-ms": ttl}))
        }
        None => (StatusCode::NOT_FOUND, Value::Null),
    }
}
