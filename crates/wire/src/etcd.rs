//! Messages of etcd v3's JSON gateway, as far as rhubarbrill uses them.

pub use crate::generated::etcd::{
    Compare, CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse,
    Event, EventType, Failure, Header, KeepAliveMessage, KeyValue, LeaseGrantRequest,
    LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseRevokeRequest, LeaseRevokeResponse, PutRequest, PutResponse, RangeRequest,
    RangeResponse, RequestOp, ResponseOp, StreamFailure, TxnRequest, TxnResponse,
    WatchCreateRequest, WatchMessage, WatchRequest, WatchResponse, error,
};
use crate::{Base64, Int64};

/// Paths of the gateway's calls, all of which use POST.
pub mod path {
    /// Reads keys.
    pub const RANGE: &str = "/v3/kv/range";
    /// Writes a key.
    pub const PUT: &str = "/v3/kv/put";
    /// Deletes keys.
    pub const DELETE_RANGE: &str = "/v3/kv/deleterange";
    /// Runs a transaction that compares and changes keys.
    pub const TXN: &str = "/v3/kv/txn";
    /// Grants a lease.
    pub const LEASE_GRANT: &str = "/v3/lease/grant";
    /// Renews a lease.
    pub const LEASE_KEEP_ALIVE: &str = "/v3/lease/keepalive";
    /// Revokes a lease.
    pub const LEASE_REVOKE: &str = "/v3/lease/revoke";
    /// Watches keys.
    pub const WATCH: &str = "/v3/watch";
}

/// A half-open range of keys, as in the gateway's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRange {
    /// First key of the range.
    pub key: Base64,
    /// End of the range, exclusive; a single zero byte stands for no end.
    pub range_end: Base64,
}

impl KeyRange {
    /// Returns the range of the keys that start with `prefix`; all keys for an empty one.
    ///
    /// # Example
    ///
    /// ```
    /// use rhubarbrill_wire::etcd::KeyRange;
    ///
    /// let range = KeyRange::prefix("config/");
    /// assert_eq!(range.range_end.0, b"config0");
    /// ```
    pub fn prefix(prefix: &str) -> Self {
        // A single zero byte is the smallest key and, as the end, means no end.
        let unbounded = Base64(vec![0]);
        if prefix.is_empty() {
            return Self {
                key: unbounded.clone(),
                range_end: unbounded,
            };
        }
        let mut end = prefix.as_bytes().to_vec();
        while end.last() == Some(&u8::MAX) {
            end.pop();
        }
        let range_end = match end.last_mut() {
            Some(last) => {
                *last += 1;
                Base64(end)
            }
            None => unbounded,
        };
        Self {
            key: Base64::from(prefix),
            range_end,
        }
    }
}

impl RangeRequest {
    /// Creates a request that reads one key.
    pub fn key(key: &str) -> Self {
        Self {
            key: Base64::from(key),
            ..Self::default()
        }
    }

    /// Creates a request that reads the keys that start with `prefix`.
    pub fn prefix(prefix: &str) -> Self {
        let KeyRange { key, range_end } = KeyRange::prefix(prefix);
        Self { key, range_end }
    }
}

impl Compare {
    /// Creates the condition that a key was last changed at `revision`.
    ///
    /// Zero stands for a key that doesn't exist.
    pub fn mod_revision(key: &str, revision: u64) -> Self {
        Self {
            key: Base64::from(key),
            mod_revision: Int64::saturating_from(revision),
            result: CompareResult::Equal,
            target: CompareTarget::Mod,
        }
    }
}

impl From<RangeRequest> for RequestOp {
    fn from(request: RangeRequest) -> Self {
        Self {
            request_range: Some(request),
            ..Self::default()
        }
    }
}

impl From<PutRequest> for RequestOp {
    fn from(request: PutRequest) -> Self {
        Self {
            request_put: Some(request),
            ..Self::default()
        }
    }
}

impl From<DeleteRangeRequest> for RequestOp {
    fn from(request: DeleteRangeRequest) -> Self {
        Self {
            request_delete_range: Some(request),
            ..Self::default()
        }
    }
}

impl Header {
    /// Creates the header of a response at store revision `revision`.
    pub fn at(revision: u64) -> Self {
        Self {
            revision: Int64::saturating_from(revision),
        }
    }
}
