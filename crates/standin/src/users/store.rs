//! Request handling of the store.

use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use super::SharedState;
use super::http::{ReceivedRequest, Reply};
use super::state::{LostWrite, State, StoreFault};

/// Interval between two checks of a pending watch for new changes.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Key of the leader's record.
const LEADER: &str = "rhubarbrill/shared/leader";

/// Maximum number of items in one page of a range.
const PAGE_SIZE: usize = 50;

pub(crate) async fn handle(shared: SharedState, call: ReceivedRequest) -> Reply {
    let store_fault = shared.lock().store_fault;
    if store_fault == StoreFault::Unavailable {
        return Some((StatusCode::SERVICE_UNAVAILABLE, Value::Null));
    }
    if store_fault == StoreFault::Silent {
        return std::future::pending().await;
    }
    if let StoreFault::Delayed(delay_ms) = store_fault {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    shared.lock().expire_leases();
    if call.path == "/kv-watch" {
        return watch(&shared, &call).await;
    }
    let lost = take_lost_write(&mut shared.lock(), &call);
    if let Some(lost) = lost {
        if let Some(delay) = lost.executed_after {
            execute_later(shared, call, delay);
        }
        return std::future::pending().await;
    }
    let mut state = shared.lock();
    match (&call.method, call.path.as_str()) {
        (&Method::GET, "/kv-key") => Some(get(&state, &call)),
        (&Method::GET, "/kv-range") => Some(range(&state, &call)),
        (&Method::POST, "/kv-txn") if store_fault == StoreFault::WritesUnavailable => {
            let writes = call.body["writes"].as_array();
            let is_election = writes
                .is_some_and(|writes| writes.iter().any(|write| write["key"] == LEADER));
            state.rejected_elections += u64::from(is_election);
            Some((StatusCode::SERVICE_UNAVAILABLE, Value::Null))
        }
        (&Method::POST, "/kv-txn") => {
            let response = execute_transaction(&mut state, &call);
            (store_fault != StoreFault::WritesUnanswered).then_some(response)
        }
        (&Method::POST, "/kv-lease") => Some(grant_lease(&mut state, &call)),
        (&Method::POST, path) if path.starts_with("/kv-keep/") => {
            Some(renew_lease(&mut state, &path["/kv-keep/".len()..]))
        }
        (&Method::DELETE, path) if path.starts_with("/kv-lease-end/") => {
            let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
            state.revoke_lease(lease);
            Some((StatusCode::OK, json!({})))
        }
        _ => Some((StatusCode::NOT_FOUND, Value::Null)),
    }
}

/// Returns the loss that a transaction meets, if any.
fn take_lost_write(state: &mut State, call: &ReceivedRequest) -> Option<LostWrite> {
    let writes = call.body["writes"].as_array()?;
    let is_written = |key: &str| writes.iter().any(|write| write["key"] == key);
    let found = state
        .lost_writes
        .iter()
        .position(|lost| is_written(&lost.key))?;
    Some(state.lost_writes.remove(found))
}

/// Executes a transaction after a while, also if its connection is closed by then.
fn execute_later(shared: SharedState, call: ReceivedRequest, delay: Duration) {
    tokio::task::spawn_local(async move {
        tokio::time::sleep(delay).await;
        execute_transaction(&mut shared.lock(), &call);
    });
}

fn get(state: &State, call: &ReceivedRequest) -> (StatusCode, Value) {
    let key = call.query("key");
    match state.items.get(&key) {
        Some(item) => (StatusCode::OK, State::item_json(&key, item)),
        None => (StatusCode::NOT_FOUND, Value::Null),
    }
}

fn range(state: &State, call: &ReceivedRequest) -> (StatusCode, Value) {
    let (prefix, after) = (call.query("prefix"), call.query("after"));
    let mut items: Vec<Value> = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && *key > &after)
        .take(PAGE_SIZE + 1)
        .map(|(key, item)| State::item_json(key, item))
        .collect();
    let has_more = items.len() > PAGE_SIZE;
    items.truncate(PAGE_SIZE);
    let body = json!({"items": items, "has-more": has_more, "as-of": state.revision});
    (StatusCode::OK, body)
}

async fn watch(shared: &SharedState, call: &ReceivedRequest) -> Reply {
    let prefix = call.query("prefix");
    let after: u64 = call.query("after").parse().unwrap_or(0);
    let wait = Duration::from_millis(call.query("wait-ms").parse().unwrap_or(0));
    let deadline = Instant::now() + wait;
    loop {
        let store_fault = shared.lock().store_fault;
        if store_fault == StoreFault::Silent {
            return std::future::pending().await;
        }
        {
            let mut state = shared.lock();
            state.expire_leases();
            if state.store_fault == StoreFault::Unavailable {
                return Some((StatusCode::SERVICE_UNAVAILABLE, Value::Null));
            }
            if state.store_fault == StoreFault::OperatorWatchesSilent && prefix == "op/" {
                return None;
            }
            let is_silent = state.store_fault == StoreFault::WatchesSilent;
            if !is_silent && after < state.compact_revision {
                return Some((StatusCode::GONE, Value::Null));
            }
            // The history is in the order of revisions.
            let first = state
                .history
                .partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<Value> = state.history[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => State::item_json(key, item),
                    None => json!({"key": key, "revision": revision, "deleted": true}),
                })
                .collect();
            if !is_silent && (!events.is_empty() || Instant::now() >= deadline) {
                let body = json!({"events": events, "as-of": state.revision});
                return Some((StatusCode::OK, body));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn execute_transaction(state: &mut State, call: &ReceivedRequest) -> (StatusCode, Value) {
    let entries = |name: &str| call.body[name].as_array().cloned().unwrap_or_default();
    let (expected, writes, removed_keys) =
        (entries("expected"), entries("writes"), entries("remove"));
    let revision = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    let expectations_hold = expected.iter().all(|row| {
        let key = row["key"].as_str().unwrap_or("");
        row["revision"].as_u64() == Some(revision(key))
    });
    if !expectations_hold {
        let current = |row: &Value| {
            let key = row["key"].as_str().unwrap_or("");
            match state.items.get(key) {
                Some(item) => State::item_json(key, item),
                None => json!({"key": key, "revision": 0}),
            }
        };
        let items: Vec<Value> = expected.iter().map(current).collect();
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
        state.put_at_current_revision(
            write["key"].as_str().unwrap_or(""),
            &value.unwrap_or_default(),
            lease,
        );
    }
    for key in removed_keys.iter().filter_map(Value::as_str) {
        state.remove_at_current_revision(key);
    }
    (StatusCode::OK, json!({"revision": state.revision}))
}

fn grant_lease(state: &mut State, call: &ReceivedRequest) -> (StatusCode, Value) {
    let ttl = Duration::from_millis(call.number("ttl-ms")).max(state.min_lease_ttl);
    state.revision += 1;
    let lease = state.revision;
    state.leases.insert(lease, (ttl, Instant::now() + ttl));
    (
        StatusCode::OK,
        json!({"lease": lease, "ttl-ms": u64::try_from(ttl.as_millis()).unwrap_or(0)}),
    )
}

fn renew_lease(state: &mut State, lease: &str) -> (StatusCode, Value) {
    let lease: u64 = lease.parse().unwrap_or(0);
    match state.leases.get_mut(&lease) {
        Some((ttl, expires_at)) => {
            *expires_at = Instant::now() + *ttl;
            let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(0);
            (StatusCode::OK, json!({"ttl-ms": ttl_ms}))
        }
        None => (StatusCode::NOT_FOUND, Value::Null),
    }
}
