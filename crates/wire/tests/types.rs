//! Tests the JSON form of the wire types.

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

/// Responses in the form of etcd 3.5, which omits members that have their default value.
#[test]
fn gateway_responses_are_parsed() {
    let text = r#"{"header":{"cluster_id":"14841639068965178418","revision":"7"},
        "responses":[{"response_range":{"header":{"revision":"7"},
        "kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"7","version":"3",
        "value":"Yg==","lease":"-9"}],"count":"1"}}]}"#;
    let response: TxnResponse = serde_json::from_str(text).unwrap();
    assert!(!response.succeeded);
    let range = response.responses[0].response_range.as_ref().unwrap();
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

fn assert_round_trip<T: Debug + DeserializeOwned + PartialEq + Serialize>(
    value: T,
    expected: Value,
) {
    assert_eq!(serde_json::to_value(&value).unwrap(), expected);
    assert_eq!(serde_json::from_value::<T>(expected).unwrap(), value);
}

#[test]
fn values_round_trip_as_json() {
    let put = PutRequest {
        key: "a".into(),
        value: Base64(vec![0, 255]),
        lease: Int64(i64::MIN),
    };
    assert_round_trip(
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
    assert_round_trip(
        Problem::new(503, "pool-full", "No host is free", 1).verdict(Verdict::NotRun),
        json!({"type": "about:blank", "title": "No host is free", "status": 503,
            "verdict": "not-run", "reason": "pool-full", "event": 1}),
    );
    let host = hosts::Host {
        name: "h1".into(),
        address: "10.0.0.1:80".into(),
        state: hosts::State::Leaving,
    };
    assert_round_trip(
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
fn integers_are_parsed(#[case] text: &str, #[case] value: Option<i64>) {
    let parsed = serde_json::from_str::<Int64>(text);
    assert_eq!(parsed.ok(), value.map(Int64));
}

#[rstest]
#[case("", &[0], &[0])]
#[case("a/", b"a/", b"a0")]
#[case("ø", &[0xc3, 0xb8], &[0xc3, 0xb9])]
#[case("\u{10ffff}", &[0xf4, 0x8f, 0xbf, 0xbf], &[0xf4, 0x8f, 0xbf, 0xc0])]
fn prefix_ranges(#[case] prefix: &str, #[case] key: &[u8], #[case] end: &[u8]) {
    let range = KeyRange::prefix(prefix);
    assert_eq!(
        (range.key.0.as_slice(), range.range_end.0.as_slice()),
        (key, end)
    );
}
