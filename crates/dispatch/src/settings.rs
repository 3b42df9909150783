//! Settings that a process is started with.

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrill_core::job::Features;
use rhubarbrill_core::job::scheduler::ColdLimits;

/// Settings of one entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry host.
    pub name: String,
    /// Availability zone of the entry host.
    pub zone: String,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub readiness: SocketAddr,
    /// Address for metrics and for requests that other entry hosts forward.
    pub internal: SocketAddr,
    /// Time between the request to stop and the kill of the process.
    pub stop_grace: Duration,
    /// Longest lease that endpoints grant to runs.
    pub max_lease: Duration,
    /// Time after an order for a host during which a new leader sends it no order.
    pub host_order_pause: Duration,
    /// Shortest lease TTL that the store grants.
    pub min_lease: Duration,
    /// Number of writes that the store takes in a second; `None` if the settings don't tell.
    pub store_writes_per_second: Option<u32>,
    /// Largest value that the store takes, in bytes.
    pub max_record_bytes: u64,
    /// Time for which the state of a finished job can be queried.
    pub retention: Duration,
    /// CPU share that the process may use, in cores.
    pub cpu: f64,
    /// Number of orders for hosts that the platform accepts in a second; `None` if there
    /// is no limit.
    pub host_orders_per_second: Option<u32>,
    /// Time for which the earlier capacity of an endpoint counts after it has shrunk.
    pub capacity_grace: Duration,
    /// Limits on the starts that a cold endpoint receives.
    pub cold: ColdLimits,
    /// Features that are switched on.
    pub features: Features,
}
