//! Observes which revision is in force at each entry host.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::call::get_operator_page;
use super::daemon::Daemon;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The times at which the reported revision of an entry host changed, with the new
/// revision, in order.
type Observations = Vec<(Instant, u64)>;

/// Polls the status of entry hosts until it is dropped. Each entry host is identified by
/// its index, also after a restart.
#[derive(Debug)]
pub struct Watch {
    stop: Arc<AtomicBool>,
    entries: Vec<Arc<Mutex<(SocketAddr, Observations)>>>,
}

impl Watch {
    pub fn start(daemons: &[Daemon]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |daemon: &Daemon| {
            let entry = Arc::new(Mutex::new((daemon.operators, Observations::new())));
            let (entry, stop) = (Arc::clone(&entry), Arc::clone(&stop));
            let polled = Arc::clone(&entry);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    poll(&entry);
                    thread::sleep(POLL_INTERVAL);
                }
            });
            polled
        };
        let entries = daemons.iter().map(start).collect();
        Self { stop, entries }
    }

    /// Continues to poll an entry host at the address of its restarted process.
    pub fn follow_restart(&self, index: usize, daemon: &Daemon) {
        self.entries[index].lock().unwrap().0 = daemon.operators;
    }

    /// Returns when the last of the entry hosts reported the revision or a newer one, or
    /// `None` if not all of them have.
    pub fn in_force_at(&self, entries: &[usize], revision: u64) -> Option<Instant> {
        let first = |&index: &usize| {
            let entry = self.entries[index].lock().unwrap();
            let found = entry.1.iter().find(|(_, reported)| *reported >= revision);
            found.map(|(at, _)| *at)
        };
        let times: Option<Vec<Instant>> = entries.iter().map(first).collect();
        times?.into_iter().max()
    }

    /// Panics if an entry host has reported an older revision after a newer one.
    pub fn assert_no_regression(&self) {
        for (index, entry) in self.entries.iter().enumerate() {
            let revisions: Vec<u64> =
                entry.lock().unwrap().1.iter().map(|s| s.1).collect();
            assert!(
                revisions.is_sorted(),
                "entry host {index} reported {revisions:?}"
            );
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn poll(entry: &Mutex<(SocketAddr, Observations)>) {
    let address = entry.lock().unwrap().0;
    let Ok(text) = get_operator_page(address, "/status") else {
        return;
    };
    let status: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let Some(revision) = status["revision"].as_u64() else {
        return;
    };
    let (at, mut entry) = (Instant::now(), entry.lock().unwrap());
    if entry.0 == address && entry.1.last().is_none_or(|(_, last)| *last != revision) {
        entry.1.push((at, revision));
    }
}
