//! A stand-in of the users' platform: store, endpoints that take orders, and hosts.
//!
//! All of it shares one state, so that a test can look at what ran where.

mod endpoint;
mod front;
mod hosts;
mod policy;
mod state;
mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

use crate::server::Server;
use state::State;

pub use state::{StartedRun, StoreFault};

/// The users' platform; dropping it stops it.
#[derive(Debug)]
pub struct UserPlatform {
    shared: Shared,
    store: Server,
    hosts: Server,
    policy: Server,
    endpoints: Vec<Server>,
}

/// The state behind every server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shared(Arc<Mutex<State>>);

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UserPlatform {
    /// Starts a platform without endpoints.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn start() -> Self {
        let shared = Shared::default();
        let store = front::start(shared.clone(), store::answer);
        let hosts = front::start(shared.clone(), hosts::answer);
        let policy = front::start(shared.clone(), policy::answer);
        Self {
            shared,
            store,
            hosts,
            policy,
            endpoints: Vec::new(),
        }
    }

    /// Returns the store's address.
    pub fn store(&self) -> SocketAddr {
        self.store.address()
    }

    /// Returns the address of the hosts' platform.
    pub fn hosts(&self) -> SocketAddr {
        self.hosts.address()
    }

    /// Returns the address of the placement policy.
    pub fn policy(&self) -> SocketAddr {
        self.policy.address()
    }

    /// Lets the placement policy allow only some endpoints, and endpoints check it.
    pub fn set_allowed_endpoints(&self, endpoints: &[&str]) {
        let allowed = endpoints.iter().map(|&id| id.to_owned()).collect();
        self.shared.lock().allowed = Some(allowed);
    }

    /// Lets hosts change their pools, and adds a pool whose hosts are switched off to each
    /// configuration.
    pub fn allow_host_moves(&self) {
        self.shared.lock().hosts_move = true;
    }

    /// Returns how many hosts have been given an order.
    pub fn moved_hosts(&self) -> usize {
        self.shared.lock().orders.len()
    }

    /// Starts an endpoint whose runs take `run_time` each, registers it and returns its
    /// identity.
    pub fn add_endpoint(&mut self, pool: &str, run_time: Duration) -> String {
        let id = format!("i-{}", self.endpoints.len());
        let served = id.clone();
        let server = front::start(self.shared.clone(), move |shared, call| {
            let served = served.clone();
            async move { endpoint::answer(shared, &served, call).await }
        });
        let address = server.address();
        self.endpoints.push(server);
        let mut state = self.shared.lock();
        state.add_endpoint(&id, pool, address, run_time);
        drop(state);
        id
    }

    /// Returns where an endpoint answers, whatever its registration says.
    pub fn endpoint(&self, id: &str) -> Option<SocketAddr> {
        Some(self.endpoints.get(place(id)?)?.address())
    }

    /// Registers an endpoint at another address, such as that of a link.
    pub fn register_at(&self, id: &str, address: SocketAddr) {
        self.shared.lock().register_at(id, address);
    }

    /// Ends all that an endpoint runs and knows, and starts it again under its identity.
    pub fn restart(&self, id: &str) {
        let server = place(id).and_then(|at| self.endpoints.get(at));
        if let Some(server) = server {
            server.set_refusing(true);
        }
        self.shared.lock().restart(id);
        if let Some(server) = server {
            server.set_refusing(false);
        }
    }

    /// Lets an endpoint's clock run at `permille` thousandths of the true speed.
    pub fn set_clock_speed(&self, id: &str, permille: u64) {
        self.shared.lock().set_clock_speed(id, permille);
    }

    /// Writes a configuration with one queue, `/q/` at host `h`, on one pool, for key `k`.
    pub fn configure(&self, version: u64, pool: &str, keys: &[&str]) {
        let advice = json!({"decide-ms": 20, "period-ms": 5, "valid-ms": 3_000});
        let has_policy = self.shared.lock().allowed.is_some();
        let mut services =
            vec![json!({"name": pool, "rejects-overload": true, "standby": false})];
        if self.shared.lock().hosts_move {
            let standby = hosts::STANDBY;
            services.push(
                json!({"name": standby, "rejects-overload": true, "standby": true}),
            );
        }
        let value = json!({
            "version": version,
            "routes": [{
                "name": "q", "host": "h", "prefix": "/q/", "service": pool,
                "attempts": 2, "stretch": 1.6, "target-latency-ms": 600, "public": false,
                "advice": if has_policy { advice } else { Value::Null },
            }],
            "services": services,
            "limits": {"max-body-bytes": 4096},
            "tenants": [{"name": "w", "api-keys": keys, "weight": 100,
                "max-count": {"cpu": 0, "mem-mb": 0, "gpu": 0}}],
        });
        self.put("op/config", &value);
    }

    /// Writes a value as the operator does.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes bytes as another writer may.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.shared.lock().put(key, value, 0);
    }

    /// Sets how the store behaves.
    pub fn set_store_fault(&self, store_fault: StoreFault) {
        self.shared.lock().store_fault = store_fault;
    }

    /// Drops the store's history, so that watches must start anew.
    pub fn compact(&self) {
        self.shared.lock().compact();
    }

    /// Refuses connections to an endpoint, or accepts them again.
    pub fn set_unreachable(&self, endpoint: &str, cut: bool) {
        if let Some(server) = place(endpoint).and_then(|at| self.endpoints.get(at)) {
            server.set_refusing(cut);
        }
    }

    /// Returns what endpoints were ordered that must never be.
    pub fn violations(&self) -> Vec<String> {
        self.shared.lock().violations.clone()
    }

    /// Returns every start that an endpoint carried out, in order.
    pub fn started_runs(&self) -> Vec<StartedRun> {
        self.shared.lock().started_runs.clone()
    }

    /// Returns the most runs that one task had at once.
    pub fn max_concurrent_runs(&self) -> usize {
        self.shared.lock().max_concurrent_runs
    }

    /// Returns the name in the leader's record, if there is one.
    pub fn leader(&self) -> Option<String> {
        let state = self.shared.lock();
        let value = state.value("rhubarbrill/shared/leader")?;
        let record: Value = serde_json::from_slice(&value).ok()?;
        Some(record["name"].as_str()?.to_owned())
    }

    /// Returns a value of the store.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.shared.lock().value(key)
    }
}

fn place(endpoint: &str) -> Option<usize> {
    endpoint.strip_prefix("i-")?.parse().ok()
}
