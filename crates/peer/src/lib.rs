//! JSON-RPC interface between entry hosts.
//!
//! A [`Server`] passes the calls of peers to a [`Handler`]; a [`Client`] calls one peer.
//! Every call carries a shared secret. Oversized messages, malformed ones and calls
//! without the secret are rejected before they reach the handler.

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

/// Maximum size of a request or response between peers, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 4 * 1024 * 1024;

/// The JSON-RPC methods that entry hosts offer to each other.
#[rpc(client, server, namespace = "peer")]
pub(crate) trait PeerApi {
    /// Takes the caller's heartbeat and returns the receiver's own.
    #[method(name = "beat")]
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<Heartbeat>;

    /// Returns the configuration and maintenance ledger if they are newer than the
    /// caller's.
    #[method(name = "transfer")]
    async fn transfer(&self, want: TransferRequest) -> RpcResult<Transfer>;
}
