//! Load from concurrent callers, each of which sends one request after another.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::call::{Answer, Call, CallError};

/// The start, duration and outcome of one request.
#[derive(Debug)]
pub struct CallRecord {
    pub at: Instant,
    pub took: Duration,
    pub result: Result<Answer, CallError>,
}

/// Callers that send requests until they are stopped or dropped.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<CallRecord>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `callers` callers, distributed evenly over the addresses; each of them
    /// sends to one address.
    pub fn start(
        callers: usize,
        addresses: &[SocketAddr],
        path: &str,
        call: &Call,
    ) -> Self {
        let addresses = addresses.iter().copied().cycle().take(callers);
        Self::spawn(addresses.map(|address| (address, call.clone())), path)
    }

    /// Starts `callers` callers for each of the calls, all at one address.
    pub fn start_each(
        callers: usize,
        address: SocketAddr,
        path: &str,
        calls: &[Call],
    ) -> Self {
        let calls = calls.iter().cycle().take(callers * calls.len());
        Self::spawn(calls.map(|call| (address, call.clone())), path)
    }

    fn spawn(callers: impl Iterator<Item = (SocketAddr, Call)>, path: &str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let records = Arc::new(Mutex::new(Vec::new()));
        let threads = callers
            .map(|(address, call)| {
                let (stop, records) = (Arc::clone(&stop), Arc::clone(&records));
                let path = path.to_owned();
                thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        let at = Instant::now();
                        let result = call.post(address, &path);
                        let back_off = result.as_ref().map_or(true, |a| a.status != 200);
                        let took = at.elapsed();
                        records
                            .lock()
                            .unwrap()
                            .push(CallRecord { at, took, result });
                        if back_off {
                            thread::sleep(Duration::from_millis(20));
                        }
                    }
                })
            })
            .collect();
        Self {
            stop,
            records,
            threads,
        }
    }

    /// Returns how many requests that were sent at or after `since` got status 200.
    pub fn answered_since(&self, since: Instant) -> usize {
        let records = self.records.lock().unwrap();
        let recent = records.iter().filter(|record| record.at >= since);
        recent
            .filter(|record| record.result.as_ref().is_ok_and(|a| a.status == 200))
            .count()
    }

    /// Stops the callers and returns the records of all their requests.
    pub fn stop(mut self) -> Vec<CallRecord> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
        std::mem::take(&mut self.records.lock().unwrap())
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
