//! Records the versions of the maintenance ledger in the store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rhubarbrill_core::maintenance::{Ledger, Step};
use rhubarbrill_edge::store::{Change, Memory, Store as _};
use rhubarbrill_registry::maintenance;

/// Key of the ledger's record, including the default prefix of the daemons.
const KEY: &str = "rhubarbrill/maintenance";

/// Longest wait for a change before the recorder checks whether to stop.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(50);

/// A version of the ledger, and when the recorder received it.
#[derive(Clone, Debug)]
pub struct Version {
    pub at: Instant,
    pub ledger: Ledger,
}

/// Records every version of the ledger from the first one on.
#[derive(Debug)]
pub struct History {
    versions: Arc<Mutex<Vec<Version>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// A period during which a host accepts no new requests according to the ledger.
#[derive(Clone, Debug)]
pub struct Outage {
    pub host: String,
    pub left_at: Instant,
    pub drained_at: Option<Instant>,
    /// When the host was back in service; `None` if the outage had not ended.
    pub back_at: Option<Instant>,
}

impl History {
    /// Starts to record on a thread of its own, which stops when the value is dropped.
    pub fn record(memory: &Memory) -> Self {
        let versions = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let (recorded, stopped) = (Arc::clone(&versions), Arc::clone(&stop));
        let memory = memory.clone().with_idle_timeout(WATCH_IDLE_TIMEOUT);
        let mut watch = memory.watch(KEY, 1).unwrap();
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                for change in watch.wait().unwrap() {
                    let Change::Put(entry) = change else {
                        panic!("the ledger was deleted")
                    };
                    let ledger = maintenance::parse(&entry).unwrap();
                    let at = Instant::now();
                    recorded.lock().unwrap().push(Version { at, ledger });
                }
            }
        });
        Self {
            versions,
            stop,
            thread: Some(thread),
        }
    }

    pub fn versions(&self) -> Vec<Version> {
        self.versions.lock().unwrap().clone()
    }

    /// Returns the newest version, or an empty ledger if there is none yet.
    pub fn last(&self) -> Ledger {
        let versions = self.versions.lock().unwrap();
        versions
            .last()
            .map(|version| version.ledger.clone())
            .unwrap_or_default()
    }

    /// Waits until the newest version meets a condition; panics after `limit`.
    pub fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Ledger) -> bool,
    ) {
        let start = Instant::now();
        while !condition(&self.last()) {
            assert!(
                start.elapsed() < limit,
                "waited for {what}: {:#?}",
                self.last()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns all outages of all hosts, in order of their start.
    pub fn outages(&self) -> Vec<Outage> {
        let mut outages: Vec<Outage> = Vec::new();
        for Version { at, ledger } in self.versions() {
            for outage in outages.iter_mut().filter(|outage| outage.back_at.is_none()) {
                match ledger.record(&outage.host).map(|record| record.step) {
                    None | Some(Step::Serving) => outage.back_at = Some(at),
                    Some(Step::Drained) if outage.drained_at.is_none() => {
                        outage.drained_at = Some(at);
                    }
                    Some(_) => {}
                }
            }
            for (host, record) in ledger.records() {
                let is_known = outages
                    .iter()
                    .any(|o| o.host == host && o.back_at.is_none());
                if !record.step.accepts() && !is_known {
                    outages.push(Outage {
                        host: host.to_owned(),
                        left_at: at,
                        drained_at: None,
                        back_at: None,
                    });
                }
            }
        }
        outages
    }
}

impl Drop for History {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let joined = thread.join();
            assert!(joined.is_ok() || thread::panicking());
        }
    }
}
