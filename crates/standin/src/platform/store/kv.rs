//! Reads and changes of keys.

use rhubarbrill_edge::store::{Entry, Expect, Lease, Memory, Store as _, Swap, Swapped};
use rhubarbrill_wire::etcd::{
    CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, Header,
    KeyRange, KeyValue, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp,
    ResponseOp, TxnRequest, TxnResponse,
};
use rhubarbrill_wire::{Base64, Int64};

use super::answer::Refusal;

/// The keys that a range names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Selection {
    /// The key, or what every key starts with.
    pub(super) prefix: String,
    /// Whether only the key itself is meant.
    pub(super) whole: bool,
}

impl Selection {
    pub(super) fn new(key: &Base64, range_end: &Base64) -> Result<Self, Refusal> {
        let all = KeyRange::prefix("");
        if (key, range_end) == (&all.key, &all.range_end) {
            return Ok(Self {
                prefix: String::new(),
                whole: false,
            });
        }
        let prefix = utf8(key)?;
        let whole = range_end.0.is_empty();
        if !whole && KeyRange::prefix(&prefix).range_end != *range_end {
            return Err(Refusal::invalid("only ranges of a prefix are served here"));
        }
        Ok(Self { prefix, whole })
    }

    pub(super) fn contains(&self, key: &str) -> bool {
        if self.whole {
            key == self.prefix
        } else {
            key.starts_with(&self.prefix)
        }
    }
}

/// Reads one key, or the keys of a prefix, as they were `stale` revisions ago.
pub(super) fn range(
    memory: &Memory,
    request: &RangeRequest,
    stale: u64,
) -> Result<RangeResponse, Refusal> {
    let selection = Selection::new(&request.key, &request.range_end)?;
    let listing = memory.list_stale(&selection.prefix, stale);
    let mut entries = listing.entries;
    entries.retain(|entry| selection.contains(&entry.key));
    Ok(range_response(listing.revision, entries))
}

/// Writes one key whatever it holds.
pub(super) fn put(memory: &Memory, request: PutRequest) -> Result<PutResponse, Refusal> {
    let key = utf8(&request.key)?;
    let revision = overwrite(memory, &key, Some(request.value.0), lease(request.lease))?;
    Ok(PutResponse {
        header: Some(Header::at(revision)),
    })
}

/// Deletes one key, or the keys of a prefix.
pub(super) fn delete_range(
    memory: &Memory,
    request: &DeleteRangeRequest,
) -> Result<DeleteRangeResponse, Refusal> {
    let selection = Selection::new(&request.key, &request.range_end)?;
    let mut entries = memory.list(&selection.prefix)?.entries;
    entries.retain(|entry| selection.contains(&entry.key));
    for entry in &entries {
        overwrite(memory, &entry.key, None, None)?;
    }
    Ok(DeleteRangeResponse {
        deleted: Int64::saturating_from(entries.len() as u64),
        header: Some(Header::at(memory.revision())),
    })
}

/// Carries out a transaction of the one shape that rhubarbrill sends: a key's revision is
/// compared, and the key is written, deleted, or else read.
pub(super) fn txn(memory: &Memory, request: TxnRequest) -> Result<TxnResponse, Refusal> {
    let swap = swap(request)?;
    let deletes = swap.value.is_none();
    Ok(match memory.swap(swap)? {
        Swapped::Done(revision) => done(revision, deletes),
        Swapped::Conflict(found) => conflict(memory.revision(), found),
    })
}

fn swap(request: TxnRequest) -> Result<Swap, Refusal> {
    let [compare] = request.compare.as_slice() else {
        return Err(Refusal::invalid("one comparison expected"));
    };
    if compare.target != CompareTarget::Mod || compare.result != CompareResult::Equal {
        return Err(Refusal::invalid("comparison not served here"));
    }
    let expect = match compare.mod_revision.to_u64() {
        0 => Expect::Absent,
        version => Expect::Version(version),
    };
    let [operation] = <[RequestOp; 1]>::try_from(request.success)
        .map_err(|_| Refusal::invalid("one operation expected"))?;
    let (value, lease) = match (operation.request_put, operation.request_delete_range) {
        (Some(put), None) if put.key == compare.key => {
            (Some(put.value.0), lease(put.lease))
        }
        (None, Some(delete)) if delete.key == compare.key => (None, None),
        _ => return Err(Refusal::invalid("operation not served here")),
    };
    Ok(Swap {
        key: utf8(&compare.key)?,
        expect,
        value,
        lease,
    })
}

fn done(revision: u64, deletes: bool) -> TxnResponse {
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

fn conflict(revision: u64, found: Option<Entry>) -> TxnResponse {
    let range = range_response(revision, found.into_iter().collect());
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

/// Swaps until no other writer came in between.
fn overwrite(
    memory: &Memory,
    key: &str,
    value: Option<Vec<u8>>,
    lease: Option<Lease>,
) -> Result<u64, Refusal> {
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

fn utf8(key: &Base64) -> Result<String, Refusal> {
    String::from_utf8(key.0.clone())
        .map_err(|_| Refusal::invalid("only keys in UTF-8 are served here"))
}

fn lease(id: Int64) -> Option<Lease> {
    (id.0 != 0).then_some(Lease(id.0))
}
