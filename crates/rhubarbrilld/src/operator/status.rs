//! The status of an entry host as reported to operators.

use serde::Serialize;

/// The status of an entry host, serialized to JSON at `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the entry host.
    pub entry: String,
    /// Name of the availability zone of the entry host.
    pub zone: String,
    /// Identifies the run of the process; differs after each restart.
    pub incarnation: u64,
    /// Number of the active configuration revision.
    pub revision: u64,
    /// Generation of the applied maintenance ledger.
    pub ledger: u64,
    /// Whether the store answered the latest registration or lease renewal.
    pub store_reachable: bool,
    /// Whether this entry host is the relay that watches the store for its zone.
    pub relay: bool,
    /// Whether the entry host is draining and accepts no new requests.
    pub draining: bool,
    /// Number of requests that wait or run at this entry host.
    pub open: usize,
    /// Names of the live peers.
    pub peers: Vec<String>,
    /// Usage and limits of each workspace at this entry host.
    #[serde(rename = "teams")]
    pub workspaces: Vec<Workspace>,
    /// The waves in the applied ledger.
    pub waves: Vec<Wave>,
}

/// Usage and limits of one workspace at an entry host.
#[derive(Clone, Debug, Serialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Number of requests of this entry host that run at endpoints.
    pub running: u32,
    /// Number of requests that wait at this entry host.
    pub waiting: u32,
    /// Weight of the workspace when workspaces compete for a full pool.
    pub share: u32,
    /// Maximum number of requests of the workspace that run at once in the whole fleet.
    pub limit: u32,
    /// Units that this entry host holds without an expiry.
    pub floor: u32,
    /// Units that are lent to this entry host.
    pub loan: u32,
}

/// Progress of one maintenance wave.
#[derive(Clone, Debug, Serialize)]
pub struct Wave {
    /// Name of the wave.
    pub name: String,
    /// `running`, `paused by budgets`, `paused by an operator` or `done`.
    pub state: &'static str,
    /// Number of hosts that the wave has completed.
    pub done: usize,
    /// Number of hosts that the wave covers.
    pub total: usize,
}
