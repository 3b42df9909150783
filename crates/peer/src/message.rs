//! Messages between entry hosts.

use std::net::SocketAddr;

use rhubarbrill_core::member::Member;
use serde::{Deserialize, Serialize};

/// A heartbeat with the sender's identity, the revisions in force there and its load.
///
/// Unknown fields are ignored, so that entry hosts of two versions can communicate during
/// a rolling upgrade.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Identity of the sender.
    pub member: Member,
    /// Address at which the sender accepts calls of peers.
    pub address: SocketAddr,
    /// Configuration revision in force at the sender.
    pub revision: u64,
    /// Version of the maintenance ledger at the sender.
    pub ledger: u64,
    /// Whether the sender has recently reached the store.
    pub store_reachable: bool,
    /// Whether the sender is draining and accepts no new requests.
    pub draining: bool,
    /// Running and waiting requests at the sender, per workspace and pool.
    pub loads: Vec<Load>,
    /// Leaving hosts that still run requests of the sender.
    pub residents: Vec<ResidualLoad>,
    /// Names of hosts that the sender has ejected because of failures.
    #[serde(default)]
    pub ejected: Vec<String>,
    /// Age of the maintenance ledger at the sender, in milliseconds; `None` if the sender
    /// doesn't know it.
    #[serde(default, rename = "news_age_ms")]
    pub ledger_age_ms: Option<u64>,
    /// Endpoint slots that the sender lends to the receiver.
    #[serde(default)]
    pub slots: Vec<Slot>,
    /// Addresses of peers that the sender has recently heard from.
    pub known: Vec<SocketAddr>,
}

/// Numbers of running and waiting requests of one workspace in one pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Name of the workspace.
    #[serde(rename = "team")]
    pub workspace: String,
    /// Name of the pool.
    pub pool: String,
    /// Number of requests running at endpoints.
    pub running: u32,
    /// Number of requests waiting for an endpoint.
    pub waiting: u32,
    /// Mean run time of requests in the pool at the sender, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_time_ms: Option<u64>,
}

/// An endpoint slot that the sender lends for a short term.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slot {
    /// Name of the host whose endpoint has the slot.
    pub host: String,
    /// Time after receipt within which work may be started on the slot, in milliseconds.
    pub term_ms: u64,
}

/// Number of requests that a leaving host still runs for the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResidualLoad {
    /// Name of the leaving host.
    pub host: String,
    /// Number of the sender's requests that run on the host.
    pub running: u32,
}

/// Request of `transfer`, with the versions that the caller already has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TransferRequest {
    /// Configuration revision in force at the caller; zero if it has none.
    pub revision: u64,
    /// Version of the maintenance ledger at the caller; zero if it has none.
    pub ledger: u64,
}

/// Response of `transfer`: configuration and ledger, where newer than the caller's.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// Configuration changes to apply in order; empty if a snapshot is sent instead.
    pub changes: Vec<Revision>,
    /// Snapshot of the whole configuration, sent if the changes since the caller's
    /// revision are no longer available.
    pub snapshot: Option<Revision>,
    /// The maintenance ledger; `None` if the caller's is not older.
    pub ledger: Option<Revision>,
}

/// A numbered record in serialized form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Revision {
    /// Revision or version of the record.
    pub number: u64,
    /// The record as JSON text.
    pub body: String,
}
