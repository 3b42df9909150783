//! Server for the RPC interface between entry hosts.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use http::{Request, Response, StatusCode, header};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{HttpBody, ServerConfig, ServerHandle};
use subtle::ConstantTimeEq;
use tokio_util::sync::CancellationToken;
use tower_http::validate_request::{ValidateRequest, ValidateRequestHeaderLayer};

use crate::{Heartbeat, MAX_MESSAGE_BYTES, PeerApiServer, Transfer, TransferRequest};

/// Maximum number of concurrent connections from peers.
const MAX_CONNECTIONS: u32 = 256;

/// Handler of the calls that an entry host receives from its peers.
pub trait Handler: Send + Sync + 'static {
    /// Processes a peer's heartbeat and returns this entry host's own.
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat;

    /// Returns the configuration and maintenance ledger if they are newer than the
    /// peer's.
    fn transfer(&self, request: TransferRequest) -> Transfer;

    /// Notes that a call without the shared secret was rejected.
    fn call_refused(&self);
}

/// Settings of a [`Server`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Shared secret that every call must carry as a bearer token.
    pub secret: String,
    /// Stops the server when cancelled.
    pub cancel: CancellationToken,
}

/// A running server that accepts calls of peers.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Starts a server that accepts calls on `listener`.
    ///
    /// # Errors
    ///
    /// Fails when the async runtime can't use the listener.
    pub async fn start<H: Handler>(
        listener: TcpListener,
        handler: Arc<H>,
        options: Options,
    ) -> io::Result<Self> {
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .http_only()
            .build();
        let validator = SecretValidator {
            value: options.secret.into(),
            handler: Arc::clone(&handler),
        };
        let middleware = tower::ServiceBuilder::new()
            .layer(ValidateRequestHeaderLayer::custom(validator));
        let server = jsonrpsee::server::Server::builder()
            .set_config(config)
            .set_http_middleware(middleware)
            .build_from_tcp(listener)?;
        let address = server.local_addr()?;
        let handle = server.start(RpcHandler(handler).into_rpc());
        tokio::spawn(stop_when_cancelled(handle.clone(), options.cancel));
        Ok(Self { address, handle })
    }

    /// Returns the local address on which the server accepts calls.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server has stopped.
    pub async fn stopped(self) {
        self.handle.stopped().await;
    }
}

async fn stop_when_cancelled(handle: ServerHandle, cancel: CancellationToken) {
    cancel.cancelled().await;
    // Fails only if the server has already stopped.
    let _ = handle.stop();
}

/// Implements the JSON-RPC methods by a [`Handler`].
struct RpcHandler<H>(Arc<H>);

#[async_trait]
impl<H: Handler> PeerApiServer for RpcHandler<H> {
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<Heartbeat> {
        Ok(self.0.heartbeat(beat))
    }

    async fn transfer(&self, request: TransferRequest) -> RpcResult<Transfer> {
        Ok(self.0.transfer(request))
    }
}

/// Rejects requests without the shared secret, which is compared in constant time.
struct SecretValidator<H> {
    value: Arc<str>,
    handler: Arc<H>,
}

impl<H> Clone for SecretValidator<H> {
    fn clone(&self) -> Self {
        Self {
            value: Arc::clone(&self.value),
            handler: Arc::clone(&self.handler),
        }
    }
}

impl<H: Handler, B> ValidateRequest<B> for SecretValidator<H> {
    type ResponseBody = HttpBody;

    fn validate(&mut self, request: &mut Request<B>) -> Result<(), Response<HttpBody>> {
        let given = request.headers().get(header::AUTHORIZATION);
        let token = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        if token.is_some_and(|token| bool::from(token.ct_eq(self.value.as_bytes()))) {
            return Ok(());
        }
        self.handler.call_refused();
        let mut response = Response::new(HttpBody::empty());
        *response.status_mut() = StatusCode::UNAUTHORIZED;
        Err(response)
    }
}
