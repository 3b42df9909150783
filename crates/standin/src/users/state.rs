//! The state that the servers of a simulated user platform share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::capacity::Capacity;
use super::crash::Crashes;
use super::hosts::STANDBY;

/// Start time of the first incarnation of each endpoint, in milliseconds since the Unix
/// epoch.
const FIRST_START_MS: u64 = 1_000;

/// Minimum time between orders of two different processes to the same host.
const MIN_HANDOVER_TIME: Duration = Duration::from_secs(3);

/// A fault that the store injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// The store works normally.
    #[default]
    None,
    /// Every request is rejected with status 503.
    Unavailable,
    /// Requests are neither executed nor answered while the fault lasts; those that wait
    /// when it ends are never answered.
    Silent,
    /// Transactions are applied, but receive no response.
    WritesUnanswered,
    /// Transactions are rejected with status 503.
    WritesUnavailable,
    /// Watches receive nothing.
    WatchesSilent,
    /// Watches of the operators' keys receive no response.
    OperatorWatchesSilent,
    /// Of responses to watches that are longer than this many bytes only the first half
    /// arrives, as over a link that is too slow for them.
    LongWatchesCut(usize),
    /// Every request is delayed by this many milliseconds.
    Delayed(u64),
}

/// A write that the store doesn't answer.
#[derive(Clone, Debug)]
pub(crate) struct LostWrite {
    /// Key that the write names.
    pub(crate) key: String,
    /// Time after which it is executed if its conditions hold; `None` if it never is.
    pub(crate) executed_after: Option<Duration>,
}

/// A run that an endpoint has started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedRun {
    /// Name of the task that the run executes.
    pub task: String,
    /// Run number, as given in the order to start.
    pub run: u64,
    /// Fencing token, as given in the order to start.
    pub fencing_token: u64,
    /// Id of the endpoint, as returned by `UserPlatform::add_endpoint`.
    pub endpoint: String,
    /// Fencing token of the leader that ordered the start.
    pub fence: u64,
    /// Time of the start.
    pub at: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) value: Vec<u8>,
    pub(crate) revision: u64,
    pub(crate) created: u64,
    pub(crate) lease: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct LiveRun {
    pub(crate) task: String,
    pub(crate) run: u64,
    pub(crate) ends_at: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct EndedRun {
    pub(crate) sequence: u64,
    pub(crate) task: String,
    pub(crate) run: u64,
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) zone: String,
    pub(crate) pool: String,
    pub(crate) address: SocketAddr,
    pub(crate) clock: Clock,
    /// Start time of the current incarnation, in milliseconds since the Unix epoch.
    pub(crate) born: u64,
    pub(crate) run_time: Duration,
    pub(crate) live: Vec<LiveRun>,
    pub(crate) ended: Vec<EndedRun>,
    pub(crate) sequence: u64,
    pub(crate) fencing_token: u64,
    pub(crate) lease_end_ms: u64,
    pub(crate) stopped: BTreeMap<String, u64>,
    /// Identity under which it is registered. It gets a new one after a crash.
    pub(crate) instance: String,
    pub(crate) capacity: Capacity,
    /// When it is about to crash, and the task that causes it.
    pub(crate) crash: Option<(Instant, String)>,
    /// Until when it is away after a crash.
    pub(crate) down_until: Option<Instant>,
    /// Whether it can't reach the store, so that its registration stays as it is.
    pub(crate) is_cut_off: bool,
    /// Whether it rejects each start, being unhealthy.
    pub(crate) rejects_starts: bool,
}

/// The clock of an endpoint, which may run faster or slower than real time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
    speed_permille: u64,
}

impl Clock {
    /// Returns the milliseconds that have passed on this clock since it started.
    pub(crate) fn now_ms(self) -> u64 {
        let elapsed = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(0);
        elapsed * self.speed_permille / 1_000_000
    }
}

/// The state of the store, the endpoints and the hosts, and what tests observe of them.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) revision: u64,
    pub(crate) items: BTreeMap<String, Item>,
    /// Changes since the last compaction: the revision, the key, and the item unless the
    /// key was removed.
    pub(crate) history: Vec<(u64, String, Option<Item>)>,
    pub(crate) compact_revision: u64,
    pub(crate) leases: BTreeMap<u64, (Duration, Instant)>,
    /// TTL of each lease that asks for a shorter one.
    pub(crate) min_lease_ttl: Duration,
    /// Number of writes of the leader's record that `WritesUnavailable` has rejected.
    pub(crate) rejected_elections: u64,
    /// Leases that ended on request before they expired.
    pub(crate) revoked_leases: BTreeSet<u64>,
    pub(crate) store_fault: StoreFault,
    /// The next writes that are lost.
    pub(crate) lost_writes: Vec<LostWrite>,
    pub(crate) endpoints: BTreeMap<String, Endpoint>,
    pub(crate) started_runs: Vec<StartedRun>,
    /// The endpoints that the placement policy allows, if there is a policy.
    pub(crate) allowed: Option<BTreeSet<String>>,
    pub(crate) max_concurrent_runs: usize,
    /// Whether hosts follow orders to move to another pool.
    pub(crate) host_moves_allowed: bool,
    /// The last order to move each host: the process that gave it, and when.
    pub(crate) move_orders: BTreeMap<String, (String, Instant)>,
    /// Tasks that ended as `done` and whose end the scheduler has acknowledged to the
    /// endpoint.
    pub(crate) acknowledged: BTreeSet<String>,
    pub(crate) violations: Vec<String>,
    pub(crate) crashes: Crashes,
    /// Whether a thread lets endpoints restart and write heartbeats.
    pub(crate) keeps_time: bool,
    /// CPU of each task, in thousandths of a core, if endpoints start whatever they are told to;
    /// `None` if their capacity is left out of account.
    pub(crate) overload_task_cpu: Option<u64>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            compact_revision: 1,
            leases: BTreeMap::new(),
            min_lease_ttl: Duration::ZERO,
            rejected_elections: 0,
            revoked_leases: BTreeSet::new(),
            store_fault: StoreFault::None,
            lost_writes: Vec::new(),
            endpoints: BTreeMap::new(),
            started_runs: Vec::new(),
            allowed: None,
            max_concurrent_runs: 0,
            host_moves_allowed: false,
            move_orders: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            violations: Vec::new(),
            crashes: Crashes::default(),
            keeps_time: false,
            overload_task_cpu: None,
        }
    }
}

impl State {
    /// Writes a value at a new revision.
    pub(crate) fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.revision += 1;
        self.put_at_current_revision(key, value, lease);
    }

    /// Writes a value at the current revision, which all changes of a transaction share.
    pub(crate) fn put_at_current_revision(
        &mut self,
        key: &str,
        value: &[u8],
        lease: u64,
    ) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.to_vec(),
            revision: self.revision,
            created,
            lease,
        };
        self.history
            .push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    /// Removes a key at a new revision.
    pub(crate) fn remove(&mut self, key: &str) {
        if self.items.contains_key(key) {
            self.revision += 1;
            self.remove_at_current_revision(key);
        }
    }

    /// Removes a key at the current revision, which all changes of a transaction share.
    pub(crate) fn remove_at_current_revision(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    pub(crate) fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.items.get(key).map(|item| item.value.clone())
    }

    /// Ends the leases whose TTL has passed, and removes their keys.
    pub(crate) fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, ends_at))| *ends_at < now)
            .map(|(&lease, _)| lease)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Ends a lease on request, and removes its keys.
    pub(crate) fn revoke_lease(&mut self, lease: u64) {
        if self.leases.contains_key(&lease) {
            self.revoked_leases.insert(lease);
        }
        self.end_lease(lease);
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    pub(crate) fn compact(&mut self) {
        self.history.clear();
        self.revision += 1;
        self.compact_revision = self.revision;
    }

    pub(crate) fn add_endpoint(
        &mut self,
        id: &str,
        zone: &str,
        pool: &str,
        address: SocketAddr,
        run_time: Duration,
    ) {
        let endpoint = Endpoint {
            zone: zone.to_owned(),
            pool: pool.to_owned(),
            address,
            clock: Clock {
                started: Instant::now(),
                speed_permille: 1_000,
            },
            born: FIRST_START_MS,
            run_time,
            live: Vec::new(),
            ended: Vec::new(),
            sequence: 0,
            fencing_token: 0,
            lease_end_ms: 0,
            stopped: BTreeMap::new(),
            instance: id.to_owned(),
            capacity: Capacity::full(),
            crash: None,
            down_until: None,
            is_cut_off: false,
            rejects_starts: false,
        };
        self.endpoints.insert(id.to_owned(), endpoint);
        self.register(id);
    }

    /// Writes the registration of an endpoint to the store.
    fn register(&mut self, id: &str) {
        let endpoint = self.endpoints.get(id);
        let Some(endpoint) = endpoint.filter(|endpoint| !endpoint.is_cut_off) else {
            return;
        };
        let entry = json!({
            "service": endpoint.pool, "address": endpoint.address.to_string(),
            "zone": endpoint.zone, "version": "v1", "slots": 8, "state": "ready",
            "cold-remaining-ms": 0, "labels": ["a", "r1-1"],
            "capacity": {"cpu": endpoint.capacity.cpu, "mem-mb": 131_072, "gpu": 0},
            "clock-ms": endpoint.clock.now_ms(), "seq": 1, "born": endpoint.born,
        });
        let key = format!("servers/{}", endpoint.instance);
        self.put(&key, entry.to_string().as_bytes(), 0);
    }

    /// Writes the registrations of all endpoints that are up and not in the standby pool,
    /// unless the store takes no writes.
    pub(crate) fn register_all(&mut self) {
        if self.store_fault != StoreFault::None {
            return;
        }
        let ids: Vec<String> = self.endpoints.keys().cloned().collect();
        for id in ids {
            if !self.is_down(&id) && self.endpoints[&id].pool != STANDBY {
                self.register(&id);
            }
        }
    }

    /// Removes the registration of an endpoint.
    pub(crate) fn remove_registration(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get(id) {
            let key = format!("servers/{}", endpoint.instance);
            self.remove(&key);
        }
    }

    pub(crate) fn register_at(&mut self, id: &str, address: SocketAddr) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.address = address;
        }
        self.register(id);
    }

    pub(crate) fn set_clock_speed(&mut self, id: &str, speed_permille: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.clock.speed_permille = speed_permille;
        }
        self.register(id);
    }

    /// Starts a new incarnation of an endpoint, with none of the state of the previous
    /// one.
    pub(crate) fn restart(&mut self, id: &str) {
        self.advance();
        self.restart_now(id);
    }

    pub(super) fn restart_now(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.born += 1;
            endpoint.clock.started = Instant::now();
            endpoint.live.clear();
            endpoint.ended.clear();
            endpoint.sequence = 0;
            endpoint.fencing_token = 0;
            endpoint.lease_end_ms = 0;
            endpoint.stopped.clear();
            endpoint.crash = None;
            endpoint.down_until = None;
        }
        self.register(id);
    }

    /// Cuts an endpoint off from the store, or lets it register again.
    pub(crate) fn set_cut_off(&mut self, id: &str, is_cut_off: bool) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let was_cut_off = std::mem::replace(&mut endpoint.is_cut_off, is_cut_off);
        if was_cut_off && !is_cut_off && endpoint.pool != STANDBY {
            self.register(id);
        }
    }

    /// Moves the host of an endpoint to another pool and restarts the endpoint there at
    /// once; in the standby pool, the endpoint is not registered.
    pub(crate) fn move_endpoint(&mut self, id: &str, pool: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            pool.clone_into(&mut endpoint.pool);
        }
        self.restart(id);
        if pool == STANDBY {
            self.remove_registration(id);
        }
    }

    /// Records an order for a host, and a violation if another process gave the previous
    /// one less than `MIN_HANDOVER_TIME` ago.
    pub(crate) fn record_order(&mut self, host: &str, holder: &str) {
        let now = Instant::now();
        let order = (holder.to_owned(), now);
        if let Some((previous_holder, at)) =
            self.move_orders.insert(host.to_owned(), order)
            && previous_holder != holder
            && now - at < MIN_HANDOVER_TIME
        {
            let elapsed_ms = (now - at).as_millis();
            let violation = format!(
                "{host}: {holder} gave an order {elapsed_ms} ms after {previous_holder}"
            );
            self.violations.push(violation);
        }
    }

    /// Records a violation if a run starts after the end of its task was acknowledged.
    pub(crate) fn check_start(&mut self, task: &str, run: u64) {
        if self.acknowledged.contains(task) {
            let violation = format!(
                "{task} run {run} started after the end of the task was acknowledged"
            );
            self.violations.push(violation);
        }
    }

    /// Ends the runs that are done or whose lease has expired, and updates the highest
    /// number of concurrent runs of one task.
    pub(crate) fn advance(&mut self) {
        self.advance_crashes();
        let now = Instant::now();
        for endpoint in self.endpoints.values_mut() {
            let lapsed = endpoint.clock.now_ms() > endpoint.lease_end_ms;
            let live = std::mem::take(&mut endpoint.live);
            for live in live {
                if live.ends_at <= now {
                    endpoint.record_end(&live, "done");
                } else if lapsed {
                    endpoint.record_end(&live, "lapsed");
                } else {
                    endpoint.live.push(live);
                }
            }
        }
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            for live in &endpoint.live {
                *counts.entry(&live.task).or_default() += 1;
            }
        }
        let max_runs = counts.values().copied().max().unwrap_or(0);
        self.max_concurrent_runs = self.max_concurrent_runs.max(max_runs);
    }

    /// Returns the JSON representation of an item in responses of the store.
    pub(crate) fn item_json(key: &str, item: &Item) -> Value {
        json!({
            "key": key, "value": STANDARD.encode(&item.value),
            "revision": item.revision, "created": item.created, "lease": item.lease,
        })
    }
}

impl Endpoint {
    pub(crate) fn record_end(&mut self, live: &LiveRun, outcome: &'static str) {
        self.sequence += 1;
        let highest = self.stopped.entry(live.task.clone()).or_default();
        *highest = (*highest).max(live.run);
        self.ended.push(EndedRun {
            sequence: self.sequence,
            task: live.task.clone(),
            run: live.run,
            outcome,
        });
    }
}
