//! What the platform holds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::hosts::STANDBY;

/// When the first life of each endpoint began, in milliseconds since the Unix epoch.
const FIRST_BIRTH_MS: u64 = 1_000;

/// Time in which two processes may not both give orders to a host.
const HOLDER_PAUSE: Duration = Duration::from_secs(3);

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// As it should.
    #[default]
    None,
    /// Every call is turned away.
    Unavailable,
    /// Writes are done and not answered.
    WritesUnanswered,
    /// Every answer takes this long, in milliseconds.
    Delayed(u64),
}

/// A start that an endpoint carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedRun {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Identity of the endpoint.
    pub endpoint: String,
    /// When.
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
pub(crate) struct Live {
    pub(crate) task: String,
    pub(crate) run: u64,
    pub(crate) until: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct End {
    pub(crate) sequence: u64,
    pub(crate) task: String,
    pub(crate) run: u64,
    pub(crate) how: &'static str,
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) pool: String,
    pub(crate) address: SocketAddr,
    pub(crate) clock: Clock,
    /// When its life began, in milliseconds since the Unix epoch.
    pub(crate) born: u64,
    pub(crate) run_time: Duration,
    pub(crate) live: Vec<Live>,
    pub(crate) ended: Vec<End>,
    pub(crate) sequence: u64,
    pub(crate) fence: u64,
    pub(crate) lease_end_ms: u64,
    pub(crate) stopped: BTreeMap<String, u64>,
}

/// The clock of an endpoint, which may run fast or slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    began: Instant,
    permille: u64,
}

impl Clock {
    /// Returns its reading in milliseconds.
    pub(crate) fn now_ms(self) -> u64 {
        let elapsed = u64::try_from(self.began.elapsed().as_micros()).unwrap_or(0);
        elapsed * self.permille / 1_000_000
    }
}

/// Everything that the platform holds.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) revision: u64,
    pub(crate) items: BTreeMap<String, Item>,
    /// Changes since the history was dropped: revision and key.
    pub(crate) history: Vec<(u64, String, Option<Item>)>,
    pub(crate) oldest: u64,
    pub(crate) leases: BTreeMap<u64, (Duration, Instant)>,
    pub(crate) store_fault: StoreFault,
    pub(crate) endpoints: BTreeMap<String, Endpoint>,
    pub(crate) started_runs: Vec<StartedRun>,
    /// The endpoints that the placement policy allows, if there is a policy.
    pub(crate) allowed: Option<BTreeSet<String>>,
    pub(crate) max_concurrent_runs: usize,
    /// Whether hosts change their pools when they are told to.
    pub(crate) hosts_move: bool,
    /// The last order for each host: who gave it, and when.
    pub(crate) orders: BTreeMap<String, (String, Instant)>,
    /// Tasks whose end `done` an endpoint was told to forget.
    pub(crate) noted: BTreeSet<String>,
    pub(crate) violations: Vec<String>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            oldest: 1,
            leases: BTreeMap::new(),
            store_fault: StoreFault::None,
            endpoints: BTreeMap::new(),
            started_runs: Vec::new(),
            allowed: None,
            max_concurrent_runs: 0,
            hosts_move: false,
            orders: BTreeMap::new(),
            noted: BTreeSet::new(),
            violations: Vec::new(),
        }
    }
}

impl State {
    /// Writes a value at a revision of its own.
    pub(crate) fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.revision += 1;
        self.write(key, value, lease);
    }

    /// Writes a value at the present revision, which a transaction shares.
    pub(crate) fn write(&mut self, key: &str, value: &[u8], lease: u64) {
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

    /// Removes a key at a revision of its own.
    pub(crate) fn remove(&mut self, key: &str) {
        if self.items.contains_key(key) {
            self.revision += 1;
            self.erase(key);
        }
    }

    /// Removes a key at the present revision, which a transaction shares.
    pub(crate) fn erase(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    pub(crate) fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.items.get(key).map(|item| item.value.clone())
    }

    /// Ends the leases that ran out, with their keys.
    pub(crate) fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until < now)
            .map(|(&lease, _)| lease)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    pub(crate) fn end_lease(&mut self, lease: u64) {
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
        self.oldest = self.revision;
    }

    pub(crate) fn add_endpoint(
        &mut self,
        id: &str,
        pool: &str,
        address: SocketAddr,
        run_time: Duration,
    ) {
        let endpoint = Endpoint {
            pool: pool.to_owned(),
            address,
            clock: Clock {
                began: Instant::now(),
                permille: 1_000,
            },
            born: FIRST_BIRTH_MS,
            run_time,
            live: Vec::new(),
            ended: Vec::new(),
            sequence: 0,
            fence: 0,
            lease_end_ms: 0,
            stopped: BTreeMap::new(),
        };
        self.endpoints.insert(id.to_owned(), endpoint);
        self.register(id);
    }

    /// Writes an endpoint's registration.
    fn register(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let entry = json!({
            "service": endpoint.pool, "address": endpoint.address.to_string(),
            "zone": "z", "version": "v1", "slots": 8, "state": "ready",
            "cold-remaining-ms": 0, "labels": ["a", "r1-1"],
            "capacity": {"cpu": 32_000, "mem-mb": 131_072, "gpu": 0},
            "clock-ms": endpoint.clock.now_ms(), "seq": 1, "born": endpoint.born,
        });
        self.put(&format!("servers/{id}"), entry.to_string().as_bytes(), 0);
    }

    pub(crate) fn register_at(&mut self, id: &str, address: SocketAddr) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.address = address;
        }
        self.register(id);
    }

    pub(crate) fn set_clock_speed(&mut self, id: &str, permille: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.clock.permille = permille;
        }
        self.register(id);
    }

    /// Begins another life of an endpoint, which knows nothing of the one before.
    pub(crate) fn restart(&mut self, id: &str) {
        self.advance();
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.born += 1;
            endpoint.clock.began = Instant::now();
            endpoint.live.clear();
            endpoint.ended.clear();
            endpoint.sequence = 0;
            endpoint.fence = 0;
            endpoint.lease_end_ms = 0;
            endpoint.stopped.clear();
        }
        self.register(id);
    }

    /// Moves an endpoint's host to another pool, where its next life begins at once.
    pub(crate) fn move_endpoint(&mut self, id: &str, pool: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            pool.clone_into(&mut endpoint.pool);
        }
        self.restart(id);
        if pool == STANDBY {
            self.remove(&format!("servers/{id}"));
        }
    }

    /// Notes an order for a host, and two that follow each other too soon.
    pub(crate) fn note_order(&mut self, host: &str, holder: &str) {
        let now = Instant::now();
        let order = (holder.to_owned(), now);
        if let Some((before, at)) = self.orders.insert(host.to_owned(), order)
            && before != holder
            && now - at < HOLDER_PAUSE
        {
            let after = (now - at).as_millis();
            let what =
                format!("{host}: an order of {holder} {after} ms after {before}'s");
            self.violations.push(what);
        }
    }

    /// Notes a start that must never be.
    pub(crate) fn check_start(&mut self, task: &str, run: u64) {
        if self.noted.contains(task) {
            let what = format!("{task} run {run} started after its end was noted");
            self.violations.push(what);
        }
    }

    /// Ends what is done or whose lease is over, and notes what runs at once.
    pub(crate) fn advance(&mut self) {
        let now = Instant::now();
        for endpoint in self.endpoints.values_mut() {
            let lapsed = endpoint.clock.now_ms() > endpoint.lease_end_ms;
            let live = std::mem::take(&mut endpoint.live);
            for live in live {
                if live.until <= now {
                    endpoint.end(&live, "done");
                } else if lapsed {
                    endpoint.end(&live, "lapsed");
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
        let most = counts.values().copied().max().unwrap_or(0);
        self.max_concurrent_runs = self.max_concurrent_runs.max(most);
    }

    /// Returns an item as the store shows it.
    pub(crate) fn shown(key: &str, item: &Item) -> Value {
        json!({
            "key": key, "value": STANDARD.encode(&item.value),
            "revision": item.revision, "created": item.created, "lease": item.lease,
        })
    }
}

impl Endpoint {
    pub(crate) fn end(&mut self, live: &Live, how: &'static str) {
        self.sequence += 1;
        let highest = self.stopped.entry(live.task.clone()).or_default();
        *highest = (*highest).max(live.run);
        self.ended.push(End {
            sequence: self.sequence,
            task: live.task.clone(),
            run: live.run,
            how,
        });
    }
}
