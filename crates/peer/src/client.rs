//! Client for the RPC interface of one peer.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, header};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

use crate::{Heartbeat, MAX_MESSAGE_BYTES, PeerApiClient, Transfer, TransferRequest};

/// A failed call to a peer.
#[derive(Debug, thiserror::Error)]
#[error("peer {address}: {source}")]
pub struct Error {
    address: SocketAddr,
    source: jsonrpsee::core::ClientError,
}

/// Client for one peer; clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    inner: HttpClient,
}

impl Client {
    /// Creates a client for the peer at `address`, which connects on the first call.
    ///
    /// `secret` is sent with every call, and `timeout` limits each call.
    ///
    /// # Errors
    ///
    /// Fails when `secret` isn't a valid header value or the HTTP client can't be built.
    pub fn try_new(
        address: SocketAddr,
        secret: &str,
        timeout: Duration,
    ) -> Result<Self, Error> {
        let wrap = |source| Error { address, source };
        let value =
            HeaderValue::from_str(&format!("Bearer {secret}")).map_err(|error| {
                wrap(jsonrpsee::core::ClientError::Custom(error.to_string()))
            })?;
        let headers = HeaderMap::from_iter([(header::AUTHORIZATION, value)]);
        let inner = HttpClientBuilder::default()
            .request_timeout(timeout)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .set_headers(headers)
            .build(format!("http://{address}"))
            .map_err(wrap)?;
        Ok(Self { address, inner })
    }

    /// Returns the peer's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a heartbeat to the peer and returns the peer's own.
    ///
    /// # Errors
    ///
    /// Fails when no valid response arrives before the timeout.
    pub async fn heartbeat(&self, beat: Heartbeat) -> Result<Heartbeat, Error> {
        self.inner
            .heartbeat(beat)
            .await
            .map_err(|source| self.wrap(source))
    }

    /// Fetches the configuration and maintenance ledger if the peer has newer ones than
    /// the caller.
    ///
    /// # Errors
    ///
    /// Fails when no valid response arrives before the timeout.
    pub async fn transfer(&self, request: TransferRequest) -> Result<Transfer, Error> {
        self.inner
            .transfer(request)
            .await
            .map_err(|source| self.wrap(source))
    }

    const fn wrap(&self, source: jsonrpsee::core::ClientError) -> Error {
        Error {
            address: self.address,
            source,
        }
    }
}
