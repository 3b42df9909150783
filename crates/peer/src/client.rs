//! Calls to one peer.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, header};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

use crate::{CallsClient, Heartbeat, MAX_MESSAGE_BYTES, Transfer, TransferRequest};

/// A failed call to a peer.
#[derive(Debug, thiserror::Error)]
#[error("peer {address}: {source}")]
pub struct Error {
    address: SocketAddr,
    source: jsonrpsee::core::ClientError,
}

/// Calls one peer.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    inner: HttpClient,
}

impl Client {
    /// Returns a client for the peer at `address`; it connects when it is first called.
    ///
    /// # Errors
    ///
    /// Fails when `secret` can't stand in a header.
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

    /// Exchanges heartbeats with the peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer gives no valid answer in time.
    pub async fn heartbeat(&self, beat: Heartbeat) -> Result<Heartbeat, Error> {
        self.inner
            .heartbeat(beat)
            .await
            .map_err(|source| self.wrap(source))
    }

    /// Fetches configuration and ledger newer than what the caller has.
    ///
    /// # Errors
    ///
    /// Fails when the peer gives no valid answer in time.
    pub async fn transfer(&self, want: TransferRequest) -> Result<Transfer, Error> {
        self.inner
            .transfer(want)
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
