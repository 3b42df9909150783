//! Entry hosts as members of a group that exchange heartbeats.

use serde::{Deserialize, Serialize};

/// Identifies one incarnation of the process of an entry host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// The unique name of the entry host, which a replacement reuses.
    pub entry: String,
    /// The name of the entry host's availability zone.
    pub zone: String,
    /// A number that differs for each run of the process.
    ///
    /// Of two runs, the one with the higher number counts as the later one.
    pub incarnation: u64,
}

mod roster;

pub use roster::{Peer, Roster};
