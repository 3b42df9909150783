//! Queues that callers send requests to.

use std::time::Duration;

use super::{PoolKey, WorkspaceKey};

slotmap::new_key_type! {
    /// Names a queue in its arena.
    pub struct QueueKey;
}

/// A queue of requests for one pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Queue {
    /// The pool whose endpoints answer.
    pub pool: PoolKey,
    /// Path prefix that selects the queue.
    pub path: String,
    /// Who may send.
    pub access: Access,
    /// Longest time one request may run at an endpoint.
    pub max_run_time: Duration,
    /// Whether endpoints stop a request's work when its connection closes.
    ///
    /// If they don't, the work counts as running until `max_run_time` has passed.
    pub stops_on_close: bool,
    /// Most requests that one entry host keeps waiting for the queue.
    pub max_waiting: u32,
}

/// Who may send to a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    /// Anyone; the work counts for the named workspace.
    Open(WorkspaceKey),
    /// Holders of a key; the work counts for the key's workspace.
    Keyed,
}
