//! How the border types look as JSON.

use std::fmt::Debug;

use rhubarbrill_wire::etcd::{
    Compare, EventType, Failure, KeepAliveMessage, KeyRange, PutRequest, RangeRequest,
    RequestOp, TxnRequest, TxnResponse, WatchMessage,
};
use rhubarbrill_wire::problem::{Problem, Verdict};
use rhubarbrill_wire::{Base64, Int64, hosts};
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Answers as etcd 3.5 writes them, without members that have their default.
#[test]
fn answers_of_the_gateway_are_read() {
    let text = r#"{"header":{"cluster_id":"14841639068965178418","revision":"7"},
        "responses":[{"response_range":{"header":{"revision":"7"},
        "kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"7","version":"3",
        "value":"Yg==","lease":"-9"}],"count":"1"}}]}"#;
    let answer: TxnResponse = serde_json::from_str(text).unwrap();
    assert!(!answer.succeeded);
    let range = answer.responses[0].response_range.as_ref().unwrap();
    assert_eq!(range.kvs[0].key, Base64::from("a"));
    assert_eq!(range.kvs[0].lease, Int64(-9));
    let text = r#"{"result":{"header":{"revision":"9"},"events":[
        {"kv":{"key":"YQ==","mod_revision":"8"}},
        {"type":"DELETE","kv":{"key":"YQ==","mod_revision":"9"}}]}}"#;
    let message: WatchMessage = serde_json::from_str(text).unwrap();
    let events = message.result.unwrap().events;
    let types: Vec<EventType> = events.iter().map(|event| event.type_).collect();
    assert_eq!(types, [EventType::Put, EventType::Delete]);
    let text = r#"{"result":{"header":{},"ID":"5"}}"#;
    let renewal: KeepAliveMessage = serde_json::from_str(text).unwrap();
    assert_eq!(renewal.result.unwrap().ttl, Int64(0));
    let text = r#"{"error":"lease not found","code":5,"message":"lease not found"}"#;
    let failure: Failure = serde_json::from_str(text).unwrap();
    assert_eq!(failure.code, 5);
}

fn shows<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: T, shown: Value) {
    assert_eq!(serde_json::to_value(&value).unwrap(), shown);
    assert_eq!(serde_json::from_value::<T>(shown).unwrap(), value);
}

#[test]
fn values_are_written_and_read_back() {
    let put = PutRequest {
        key: "a".into(),
        value: Base64(vec![0, 255]),
        lease: Int64(i64::MIN),
    };
    shows(
        TxnRequest {
            compare: vec![Compare::mod_revision("a", u64::MAX)],
            success: vec![RequestOp::from(put)],
            failure: vec![RequestOp::from(RangeRequest::key("a"))],
        },
        json!({
            "compare": [{"result": "EQUAL", "target": "MOD", "key": "YQ==",
                "mod_revision": "9223372036854775807"}],
            "success": [{"request_put": {"key": "YQ==", "value": "AP8=",
                "lease": "-9223372036854775808"}}],
            "failure": [{"request_range": {"key": "YQ==", "range_end": ""}}],
        }),
    );
    shows(
        Problem::new(503, "pool-full", "No host is free", 1).verdict(Verdict::NotRun),
        json!({"type": "about:blank", "title": "No host is free", "status": 503,
            "verdict": "not-run", "reason": "pool-full", "event": 1}),
    );
    let host = hosts::Host {
        name: "h1".into(),
        address: "10.0.0.1:80".into(),
        state: hosts::State::Leaving,
    };
    shows(
        hosts::List {
            hosts: vec![host],
            as_of: 5,
        },
        json!({"hosts": [{"name": "h1", "address": "10.0.0.1:80", "state": "leaving"}],
            "as_of": 5}),
    );
}

#[rstest]
#[case(r#""12""#, Some(12))]
#[case("-3", Some(-3))]
#[case(r#""""#, None)]
#[case(r#""9223372036854775808""#, None)]
#[case("9223372036854775808", None)]
#[case("1.5", None)]
#[case("null", None)]
fn integers(#[case] text: &str, #[case] value: Option<i64>) {
    let read = serde_json::from_str::<Int64>(text);
    assert_eq!(read.ok(), value.map(Int64));
}

#[rstest]
#[case("", &[0], &[0])]
#[case("a/", b"a/", b"a0")]
#[case("ø", &[0xc3, 0xb8], &[0xc3, 0xb9])]
#[case("\u{10ffff}", &[0xf4, 0x8f, 0xbf, 0xbf], &[0xf4, 0x8f, 0xbf, 0xc0])]
fn prefixes(#[case] prefix: &str, #[case] key: &[u8], #[case] end: &[u8]) {
    let range = KeyRange::prefix(prefix);
    assert_eq!(
        (range.key.0.as_slice(), range.range_end.0.as_slice()),
        (key, end)
    );
}
