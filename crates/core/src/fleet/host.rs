//! Declared hosts that run an endpoint.

use std::net::SocketAddr;

use super::{PoolKey, ZoneKey};

slotmap::new_key_type! {
    /// Identifies a host in its arena.
    pub struct HostKey;
}

/// A declared host that runs an endpoint.
///
/// A host may be moved to another pool at runtime; see
/// [`Placement`](crate::placement::Placement).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// The pool for which the host is declared.
    pub pool: PoolKey,
    /// The availability zone of the host.
    pub zone: ZoneKey,
    /// The name of the host's rack.
    pub rack: String,
    /// The address on which the host's endpoint accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Number of concurrent connections that the endpoint accepts.
    pub connections: u32,
}
