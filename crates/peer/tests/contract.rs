//! Tests which calls a peer server accepts and which it rejects.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rhubarbrill_core::member::Member;
use rhubarbrill_peer::{
    Client, Handler, Heartbeat, Options, Server, Transfer, TransferRequest,
};
use rstest::rstest;
use tokio_util::sync::CancellationToken;

const SECRET: &str = "a shared secret";
const TIMEOUT: Duration = Duration::from_secs(2);

fn beat(entry: &str) -> Heartbeat {
    Heartbeat {
        member: Member {
            entry: entry.into(),
            zone: "z1".into(),
            incarnation: 1,
        },
        address: "127.0.0.1:1".parse().unwrap(),
        revision: 7,
        ledger: 3,
        store_reachable: true,
        draining: false,
        loads: Vec::new(),
        residents: Vec::new(),
        ejected: Vec::new(),
        ledger_age_ms: None,
        slots: Vec::new(),
        known: Vec::new(),
    }
}

#[derive(Default)]
struct CountingHandler {
    heartbeats: AtomicUsize,
    rejected: AtomicUsize,
}

impl Handler for CountingHandler {
    fn heartbeat(&self, _: Heartbeat) -> Heartbeat {
        self.heartbeats.fetch_add(1, Ordering::Relaxed);
        beat("server")
    }

    fn transfer(&self, request: TransferRequest) -> Transfer {
        let body = "x".repeat(request.revision as usize);
        let snapshot = rhubarbrill_peer::Revision { number: 9, body };
        Transfer {
            snapshot: Some(snapshot),
            ..Transfer::default()
        }
    }

    fn call_refused(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }
}

async fn start_server(cancel: &CancellationToken) -> (SocketAddr, Arc<CountingHandler>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let handler = Arc::new(CountingHandler::default());
    let options = Options {
        secret: SECRET.into(),
        cancel: cancel.clone(),
    };
    let server = Server::start(listener, Arc::clone(&handler), options)
        .await
        .unwrap();
    (server.address(), handler)
}

#[rstest]
#[case::right(SECRET, true)]
#[case::wrong("another secret", false)]
#[case::prefix("a shared", false)]
#[case::empty("", false)]
#[tokio::test]
async fn only_the_shared_secret_is_accepted(
    #[case] secret: &str,
    #[case] accepted: bool,
) {
    let cancel = CancellationToken::new();
    let (address, handler) = start_server(&cancel).await;
    let client = Client::try_new(address, secret, TIMEOUT).unwrap();
    let response = client.heartbeat(beat("client")).await;
    assert_eq!(response.is_ok(), accepted, "{response:?}");
    assert_eq!(
        handler.heartbeats.load(Ordering::Relaxed),
        usize::from(accepted)
    );
    assert_eq!(
        handler.rejected.load(Ordering::Relaxed),
        usize::from(!accepted)
    );
    cancel.cancel();
}

#[rstest]
#[case::small(1_000, true)]
#[case::a_whole_snapshot(3_000_000, true)]
#[case::over_the_limit(5_000_000, false)]
#[tokio::test]
async fn message_size_is_limited(#[case] bytes: u64, #[case] accepted: bool) {
    let cancel = CancellationToken::new();
    let (address, _) = start_server(&cancel).await;
    let client = Client::try_new(address, SECRET, TIMEOUT).unwrap();
    let response = client
        .transfer(TransferRequest {
            revision: bytes,
            ledger: 0,
        })
        .await;
    assert_eq!(response.is_ok(), accepted, "{:?}", response.map(|_| ()));
    cancel.cancel();
}

/// A heartbeat with an unknown field or without an optional one is parsed, as it occurs
/// during a rolling upgrade.
#[rstest]
#[case::new_field("incarnation", "next")]
#[case::missing_field("ejected", "ejected_since")]
fn heartbeat_of_another_version_is_parsed(#[case] known: &str, #[case] other: &str) {
    let mut value = serde_json::to_value(beat("newer")).unwrap();
    let fields = value.as_object_mut().unwrap();
    fields.remove("ejected").filter(|_| known == "ejected");
    fields.insert(other.into(), serde_json::json!(["x"]));
    let parsed: Heartbeat = serde_json::from_value(value).unwrap();
    assert_eq!(parsed, beat("newer"));
}

#[rstest]
#[case::not_json("{")]
#[case::unknown_field(
    r#"{"jsonrpc":"2.0","id":1,"method":"peer_transfer","params":[{"revision":1,"ledger":1,"x":1}]}"#
)]
#[case::negative(
    r#"{"jsonrpc":"2.0","id":1,"method":"peer_transfer","params":[{"revision":-1,"ledger":1}]}"#
)]
#[case::unknown_method(r#"{"jsonrpc":"2.0","id":1,"method":"peer_stop","params":[]}"#)]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_call_is_an_error(#[case] body: &'static str) {
    let cancel = CancellationToken::new();
    let (address, handler) = start_server(&cancel).await;
    let call = move || {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let mut response = agent
            .post(format!("http://{address}/"))
            .header("Authorization", &format!("Bearer {SECRET}"))
            .header("Content-Type", "application/json")
            .send(body)
            .unwrap();
        response.body_mut().read_to_string().unwrap()
    };
    let text = tokio::task::spawn_blocking(call).await.unwrap();
    assert!(text.contains("\"error\""), "{text}");
    assert_eq!(handler.heartbeats.load(Ordering::Relaxed), 0);
    cancel.cancel();
}
