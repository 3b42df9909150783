//! What an endpoint has seen.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// How far a request came at an endpoint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Its head arrived.
    Arrived,
    /// It was answered without working.
    Rejected,
    /// It began to work.
    Started,
    /// Its work ended before it was done, as the caller's connection closed.
    Stopped,
    /// Its work was done.
    Finished,
}

/// A request as an endpoint saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The request's identity.
    pub identity: Option<String>,
    /// The workspace the request counts for.
    pub workspace: Option<String>,
    /// The request's method.
    pub method: String,
    /// The request's path and query.
    pub path: String,
    /// How far the request came.
    pub stage: Stage,
    /// When its head arrived.
    pub at: Instant,
    /// When it was rejected, or its work ended.
    pub ended: Option<Instant>,
}

/// What an endpoint has counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Connections accepted, closed ones included.
    pub accepted: u64,
    /// Connections open now.
    pub connections: u32,
    /// Most connections open at once.
    pub max_connections: u32,
    /// Connections closed at once for want of room.
    pub rejected_connections: u64,
    /// Requests whose head arrived.
    pub arrivals: u64,
    /// Requests that began to work.
    pub runs: u64,
    /// Requests whose work was done.
    pub finished: u64,
    /// Requests that work now.
    pub running: u32,
    /// Most requests that worked at once.
    pub max_running: u32,
    /// Requests rejected for want of a slot.
    pub rejected_requests: u64,
}

/// An endpoint's log and counters.
#[derive(Debug, Default)]
pub(super) struct Log {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    runs: Vec<Run>,
    counters: Counters,
}

/// An open connection; it counts as closed once this is dropped.
#[derive(Debug)]
pub(super) struct Open {
    log: Arc<Log>,
}

/// A request in the log.
#[derive(Debug)]
pub(super) struct Ticket {
    log: Arc<Log>,
    index: usize,
}

impl Run {
    fn end(&mut self, stage: Stage) {
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

    /// Counts a connection as open, unless `most` are open already.
    pub(super) fn connect(self: &Arc<Self>, most: u32) -> Option<Open> {
        let counters = &mut self.lock().counters;
        counters.accepted += 1;
        if counters.connections >= most {
            counters.rejected_connections += 1;
            return None;
        }
        counters.connections += 1;
        counters.max_connections = counters.max_connections.max(counters.connections);
        Some(Open {
            log: Arc::clone(self),
        })
    }

    /// Records a request whose head arrived.
    pub(super) fn arrive(self: &Arc<Self>, run: Run) -> Ticket {
        let mut inner = self.lock();
        inner.counters.arrivals += 1;
        inner.runs.push(run);
        Ticket {
            log: Arc::clone(self),
            index: inner.runs.len() - 1,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.log.lock().counters.connections -= 1;
    }
}

impl Ticket {
    /// Takes a slot, unless `slots` are taken; returns whether the work may start.
    pub(super) fn try_start(&self, slots: u32) -> bool {
        let mut inner = self.log.lock();
        let counters = &mut inner.counters;
        if counters.running >= slots {
            counters.rejected_requests += 1;
            inner.runs[self.index].end(Stage::Rejected);
            return false;
        }
        counters.runs += 1;
        counters.running += 1;
        counters.max_running = counters.max_running.max(counters.running);
        inner.runs[self.index].stage = Stage::Started;
        true
    }

    /// Records that the request was answered without working.
    pub(super) fn reject(&self) {
        self.log.lock().runs[self.index].end(Stage::Rejected);
    }

    /// Records that the work was done.
    pub(super) fn finish(&self) {
        let mut inner = self.log.lock();
        inner.counters.finished += 1;
        inner.counters.running -= 1;
        inner.runs[self.index].end(Stage::Finished);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut inner = self.log.lock();
        if inner.runs[self.index].stage == Stage::Started {
            inner.counters.running -= 1;
            inner.runs[self.index].end(Stage::Stopped);
        }
    }
}
