//! The leader's record in the store, and when another process may replace it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The record of the current leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leader {
    /// Name of the entry host that leads.
    pub name: String,
    /// Identifies the process, also among successive processes of the same entry host.
    pub nonce: String,
    /// Address that accepts requests forwarded by other entry hosts.
    #[serde(default)]
    pub address: Option<SocketAddr>,
}

/// Why a process may run for election.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Vacancy {
    /// There is no leader's record.
    NoLeader,
    /// The record, of this store revision, names an earlier process of the same host.
    EarlierProcess(u64),
}

impl Vacancy {
    /// Returns why the process that `own` describes may run for election, given the
    /// leader's record and its store revision. Returns `None` if it may not.
    ///
    /// A record with the name of the host and with the address that the process listens
    /// at belongs to a process that has ended, because an address has one listener. Its
    /// lease needn't expire first.
    pub fn find(record: Option<(&Leader, u64)>, own: &Leader) -> Option<Self> {
        let Some((leader, revision)) = record else {
            return Some(Self::NoLeader);
        };
        let is_earlier_process = own.address.is_some()
            && leader.address == own.address
            && leader.name == own.name
            && leader.nonce != own.nonce;
        is_earlier_process.then_some(Self::EarlierProcess(revision))
    }

    /// Returns the store revision that the leader's record must have when it is replaced;
    /// 0 if there must be none.
    pub const fn revision(self) -> u64 {
        match self {
            Self::NoLeader => 0,
            Self::EarlierProcess(revision) => revision,
        }
    }
}
