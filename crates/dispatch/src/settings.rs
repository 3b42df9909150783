//! What a process is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry host.
    pub name: String,
    /// Availability zone of the entry host.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether to send callers.
    pub readiness: SocketAddr,
    /// Where metrics are read, and where other entry hosts ask.
    pub internal: SocketAddr,
    /// Time between a request to stop and a kill.
    pub stop_grace: Duration,
    /// Longest lease that endpoints grant.
    pub max_lease: Duration,
    /// Time for which a new leader gives no orders to hosts.
    pub host_order_pause: Duration,
    /// Shortest lease that the store grants.
    pub min_lease: Duration,
    /// Time for which a finished job can be asked for.
    pub retention: Duration,
    /// Processor that the process may use, in cores.
    pub cpu: f64,
}
