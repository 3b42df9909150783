//! Answers to peers.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use http::{Request, Response, StatusCode, header};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{HttpBody, ServerConfig, ServerHandle};
use subtle::ConstantTimeEq;
use tokio_util::sync::CancellationToken;
use tower_http::validate_request::{ValidateRequest, ValidateRequestHeaderLayer};

use crate::{CallsServer, Heartbeat, MAX_MESSAGE_BYTES, Transfer, TransferRequest};

/// Most connections from peers at once.
const MAX_CONNECTIONS: u32 = 256;

/// What an entry host answers its peers.
pub trait Handler: Send + Sync + 'static {
    /// Takes a peer's heartbeat and returns the entry host's own.
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat;

    /// Returns configuration and ledger newer than what the peer has.
    fn transfer(&self, want: TransferRequest) -> Transfer;

    /// Counts a call that was refused because it lacked the shared secret.
    fn call_refused(&self);
}

/// How a server listens.
#[derive(Clone, Debug)]
pub struct Options {
    /// Secret that every call must carry.
    pub secret: String,
    /// Ends the server.
    pub cancel: CancellationToken,
}

/// A running server for peers.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Starts to answer peers on `listener`.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be used.
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
        let check = Secret {
            value: options.secret.into(),
            handler: Arc::clone(&handler),
        };
        let middleware =
            tower::ServiceBuilder::new().layer(ValidateRequestHeaderLayer::custom(check));
        let server = jsonrpsee::server::Server::builder()
            .set_config(config)
            .set_http_middleware(middleware)
            .build_from_tcp(listener)?;
        let address = server.local_addr()?;
        let handle = server.start(Answers(handler).into_rpc());
        tokio::spawn(stop_when_cancelled(handle.clone(), options.cancel));
        Ok(Self { address, handle })
    }

    /// Returns the address that the server answers on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server has ended.
    pub async fn stopped(self) {
        self.handle.stopped().await;
    }
}

async fn stop_when_cancelled(handle: ServerHandle, cancel: CancellationToken) {
    cancel.cancelled().await;
    // A server that has already ended needs no stop.
    let _ = handle.stop();
}

struct Answers<H>(Arc<H>);

#[async_trait]
impl<H: Handler> CallsServer for Answers<H> {
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<Heartbeat> {
        Ok(self.0.heartbeat(beat))
    }

    async fn transfer(&self, want: TransferRequest) -> RpcResult<Transfer> {
        Ok(self.0.transfer(want))
    }
}

struct Secret<H> {
    value: Arc<str>,
    handler: Arc<H>,
}

impl<H> Clone for Secret<H> {
    fn clone(&self) -> Self {
        Self {
            value: Arc::clone(&self.value),
            handler: Arc::clone(&self.handler),
        }
    }
}

impl<H: Handler, B> ValidateRequest<B> for Secret<H> {
    type ResponseBody = HttpBody;

    fn validate(&mut self, request: &mut Request<B>) -> Result<(), Response<HttpBody>> {
        let given = request.headers().get(header::AUTHORIZATION);
        let token = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        if token.is_some_and(|token| bool::from(token.ct_eq(self.value.as_bytes()))) {
            return Ok(());
        }
        self.handler.call_refused();
        let mut answer = Response::new(HttpBody::empty());
        *answer.status_mut() = StatusCode::UNAUTHORIZED;
        Err(answer)
    }
}
