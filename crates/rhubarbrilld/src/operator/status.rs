//! The state of an entry host as operators read it.

use serde::Serialize;

/// The state of an entry host.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the entry host.
    pub entry: String,
    /// Its availability zone.
    pub zone: String,
    /// Differs for each run of the process.
    pub incarnation: u64,
    /// Configuration revision in force.
    pub revision: u64,
    /// Version of the maintenance ledger in force.
    pub ledger: u64,
    /// Whether it has heard from the store lately.
    pub store_reachable: bool,
    /// Whether it watches the store for its zone.
    pub relay: bool,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Requests open now.
    pub open: usize,
    /// Names of the peers heard from lately.
    pub peers: Vec<String>,
    /// Usage and bounds of each workspace here.
    #[serde(rename = "teams")]
    pub workspaces: Vec<Workspace>,
    /// Waves that are not done.
    pub waves: Vec<Wave>,
}

/// Usage and bounds of one workspace at an entry host.
#[derive(Clone, Debug, Serialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Requests at endpoints.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Weight of the workspace's share.
    pub share: u32,
    /// The workspace's upper limit over the whole fleet.
    pub limit: u32,
    /// Units held here without expiry.
    pub floor: u32,
    /// Units lent to this entry host.
    pub loan: u32,
}

/// Progress of one wave.
#[derive(Clone, Debug, Serialize)]
pub struct Wave {
    /// Name of the wave.
    pub name: String,
    /// Running, paused or done.
    pub state: &'static str,
    /// Hosts that the wave has maintained.
    pub done: usize,
    /// Hosts that it covers.
    pub total: usize,
}
