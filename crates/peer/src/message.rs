//! Messages between entry hosts.

use std::net::SocketAddr;

use rhubarbrill_core::member::Member;
use serde::{Deserialize, Serialize};

/// A heartbeat: who sends it, what it has in force and what it runs.
///
/// Fields that the receiver doesn't know are passed over, so that entry hosts of two
/// versions understand each other while they are upgraded one by one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub member: Member,
    /// Where the sender answers peers.
    pub address: SocketAddr,
    /// Configuration revision in force at the sender.
    pub revision: u64,
    /// Version of the maintenance ledger at the sender.
    pub ledger: u64,
    /// Whether the sender has heard from the store lately.
    pub store_reachable: bool,
    /// Whether the sender takes no new requests.
    pub draining: bool,
    /// Running and waiting work at the sender, per workspace and pool.
    pub loads: Vec<Load>,
    /// Hosts that are leaving and still run work of the sender.
    pub residents: Vec<ResidualLoad>,
    /// Hosts that the sender sends no work since they fail.
    #[serde(default)]
    pub ejected: Vec<String>,
    /// Age of the ledger at the sender, in milliseconds; none if it doesn't know.
    #[serde(default, rename = "news_age_ms")]
    pub ledger_age_ms: Option<u64>,
    /// Endpoint slots that the sender lends to the receiver.
    #[serde(default)]
    pub slots: Vec<Slot>,
    /// Peer addresses that the sender heard from lately.
    pub known: Vec<SocketAddr>,
}

/// Running and waiting work of one workspace in one pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The workspace.
    #[serde(rename = "team")]
    pub workspace: String,
    /// The pool.
    pub pool: String,
    /// Requests at endpoints.
    pub running: u32,
    /// Requests waiting for an endpoint.
    pub waiting: u32,
}

/// An endpoint slot that is lent for a short time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slot {
    /// The host whose endpoint has the slot.
    pub host: String,
    /// How long work may be started on it from the arrival on, in milliseconds.
    pub term_ms: u64,
}

/// Work that a leaving host still runs for the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResidualLoad {
    /// The host.
    pub host: String,
    /// Requests of the sender that the host runs.
    pub running: u32,
}

/// What a caller of `transfer` has already.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TransferRequest {
    /// Configuration revision in force at the caller; zero for none.
    pub revision: u64,
    /// Version of the maintenance ledger at the caller; zero for none.
    pub ledger: u64,
}

/// Configuration and ledger newer than what the caller has.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// Changes to apply in order; empty when a snapshot is needed.
    pub changes: Vec<Revision>,
    /// Whole declarations, sent when the changes are no longer kept.
    pub snapshot: Option<Revision>,
    /// The maintenance ledger, when newer.
    pub ledger: Option<Revision>,
}

/// A numbered record as its owner serialized it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Revision {
    /// Revision or version of the record.
    pub number: u64,
    /// The record in JSON.
    pub body: String,
}
