//! The store behind etcd v3's JSON gateway.

use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_wire::etcd::{
    Compare, DeleteRangeRequest, KeepAliveMessage, KeyRange, KeyValue, LeaseGrantRequest,
    LeaseGrantResponse, LeaseKeepAliveRequest, LeaseRevokeRequest, LeaseRevokeResponse,
    PutRequest, RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse,
    WatchCreateRequest, WatchRequest, path,
};
use rhubarbrill_wire::{Base64, Int64};

use self::client::{Call, Client, Repeat};
use super::calls::Kind;
use super::{Calls, Effect, Entry, Error, Expect, Lease, Listing, Store, Swap, Swapped};

mod client;
mod failure;
mod watch;

pub use watch::Watch;

/// Longest time that a call takes by default.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a sign of life after which a watch ends by default.
const WATCH_IDLE: Duration = Duration::from_secs(30);

/// A store behind etcd v3's JSON gateway.
///
/// Clones are handles to the same connections and counters. With several addresses, a call
/// goes on to the next one where that is safe: a read always, a swap only while it can't
/// have been received. Connections aren't encrypted.
#[derive(Clone, Debug)]
pub struct Gateway {
    client: Arc<Client>,
    timeout: Duration,
    idle: Duration,
}

impl Gateway {
    /// Creates an adapter for a store at `addresses`, such as `http://10.0.0.1:2379`.
    ///
    /// Nothing is sent yet.
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
            return Err(Error::refused("no address of the store"));
        }
        Ok(Self {
            client: Arc::new(Client::new(addresses)),
            timeout: TIMEOUT,
            idle: WATCH_IDLE,
        })
    }

    /// Returns a handle whose calls take at most `timeout`.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns a handle whose watches end after `idle` without a sign of life.
    #[must_use]
    pub fn with_idle_timeout(mut self, idle: Duration) -> Self {
        self.idle = idle;
        self
    }

    /// Returns how many calls were made.
    pub fn calls(&self) -> Calls {
        self.client.calls()
    }

    fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Error> {
        let call = Call {
            path: path::RANGE,
            kind: Kind::Read,
            repeat: Repeat::Read,
            timeout: self.timeout,
        };
        self.client.call(call, request)
    }

    fn lease_call(&self, path: &'static str, repeat: Repeat) -> Call {
        Call {
            path,
            kind: Kind::Lease,
            repeat,
            timeout: self.timeout,
        }
    }
}

impl Store for Gateway {
    type Watch = Watch;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let response = self.range(&RangeRequest::key(key))?;
        Ok(response.kvs.into_iter().next().map(entry))
    }

    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let response = self.range(&RangeRequest::prefix(prefix))?;
        Ok(Listing {
            entries: response.kvs.into_iter().map(entry).collect(),
            revision: response.header.map_or(0, |header| header.revision.to_u64()),
        })
    }

    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        swap.check()?;
        let call = Call {
            path: path::TXN,
            kind: Kind::Swap,
            repeat: Repeat::Never,
            timeout: self.timeout,
        };
        let response: TxnResponse = self.client.call(call, &transaction(swap))?;
        swapped(response)
    }

    fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let call = self.lease_call(path::LEASE_GRANT, Repeat::Never);
        let request = LeaseGrantRequest {
            id: Int64(0),
            ttl: seconds(ttl),
        };
        let response: LeaseGrantResponse = self.client.call(call, &request)?;
        if !response.error.is_empty() {
            return Err(Error::refused(response.error));
        }
        Ok(Lease(response.id.0))
    }

    fn renew(&self, lease: Lease) -> Result<bool, Error> {
        let call = self.lease_call(path::LEASE_KEEP_ALIVE, Repeat::Safe);
        let request = LeaseKeepAliveRequest { id: Int64(lease.0) };
        let message: KeepAliveMessage = self.client.call(call, &request)?;
        match (message.result, message.error) {
            (Some(result), _) => Ok(result.ttl.0 > 0),
            (None, Some(failure)) => Err(failure::classify(
                failure.grpc_code,
                Effect::Unknown,
                failure.message,
            )),
            (None, None) => Err(Error::malformed(Effect::Unknown, "empty renewal")),
        }
    }

    fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let call = self.lease_call(path::LEASE_REVOKE, Repeat::Safe);
        let request = LeaseRevokeRequest { id: Int64(lease.0) };
        match self.client.call::<_, LeaseRevokeResponse>(call, &request) {
            Ok(_) => Ok(()),
            // A lease that the store doesn't know has ended, which is what was asked for.
            Err(error) if error.is_not_found() => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn watch(&self, prefix: &str, from: u64) -> Result<Watch, Error> {
        let KeyRange { key, range_end } = KeyRange::prefix(prefix);
        let request = WatchRequest {
            create_request: Some(WatchCreateRequest {
                key,
                range_end,
                start_revision: Int64::saturating_from(from.max(1)),
                progress_notify: true,
            }),
        };
        let call = Call {
            path: path::WATCH,
            kind: Kind::Watch,
            repeat: Repeat::Read,
            timeout: self.timeout,
        };
        let (body, watching) = self.client.stream(call, &request, self.idle)?;
        Ok(Watch::new(body, watching))
    }
}

fn transaction(swap: Swap) -> TxnRequest {
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

fn swapped(response: TxnResponse) -> Result<Swapped, Error> {
    if response.succeeded {
        let revision = response.header.map(|header| header.revision.to_u64());
        return revision.map(Swapped::Done).ok_or_else(|| {
            Error::malformed(Effect::Unknown, "swap answered without a revision")
        });
    }
    let found = response.responses.into_iter().next();
    match found.and_then(|operation| operation.response_range) {
        Some(range) => Ok(Swapped::Conflict(range.kvs.into_iter().next().map(entry))),
        None => Err(Error::malformed(
            Effect::None,
            "conflict answered without the key",
        )),
    }
}

fn entry(found: KeyValue) -> Entry {
    Entry {
        key: text(found.key),
        value: found.value.0,
        version: found.mod_revision.to_u64(),
    }
}

fn text(key: Base64) -> String {
    String::from_utf8_lossy(&key.0).into_owned()
}

/// Returns the whole seconds of a time to live, rounded up.
fn seconds(ttl: Duration) -> Int64 {
    let rounded = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
    Int64::saturating_from(rounded.max(1))
}
