//! Reads, writes, deletions and transactions of keys.

use rhubarbrill_edge::store::{Entry, Expect, Lease, Memory, Store as _, Swap, Swapped};
use rhubarbrill_wire::etcd::{
    CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, Header,
    KeyRange, KeyValue, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp,
    ResponseOp, TxnRequest, TxnResponse,
};
use rhubarbrill_wire::{Base64, Int64};

use super::handler::RpcError;

/// The keys that a request selects: one key, or all keys with a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct KeyBounds {
    /// The key, or the prefix of the keys.
    pub(super) prefix: String,
    /// Whether only the key that equals `prefix` is selected.
    pub(super) exact: bool,
}

impl KeyBounds {
    pub(super) fn new(key: &Base64, range_end: &Base64) -> Result<Self, RpcError> {
        let all = KeyRange::prefix("");
        if (key, range_end) == (&all.key, &all.range_end) {
            return Ok(Self {
                prefix: String::new(),
                exact: false,
            });
        }
        let prefix = utf8(key)?;
        let exact = range_end.0.is_empty();
        if !exact && KeyRange::prefix(&prefix).range_end != *range_end {
            return Err(RpcError::invalid_argument(
                "range_end must be empty or select all keys with the prefix `key`",
            ));
        }
        Ok(Self { prefix, exact })
    }

    pub(super) fn contains(&self, key: &str) -> bool {
        if self.exact {
            key == self.prefix
        } else {
            key.starts_with(&self.prefix)
        }
    }
}

/// Reads one key, or all keys with a prefix, as they were `stale_by` revisions ago.
pub(super) fn range(
    memory: &Memory,
    request: &RangeRequest,
    stale_by: u64,
) -> Result<RangeResponse, RpcError> {
    let key_range = KeyBounds::new(&request.key, &request.range_end)?;
    let listing = memory.list_stale(&key_range.prefix, stale_by);
    let mut entries = listing.entries;
    entries.retain(|entry| key_range.contains(&entry.key));
    Ok(range_response(listing.revision, entries))
}

/// Writes one key regardless of its current revision.
pub(super) fn put(memory: &Memory, request: PutRequest) -> Result<PutResponse, RpcError> {
    let key = utf8(&request.key)?;
    let revision = overwrite(memory, &key, Some(request.value.0), lease(request.lease))?;
    Ok(PutResponse {
        header: Some(Header::at(revision)),
    })
}

/// Deletes one key, or all keys with a prefix.
pub(super) fn delete_range(
    memory: &Memory,
    request: &DeleteRangeRequest,
) -> Result<DeleteRangeResponse, RpcError> {
    let key_range = KeyBounds::new(&request.key, &request.range_end)?;
    let mut entries = memory.list(&key_range.prefix)?.entries;
    entries.retain(|entry| key_range.contains(&entry.key));
    for entry in &entries {
        overwrite(memory, &entry.key, None, None)?;
    }
    Ok(DeleteRangeResponse {
        deleted: Int64::saturating_from(entries.len() as u64),
        header: Some(Header::at(memory.revision())),
    })
}

/// Executes a transaction of the only form that rhubarbrill sends: if the revision of a
/// key equals the expected one, the key is written or deleted; otherwise it is read.
pub(super) fn txn(memory: &Memory, request: TxnRequest) -> Result<TxnResponse, RpcError> {
    let swap = parse_swap(request)?;
    let deletes = swap.value.is_none();
    Ok(match memory.swap(swap)? {
        Swapped::Done(revision) => success_response(revision, deletes),
        Swapped::Conflict(current) => conflict_response(memory.revision(), current),
    })
}

fn parse_swap(request: TxnRequest) -> Result<Swap, RpcError> {
    let [compare] = request.compare.as_slice() else {
        return Err(RpcError::invalid_argument(
            "the transaction must have exactly one comparison",
        ));
    };
    if compare.target != CompareTarget::Mod || compare.result != CompareResult::Equal {
        return Err(RpcError::invalid_argument(
            "only MOD/EQUAL comparisons are implemented",
        ));
    }
    let expect = match compare.mod_revision.to_u64() {
        0 => Expect::Absent,
        version => Expect::Version(version),
    };
    let [operation] = <[RequestOp; 1]>::try_from(request.success).map_err(|_| {
        RpcError::invalid_argument(
            "the transaction must have exactly one success operation",
        )
    })?;
    let (value, lease) = match (operation.request_put, operation.request_delete_range) {
        (Some(put), None) if put.key == compare.key => {
            (Some(put.value.0), lease(put.lease))
        }
        (None, Some(delete)) if delete.key == compare.key => (None, None),
        _ => return Err(RpcError::invalid_argument("operation not implemented")),
    };
    Ok(Swap {
        key: utf8(&compare.key)?,
        expect,
        value,
        lease,
    })
}

fn success_response(revision: u64, deletes: bool) -> TxnResponse {
    let header = Some(Header::at(revision));
    let mut response = ResponseOp::default();
    if deletes {
        response.response_delete_range = Some(DeleteRangeResponse {
            deleted: Int64(1),
            header: header.clone(),
        });
    } else {
        response.response_put = Some(PutResponse {
            header: header.clone(),
        });
    }
    TxnResponse {
        header,
        responses: vec![response],
        succeeded: true,
    }
}

fn conflict_response(revision: u64, current: Option<Entry>) -> TxnResponse {
    let range = range_response(revision, current.into_iter().collect());
    TxnResponse {
        header: range.header.clone(),
        responses: vec![ResponseOp {
            response_range: Some(range),
            ..ResponseOp::default()
        }],
        succeeded: false,
    }
}

fn range_response(revision: u64, entries: Vec<Entry>) -> RangeResponse {
    RangeResponse {
        count: Int64::saturating_from(entries.len() as u64),
        header: Some(Header::at(revision)),
        kvs: entries.into_iter().map(key_value).collect(),
    }
}

/// Sets or deletes a key, and retries when another writer has changed it in between.
fn overwrite(
    memory: &Memory,
    key: &str,
    value: Option<Vec<u8>>,
    lease: Option<Lease>,
) -> Result<u64, RpcError> {
    let mut expect = Expect::Absent;
    loop {
        let swap = Swap {
            key: key.to_owned(),
            expect,
            value: value.clone(),
            lease,
        };
        match memory.swap(swap)? {
            Swapped::Done(revision) => return Ok(revision),
            Swapped::Conflict(Some(entry)) => expect = Expect::Version(entry.version),
            Swapped::Conflict(None) => expect = Expect::Absent,
        }
    }
}

pub(super) fn key_value(entry: Entry) -> KeyValue {
    KeyValue {
        key: Base64::from(entry.key.as_str()),
        mod_revision: Int64::saturating_from(entry.version),
        value: Base64(entry.value),
        ..KeyValue::default()
    }
}

fn utf8(key: &Base64) -> Result<String, RpcError> {
    String::from_utf8(key.0.clone())
        .map_err(|_| RpcError::invalid_argument("keys must be valid UTF-8"))
}

fn lease(id: Int64) -> Option<Lease> {
    (id.0 != 0).then_some(Lease(id.0))
}
