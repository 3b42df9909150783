//! Adapter to a store that speaks etcd v3's JSON gateway.

use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_wire::etcd::{
    Compare, DeleteRangeRequest, KeepAliveMessage, KeyRange, KeyValue, LeaseGrantRequest,
    LeaseGrantResponse, LeaseKeepAliveRequest, LeaseRevokeRequest, LeaseRevokeResponse,
    PutRequest, RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse,
    WatchCreateRequest, WatchRequest, path,
};
use rhubarbrill_wire::{Base64, Int64};

use self::client::{Call, Client, Retry};
use super::calls::CallKind;
use super::{
    CallCounts, Effect, Entry, Error, Expect, Lease, Listing, Store, Swap, Swapped,
};

mod client;
mod failure;
mod watch;

pub use watch::Watch;

/// Default timeout of a call.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Default time without a received message after which a watch ends.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A store reached through etcd v3's JSON gateway.
///
/// Clones share connections and counters. With several addresses, a failed call is sent
/// to the next one if that is safe: a read always, a swap only if the previous address
/// can't have received it. Connections aren't encrypted.
#[derive(Clone, Debug)]
pub struct Gateway {
    client: Arc<Client>,
    timeout: Duration,
    idle_timeout: Duration,
}

impl Gateway {
    /// Creates an adapter for a store at `addresses`, such as `http://10.0.0.1:2379`.
    ///
    /// Doesn't connect yet.
    ///
    /// # Errors
    ///
    /// Fails when there is no address.
    pub fn try_new<A>(addresses: A) -> Result<Self, Error>
    where
        A: IntoIterator<Item: Into<String>>,
    {
        let addresses: Vec<String> = addresses.into_iter().map(Into::into).collect();
        if addresses.is_empty() {
            return Err(Error::refused("the store has no address"));
        }
        Ok(Self {
            client: Arc::new(Client::new(addresses)),
            timeout: DEFAULT_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }

    /// Returns a handle whose calls take at most `timeout`, which is 2 s by default.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns a handle whose watches end after `idle_timeout` without a received
    /// message.
    ///
    /// The default is 30 s.
    #[must_use]
    pub fn with_idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Returns the number of calls made through this adapter and its clones.
    pub fn call_counts(&self) -> CallCounts {
        self.client.call_counts()
    }

    fn read_range(&self, request: &RangeRequest) -> Result<RangeResponse, Error> {
        let call = Call {
            path: path::RANGE,
            kind: CallKind::Read,
            retry: Retry::ReadOnly,
            timeout: self.timeout,
        };
        self.client.call(call, request)
    }

    fn lease_call(&self, path: &'static str, retry: Retry) -> Call {
        Call {
            path,
            kind: CallKind::Lease,
            retry,
            timeout: self.timeout,
        }
    }
}

impl Store for Gateway {
    type Watch = Watch;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let response = self.read_range(&RangeRequest::key(key))?;
        Ok(response.kvs.into_iter().next().map(to_entry))
    }

    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let response = self.read_range(&RangeRequest::prefix(prefix))?;
        Ok(Listing {
            entries: response.kvs.into_iter().map(to_entry).collect(),
            revision: response.header.map_or(0, |header| header.revision.to_u64()),
        })
    }

    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        swap.validate()?;
        let call = Call {
            path: path::TXN,
            kind: CallKind::Swap,
            retry: Retry::IfUnsent,
            timeout: self.timeout,
        };
        let response: TxnResponse = self.client.call(call, &txn_request(swap))?;
        swap_outcome(response)
    }

    fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let call = self.lease_call(path::LEASE_GRANT, Retry::IfUnsent);
        let request = LeaseGrantRequest {
            id: Int64(0),
            ttl: ceil_seconds(ttl),
        };
        let response: LeaseGrantResponse = self.client.call(call, &request)?;
        if !response.error.is_empty() {
            return Err(Error::refused(response.error));
        }
        Ok(Lease(response.id.0))
    }

    fn renew(&self, lease: Lease) -> Result<bool, Error> {
        let call = self.lease_call(path::LEASE_KEEP_ALIVE, Retry::Idempotent);
        let request = LeaseKeepAliveRequest { id: Int64(lease.0) };
        let message: KeepAliveMessage = self.client.call(call, &request)?;
        match (message.result, message.error) {
            (Some(result), _) => Ok(result.ttl.0 > 0),
            (None, Some(failure)) => Err(failure::classify(
                failure.grpc_code,
                Effect::Unknown,
                failure.message,
            )),
            (None, None) => Err(Error::malformed(
                Effect::Unknown,
                "lease renewal response without a result or an error",
            )),
        }
    }

    fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let call = self.lease_call(path::LEASE_REVOKE, Retry::Idempotent);
        let request = LeaseRevokeRequest { id: Int64(lease.0) };
        match self.client.call::<_, LeaseRevokeResponse>(call, &request) {
            Ok(_) => Ok(()),
            // An unknown lease has already ended, so its revocation counts as successful.
            Err(error) if error.is_not_found() => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn watch(&self, prefix: &str, start_revision: u64) -> Result<Watch, Error> {
        let KeyRange { key, range_end } = KeyRange::prefix(prefix);
        let request = WatchRequest {
            create_request: Some(WatchCreateRequest {
                key,
                range_end,
                start_revision: Int64::saturating_from(start_revision.max(1)),
                progress_notify: true,
            }),
        };
        let call = Call {
            path: path::WATCH,
            kind: CallKind::Watch,
            retry: Retry::ReadOnly,
            timeout: self.timeout,
        };
        let (body, active_watch) =
            self.client.stream(call, &request, self.idle_timeout)?;
        Ok(Watch::new(body, active_watch))
    }
}

fn txn_request(swap: Swap) -> TxnRequest {
    let version = match swap.expect {
        Expect::Absent => 0,
        Expect::Version(version) => version,
    };
    let success = match swap.value {
        Some(value) => RequestOp::from(PutRequest {
            key: Base64::from(swap.key.as_str()),
            lease: Int64(swap.lease.map_or(0, |lease| lease.0)),
            value: Base64(value),
        }),
        None => RequestOp::from(DeleteRangeRequest {
            key: Base64::from(swap.key.as_str()),
            range_end: Base64::default(),
        }),
    };
    TxnRequest {
        compare: vec![Compare::mod_revision(&swap.key, version)],
        success: vec![success],
        failure: vec![RequestOp::from(RangeRequest::key(&swap.key))],
    }
}

fn swap_outcome(response: TxnResponse) -> Result<Swapped, Error> {
    if response.succeeded {
        let revision = response.header.map(|header| header.revision.to_u64());
        return revision.map(Swapped::Done).ok_or_else(|| {
            Error::malformed(Effect::Unknown, "swap response without a revision")
        });
    }
    let found = response.responses.into_iter().next();
    match found.and_then(|operation| operation.response_range) {
        Some(range) => Ok(Swapped::Conflict(
            range.kvs.into_iter().next().map(to_entry),
        )),
        None => Err(Error::malformed(
            Effect::None,
            "swap conflict response without the range of the key",
        )),
    }
}

fn to_entry(found: KeyValue) -> Entry {
    Entry {
        key: decode_key(found.key),
        value: found.value.0,
        version: found.mod_revision.to_u64(),
    }
}

fn decode_key(key: Base64) -> String {
    String::from_utf8_lossy(&key.0).into_owned()
}

/// Returns a time to live in whole seconds, rounded up and at least one.
fn ceil_seconds(ttl: Duration) -> Int64 {
    let rounded = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
    Int64::saturating_from(rounded.max(1))
}
