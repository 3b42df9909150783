//! A simulated user platform: a store, endpoints that run tasks, a list of hosts and a
//! placement policy.
//!
//! All its servers share one state, so that a test can inspect which runs started where.

mod capacity;
mod crash;
mod endpoint;
mod hosts;
mod http;
mod policy;
mod state;
mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::server::Server;
use state::{LostWrite, State};

pub use state::{StartedRun, StoreFault};

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "RHUBARBRILL_NODE_FILE";

/// Time between two looks at which endpoints are due to restart.
const TIMEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two heartbeats of an endpoint.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The servers of a simulated user platform. Dropping it stops them.
#[derive(Debug)]
pub struct UserPlatform {
    shared: SharedState,
    store: Server,
    hosts: Server,
    policy: Server,
    endpoints: Vec<Server>,
}

/// The state that all servers of a platform share.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedState(Arc<Mutex<State>>);

impl SharedState {
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
        let shared = SharedState::default();
        let store = http::start(shared.clone(), store::handle);
        let hosts = http::start(shared.clone(), hosts::handle);
        let policy = http::start(shared.clone(), policy::handle);
        Self {
            shared,
            store,
            hosts,
            policy,
            endpoints: Vec::new(),
        }
    }

    /// Returns the address of the store.
    pub fn store(&self) -> SocketAddr {
        self.store.address()
    }

    /// Returns the address of the list of hosts, which also takes requests to move hosts.
    pub fn hosts(&self) -> SocketAddr {
        self.hosts.address()
    }

    /// Returns the address of the placement policy.
    pub fn policy(&self) -> SocketAddr {
        self.policy.address()
    }

    /// Returns the settings file that the platform writes for an entry host, which reaches the
    /// store at `store` and listens for callers, readiness checks and internal calls.
    pub fn settings_file(
        &self,
        name: &str,
        store: SocketAddr,
        [callers, readiness, internal]: [SocketAddr; 3],
    ) -> String {
        let port = internal.port();
        let (hosts, policy) = (self.hosts(), self.policy());
        format!(
            "node-name={name}\nip=127.0.0.1\nzone=z\nlisten-addrs.front={callers}\n\
             listen-addrs.ready={readiness}\ninternal-ports={port},{port}\n\
             platform.address={store}\ncloud-api.address={hosts}\nadvice={policy}\n\
             bounds.grace-s=6\nbounds.contact-ms=3000\nheartbeat-ms=1500\n",
        )
    }

    /// Makes the placement policy allow only these endpoints, and makes endpoints reject
    /// starts that lack a ticket of the policy.
    pub fn set_allowed_endpoints(&self, endpoints: &[&str]) {
        let allowed = endpoints.iter().map(|&id| id.to_owned()).collect();
        self.shared.lock().allowed = Some(allowed);
    }

    /// Lets hosts be moved between pools, and adds a standby pool, whose hosts are
    /// switched off, to each configuration written from now on.
    pub fn allow_host_moves(&self) {
        self.shared.lock().host_moves_allowed = true;
    }

    /// Returns the number of hosts that have received at least one order to move.
    pub fn moved_hosts(&self) -> usize {
        self.shared.lock().move_orders.len()
    }

    /// Starts an endpoint whose runs take `run_time` each, registers it in the store and
    /// returns its id.
    pub fn add_endpoint(&mut self, pool: &str, run_time: Duration) -> String {
        self.add_endpoint_in("z", pool, run_time)
    }

    /// Like [`add_endpoint`](Self::add_endpoint), with the endpoint in the given zone.
    pub fn add_endpoint_in(
        &mut self,
        zone: &str,
        pool: &str,
        run_time: Duration,
    ) -> String {
        let id = format!("i-{}", self.endpoints.len());
        let own_id = id.clone();
        let server = http::start(self.shared.clone(), move |shared, call| {
            let own_id = own_id.clone();
            async move { endpoint::handle(shared, &own_id, call).await }
        });
        let address = server.address();
        self.endpoints.push(server);
        let mut state = self.shared.lock();
        state.add_endpoint(&id, zone, pool, address, run_time);
        drop(state);
        id
    }

    /// Returns the address that an endpoint listens on, even if another one is
    /// registered.
    pub fn endpoint(&self, id: &str) -> Option<SocketAddr> {
        Some(self.endpoints.get(endpoint_index(id)?)?.address())
    }

    /// Registers an endpoint at another address, such as that of a link.
    pub fn register_at(&self, id: &str, address: SocketAddr) {
        self.shared.lock().register_at(id, address);
    }

    /// Restarts an endpoint under the same id: its connections close, and its runs and
    /// its recorded state are lost.
    pub fn restart(&self, id: &str) {
        let server = endpoint_index(id).and_then(|index| self.endpoints.get(index));
        if let Some(server) = server {
            server.set_refusing(true);
        }
        self.shared.lock().restart(id);
        if let Some(server) = server {
            server.set_refusing(false);
        }
    }

    /// Cuts an endpoint off from the store, or lets it register again.
    pub fn set_cut_off(&self, id: &str, is_cut_off: bool) {
        self.shared.lock().set_cut_off(id, is_cut_off);
    }

    /// Makes an endpoint reject each start with status 503, or accept starts again.
    pub fn set_rejecting(&self, id: &str, rejects_starts: bool) {
        if let Some(endpoint) = self.shared.lock().endpoints.get_mut(id) {
            endpoint.rejects_starts = rejects_starts;
        }
    }

    /// Makes the tasks of jobs with this payload crash each endpoint that starts them. The
    /// endpoint starts again after 1.5 s.
    pub fn set_crashing_payload(&self, payload: &str) {
        self.shared.lock().crashes.payload = Some(payload.to_owned());
        self.start_timekeeping();
    }

    /// Makes endpoints start whatever they are told to from the next configuration on, and
    /// checks that their runs, each of which takes `task_cpu` thousandths of a core, don't
    /// exceed their capacity. The endpoints write a heartbeat each second.
    pub fn accept_overload(&self, task_cpu: u64) {
        self.shared.lock().overload_task_cpu = Some(task_cpu);
        self.start_timekeeping();
    }

    /// Starts the thread that lets endpoints restart and write heartbeats, unless it runs.
    fn start_timekeeping(&self) {
        if std::mem::replace(&mut self.shared.lock().keeps_time, true) {
            return;
        }
        let shared = Arc::downgrade(&self.shared.0);
        std::thread::spawn(move || keep_time(&shared));
    }

    /// Changes the CPU of an endpoint to `cpu` thousandths of a core. Its registration shows it
    /// from the next heartbeat on.
    pub fn resize(&self, id: &str, cpu: u64) {
        self.shared.lock().resize(id, cpu);
    }

    /// Makes the clock of an endpoint run at `permille` thousandths of the real speed.
    pub fn set_clock_speed(&self, id: &str, permille: u64) {
        self.shared.lock().set_clock_speed(id, permille);
    }

    /// Writes a configuration with one route, for the prefix `/q/` of the host name `h`,
    /// to one pool, and one workspace with the given API keys.
    pub fn configure(&self, version: u64, pool: &str, keys: &[&str]) {
        let advice = json!({"decide-ms": 20, "period-ms": 5, "valid-ms": 3_000});
        let has_policy = self.shared.lock().allowed.is_some();
        let rejects = self.shared.lock().overload_task_cpu.is_none();
        let mut services =
            vec![json!({"name": pool, "rejects-overload": rejects, "standby": false})];
        if self.shared.lock().host_moves_allowed {
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

    /// Writes a JSON value to the store, as the operator does.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes bytes to the store, which need not be valid JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.shared.lock().put(key, value, 0);
    }

    /// Removes a key from the store, as the operator does.
    pub fn remove(&self, key: &str) {
        self.shared.lock().remove(key);
    }

    /// Sets the fault that the store injects.
    pub fn set_store_fault(&self, store_fault: StoreFault) {
        self.shared.lock().store_fault = store_fault;
    }

    /// Makes the store lose the next write of a key: it gives no answer, and executes the write
    /// after a while if its conditions still hold, or never.
    pub fn lose_write(&self, key: &str, executed_after: Option<Duration>) {
        self.shared.lock().lost_writes.push(LostWrite {
            key: key.to_owned(),
            executed_after,
        });
    }

    /// Returns how many writes the store is still to lose.
    pub fn writes_to_lose(&self) -> usize {
        self.shared.lock().lost_writes.len()
    }

    /// Returns the keys in the store that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Compacts the history of the store, so that watches of older revisions fail.
    pub fn compact(&self) {
        self.shared.lock().compact();
    }

    /// Closes the connections of an endpoint and refuses new ones, or accepts them again.
    pub fn set_unreachable(&self, endpoint: &str, cut: bool) {
        if let Some(server) =
            endpoint_index(endpoint).and_then(|index| self.endpoints.get(index))
        {
            server.set_refusing(cut);
        }
    }

    /// Returns descriptions of all violated invariants: starts of tasks whose end had
    /// been acknowledged, and orders for one host by two processes too close together.
    pub fn violations(&self) -> Vec<String> {
        self.shared.lock().violations.clone()
    }

    /// Returns every run that an endpoint has started, in order.
    pub fn started_runs(&self) -> Vec<StartedRun> {
        self.shared.lock().started_runs.clone()
    }

    /// Returns the highest number of concurrent runs that any one task has had.
    pub fn max_concurrent_runs(&self) -> usize {
        self.shared.lock().max_concurrent_runs
    }

    /// Returns the name of the leader from its record in the store, if there is one.
    pub fn leader(&self) -> Option<String> {
        let state = self.shared.lock();
        let value = state.value("rhubarbrill/shared/leader")?;
        let record: Value = serde_json::from_slice(&value).ok()?;
        Some(record["name"].as_str()?.to_owned())
    }

    /// Returns the fencing token of the leader, which is the revision of its record; 0 if
    /// there is no record.
    pub fn leader_token(&self) -> u64 {
        let state = self.shared.lock();
        let record = state.items.get("rhubarbrill/shared/leader");
        record.map_or(0, |record| record.revision)
    }

    /// Returns the ID of the lease of the leader's record; 0 if there is no record.
    pub fn leader_lease(&self) -> u64 {
        let state = self.shared.lock();
        let record = state.items.get("rhubarbrill/shared/leader");
        record.map_or(0, |record| record.lease)
    }

    /// Makes the store grant no lease with a shorter TTL than `ttl` from now on.
    pub fn set_min_lease_ttl(&self, ttl: Duration) {
        self.shared.lock().min_lease_ttl = ttl;
    }

    /// Ends a lease, as the store does on request.
    pub fn revoke_lease(&self, lease: u64) {
        self.shared.lock().revoke_lease(lease);
    }

    /// Returns how many writes of the leader's record [`StoreFault::WritesUnavailable`] has
    /// rejected.
    pub fn rejected_elections(&self) -> u64 {
        self.shared.lock().rejected_elections
    }

    /// Returns whether a lease ended on request before it expired.
    pub fn is_revoked(&self, lease: u64) -> bool {
        self.shared.lock().revoked_leases.contains(&lease)
    }

    /// Returns the value of a key in the store.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.shared.lock().value(key)
    }
}

/// Lets endpoints restart and write heartbeats until the platform is dropped. An endpoint that
/// is away receives no request at which it could notice the time.
fn keep_time(shared: &Weak<Mutex<State>>) {
    let mut next_heartbeat = Instant::now();
    while let Some(state) = shared.upgrade() {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.advance();
        let now = Instant::now();
        if state.overload_task_cpu.is_some() && now >= next_heartbeat {
            next_heartbeat = now + HEARTBEAT_INTERVAL;
            state.register_all();
        }
        drop(state);
        std::thread::sleep(TIMEKEEPING_INTERVAL);
    }
}

fn endpoint_index(endpoint: &str) -> Option<usize> {
    endpoint.strip_prefix("i-")?.parse().ok()
}
