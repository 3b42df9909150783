//! Log and counters of the requests that an endpoint has received.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The last stage that a request reached at an endpoint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Its header section was received.
    Arrived,
    /// It received a response without starting a run.
    Rejected,
    /// Its run started.
    Started,
    /// Its run was cancelled before it finished, because the connection of the caller
    /// closed.
    Stopped,
    /// Its run finished.
    Finished,
}

/// A request that an endpoint has received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The idempotency key, if the request had one.
    pub identity: Option<String>,
    /// The workspace that the run is counted for, if the request named one.
    pub workspace: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The path and query of the request target.
    pub path: String,
    /// The last stage that the request reached.
    pub stage: Stage,
    /// When the header section was received.
    pub at: Instant,
    /// When the request was rejected, or its run finished or was cancelled.
    pub ended: Option<Instant>,
}

/// Counters of one endpoint since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Connections accepted, including those that have closed since.
    pub accepted: u64,
    /// Connections that are open now.
    pub connections: u32,
    /// Highest number of connections that were open at once.
    pub max_connections: u32,
    /// Connections closed at once because the limit of open connections was reached.
    pub rejected_connections: u64,
    /// Requests whose header section was received.
    pub arrivals: u64,
    /// Requests whose run started.
    pub runs: u64,
    /// Requests whose run finished.
    pub finished: u64,
    /// Runs in progress now.
    pub running: u32,
    /// Highest number of runs that were in progress at once.
    pub max_running: u32,
    /// Requests rejected because all slots were taken.
    pub rejected_requests: u64,
}

/// Log and counters of one endpoint, behind a lock.
#[derive(Debug, Default)]
pub(super) struct Log {
    inner: Mutex<LogState>,
}

#[derive(Debug, Default)]
struct LogState {
    runs: Vec<Run>,
    counters: Counters,
}

/// Guard that counts a connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection {
    log: Arc<Log>,
}

/// Handle to the log entry of one request.
///
/// Dropping it marks a run that is still in progress as stopped.
#[derive(Debug)]
pub(super) struct LoggedRequest {
    log: Arc<Log>,
    index: usize,
}

impl Run {
    fn set_ended(&mut self, stage: Stage) {
        self.stage = stage;
        self.ended = Some(Instant::now());
    }
}

impl Log {
    pub(super) fn counters(&self) -> Counters {
        self.lock().counters
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Counts a connection as open, or returns `None` if `max` are open already.
    pub(super) fn open_connection(self: &Arc<Self>, max: u32) -> Option<OpenConnection> {
        let counters = &mut self.lock().counters;
        counters.accepted += 1;
        if counters.connections >= max {
            counters.rejected_connections += 1;
            return None;
        }
        counters.connections += 1;
        counters.max_connections = counters.max_connections.max(counters.connections);
        Some(OpenConnection {
            log: Arc::clone(self),
        })
    }

    /// Records a request whose header section was received.
    pub(super) fn record_arrival(self: &Arc<Self>, run: Run) -> LoggedRequest {
        let mut inner = self.lock();
        inner.counters.arrivals += 1;
        inner.runs.push(run);
        LoggedRequest {
            log: Arc::clone(self),
            index: inner.runs.len() - 1,
        }
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.log.lock().counters.connections -= 1;
    }
}

impl LoggedRequest {
    /// Starts the run unless `slots` runs are in progress; returns whether it started.
    pub(super) fn try_start(&self, slots: u32) -> bool {
        let mut inner = self.log.lock();
        let counters = &mut inner.counters;
        if counters.running >= slots {
            counters.rejected_requests += 1;
            inner.runs[self.index].set_ended(Stage::Rejected);
            return false;
        }
        counters.runs += 1;
        counters.running += 1;
        counters.max_running = counters.max_running.max(counters.running);
        inner.runs[self.index].stage = Stage::Started;
        true
    }

    /// Records that the request received a response without starting a run.
    pub(super) fn reject(&self) {
        self.log.lock().runs[self.index].set_ended(Stage::Rejected);
    }

    /// Records that the run finished.
    pub(super) fn finish(&self) {
        let mut inner = self.log.lock();
        inner.counters.finished += 1;
        inner.counters.running -= 1;
        inner.runs[self.index].set_ended(Stage::Finished);
    }
}

impl Drop for LoggedRequest {
    fn drop(&mut self) {
        let mut inner = self.log.lock();
        if inner.runs[self.index].stage == Stage::Started {
            inner.counters.running -= 1;
            inner.runs[self.index].set_ended(Stage::Stopped);
        }
    }
}
