//! The maintenance ledger's versions, as the store took them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rhubarbrill_core::maintenance::{Ledger, Step};
use rhubarbrill_edge::store::{Change, Memory, Store as _};
use rhubarbrill_registry::maintenance;

/// Key of the record, with the daemons' default prefix.
const KEY: &str = "rhubarbrill/maintenance";

const LOOK: Duration = Duration::from_millis(50);

/// A version of the ledger, and when it was seen in the store.
#[derive(Clone, Debug)]
pub struct Version {
    pub at: Instant,
    pub ledger: Ledger,
}

/// Records every version from the first on.
#[derive(Debug)]
pub struct History {
    versions: Arc<Mutex<Vec<Version>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// A time during which a host took no new work.
#[derive(Clone, Debug)]
pub struct Outage {
    pub host: String,
    pub left: Instant,
    pub drained: Option<Instant>,
    pub back: Option<Instant>,
}

impl History {
    pub fn record(memory: &Memory) -> Self {
        let versions = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let (all, ended) = (Arc::clone(&versions), Arc::clone(&stop));
        let memory = memory.clone().with_idle_timeout(LOOK);
        let mut watch = memory.watch(KEY, 1).unwrap();
        let thread = thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                for change in watch.wait().unwrap() {
                    let Change::Put(entry) = change else {
                        panic!("the ledger was deleted")
                    };
                    let ledger = maintenance::parse(&entry).unwrap();
                    let at = Instant::now();
                    all.lock().unwrap().push(Version { at, ledger });
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

    pub fn last(&self) -> Ledger {
        let versions = self.versions.lock().unwrap();
        versions
            .last()
            .map(|version| version.ledger.clone())
            .unwrap_or_default()
    }

    /// Waits until the newest version fulfils a condition.
    pub fn wait_for(&self, what: &str, limit: Duration, holds: impl Fn(&Ledger) -> bool) {
        let start = Instant::now();
        while !holds(&self.last()) {
            assert!(
                start.elapsed() < limit,
                "waited for {what}: {:#?}",
                self.last()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns every time that a host took no new work by its record.
    pub fn outages(&self) -> Vec<Outage> {
        let mut outages: Vec<Outage> = Vec::new();
        for Version { at, ledger } in self.versions() {
            for outage in outages.iter_mut().filter(|outage| outage.back.is_none()) {
                match ledger.record(&outage.host).map(|record| record.step) {
                    None | Some(Step::Serving) => outage.back = Some(at),
                    Some(Step::Drained) if outage.drained.is_none() => {
                        outage.drained = Some(at);
                    }
                    Some(_) => {}
                }
            }
            for (host, record) in ledger.records() {
                let is_known = outages.iter().any(|o| o.host == host && o.back.is_none());
                if !record.step.accepts() && !is_known {
                    outages.push(Outage {
                        host: host.to_owned(),
                        left: at,
                        drained: None,
                        back: None,
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
            let ended = thread.join();
            assert!(ended.is_ok() || thread::panicking());
        }
    }
}
