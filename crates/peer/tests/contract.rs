//! What peers may rely on: who is answered, and what is refused.

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
struct Counting {
    beats: AtomicUsize,
    refused: AtomicUsize,
}

impl Handler for Counting {
    fn heartbeat(&self, _: Heartbeat) -> Heartbeat {
        self.beats.fetch_add(1, Ordering::Relaxed);
        beat("server")
    }

    fn transfer(&self, want: TransferRequest) -> Transfer {
        let body = "x".repeat(want.revision as usize);
        let snapshot = rhubarbrill_peer::Revision { number: 9, body };
        Transfer {
            snapshot: Some(snapshot),
            ..Transfer::default()
        }
    }

    fn call_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }
}

async fn serve(cancel: &CancellationToken) -> (SocketAddr, Arc<Counting>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let handler = Arc::new(Counting::default());
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
async fn secret_decides(#[case] secret: &str, #[case] answered: bool) {
    let cancel = CancellationToken::new();
    let (address, handler) = serve(&cancel).await;
    let client = Client::try_new(address, secret, TIMEOUT).unwrap();
    let answer = client.heartbeat(beat("client")).await;
    assert_eq!(answer.is_ok(), answered, "{answer:?}");
    assert_eq!(handler.beats.load(Ordering::Relaxed), usize::from(answered));
    assert_eq!(
        handler.refused.load(Ordering::Relaxed),
        usize::from(!answered)
    );
    cancel.cancel();
}

#[rstest]
#[case::small(1_000, true)]
#[case::a_whole_snapshot(3_000_000, true)]
#[case::over_the_bound(5_000_000, false)]
#[tokio::test]
async fn size_is_bounded(#[case] bytes: u64, #[case] answered: bool) {
    let cancel = CancellationToken::new();
    let (address, _) = serve(&cancel).await;
    let client = Client::try_new(address, SECRET, TIMEOUT).unwrap();
    let answer = client
        .transfer(TransferRequest {
            revision: bytes,
            ledger: 0,
        })
        .await;
    assert_eq!(answer.is_ok(), answered, "{:?}", answer.map(|_| ()));
    cancel.cancel();
}

/// A heartbeat of a newer version is understood as far as it is known.
#[rstest]
#[case::new_field("incarnation", "next")]
#[case::missing_field("ejected", "ejected_since")]
fn heartbeat_of_another_version(#[case] known: &str, #[case] other: &str) {
    let mut value = serde_json::to_value(beat("newer")).unwrap();
    let fields = value.as_object_mut().unwrap();
    fields.remove("ejected").filter(|_| known == "ejected");
    fields.insert(other.into(), serde_json::json!(["x"]));
    let understood: Heartbeat = serde_json::from_value(value).unwrap();
    assert_eq!(understood, beat("newer"));
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
async fn malformed_is_an_error(#[case] body: &'static str) {
    let cancel = CancellationToken::new();
    let (address, handler) = serve(&cancel).await;
    let call = move || {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let mut answer = agent
            .post(format!("http://{address}/"))
            .header("Authorization", &format!("Bearer {SECRET}"))
            .header("Content-Type", "application/json")
            .send(body)
            .unwrap();
        answer.body_mut().read_to_string().unwrap()
    };
    let text = tokio::task::spawn_blocking(call).await.unwrap();
    assert!(text.contains("\"error\""), "{text}");
    assert_eq!(handler.beats.load(Ordering::Relaxed), 0);
    cancel.cancel();
}
