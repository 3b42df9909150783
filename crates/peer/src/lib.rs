//! JSON-RPC between entry hosts.
//!
//! A [`Server`] answers peers with a [`Handler`]; a [`Client`] calls one peer. Every call
//! carries a shared secret. Messages over the size bound, malformed ones and calls
//! without the secret are refused before the handler sees them.

mod client;
mod message;
mod server;

pub use client::{Client, Error};
pub use message::{
    Heartbeat, Load, ResidualLoad, Revision, Slot, Transfer, TransferRequest,
};
pub use server::{Handler, Options, Server};

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

/// Largest message between peers.
pub const MAX_MESSAGE_BYTES: u32 = 4 * 1024 * 1024;

/// The calls that entry hosts answer for each other.
#[rpc(client, server, namespace = "peer")]
pub(crate) trait Calls {
    /// Exchanges heartbeats.
    #[method(name = "beat")]
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<Heartbeat>;

    /// Returns configuration and ledger newer than what the caller has.
    #[method(name = "transfer")]
    async fn transfer(&self, want: TransferRequest) -> RpcResult<Transfer>;
}
