//! Queues to which callers send requests.

use std::time::Duration;

use super::{PoolKey, WorkspaceKey};

slotmap::new_key_type! {
    /// Identifies a queue in its arena.
    pub struct QueueKey;
}

/// A declared queue of requests for one pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Queue {
    /// The pool whose endpoints run the requests.
    pub pool: PoolKey,
    /// The prefix of the request path that selects the queue.
    pub path: String,
    /// Who may send requests to the queue.
    pub access: Access,
    /// The longest time that one request may run at an endpoint.
    pub max_run_time: Duration,
    /// Whether an endpoint stops the work of a request when its connection closes.
    ///
    /// If not, the work counts as running until `max_run_time` has passed.
    pub stops_on_close: bool,
    /// Maximum number of requests that wait for the queue on one entry host.
    pub max_waiting: u32,
}

/// Who may send requests to a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    /// Anyone; the requests count against this workspace.
    Open(WorkspaceKey),
    /// Callers with an access key; the requests count against the key's workspace.
    Keyed,
}
