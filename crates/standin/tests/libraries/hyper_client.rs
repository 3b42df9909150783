//! hyper 1 as a client: results of truncated and unusual responses, and of dropping a
//! pending request.

use std::io::Read;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::net::TcpStream;

use super::wire::{SILENCE_TIMEOUT, ScriptedServer};

/// Outcome of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Outcome {
    /// A complete response with this body, and whether the connection can be reused.
    Complete(&'static str, bool),
    /// An error before the response header section was complete.
    NoHead,
    /// A complete header section, and an error while the body was read.
    BodyFailed,
    /// No result within the time limit.
    Silent,
}

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(future)
}

async fn connect(address: std::net::SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

fn request() -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from("body"));
    let request = Request::post("/").header("host", "h");
    request.body(body).unwrap()
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    expected_body: &'static str,
) -> Outcome {
    let Ok(response) = sender.send_request(request()).await else {
        return Outcome::NoHead;
    };
    match response.into_body().collect().await {
        Ok(body) => {
            assert_eq!(body.to_bytes(), expected_body);
            tokio::time::sleep(Duration::from_millis(20)).await;
            Outcome::Complete(expected_body, sender.is_ready())
        }
        Err(_) => Outcome::BodyFailed,
    }
}

#[rstest]
#[case::plain(&["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", ""],
    Outcome::Complete("ok", true))]
#[case::chunks(&["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""],
    Outcome::Complete("ok", true))]
#[case::closing(&["HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok", ""],
    Outcome::Complete("ok", false))]
#[case::closed_without_response(&[""], Outcome::NoHead)]
#[case::silent(&["", ""], Outcome::Silent)]
#[case::head_cut(&["HTTP/1.1 200 OK\r\ncontent-le"], Outcome::NoHead)]
#[case::not_http(&["garbage\r\n\r\n"], Outcome::NoHead)]
#[case::length_cut(&["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"],
    Outcome::BodyFailed)]
#[case::chunk_cut(&["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nok"],
    Outcome::BodyFailed)]
#[case::last_chunk_missing(&["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"],
    Outcome::BodyFailed)]
#[case::until_close(&["HTTP/1.1 200 OK\r\n\r\nok"], Outcome::Complete("ok", false))]
#[case::trailing_bytes(&["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", ""],
    Outcome::Complete("ok", false))]
#[case::both_lengths(&["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\
    transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""],
    Outcome::Complete("ok", true))]
#[case::two_lengths(&["HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nokk",
    ""], Outcome::NoHead)]
#[case::informational_response_first(&["HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    ""], Outcome::Complete("ok", true))]
fn malformed_and_unusual_responses(
    #[case] responses: &'static [&'static str],
    #[case] expected: Outcome,
) {
    let server = ScriptedServer::start(1, responses);
    let expected_body = match expected {
        Outcome::Complete(expected_body, _) => expected_body,
        _ => "",
    };
    let outcome = block_on(async {
        let mut sender = connect(server.address).await;
        let exchange = exchange(&mut sender, expected_body);
        let limited = tokio::time::timeout(SILENCE_TIMEOUT / 2, exchange).await;
        limited.unwrap_or(Outcome::Silent)
    });
    assert_eq!(outcome, expected);
    assert_eq!(
        server.requests(),
        [0],
        "the request was sent more than once"
    );
}

/// Dropping a request that waits for its response closes the connection.
#[test]
fn dropping_a_pending_request_closes_the_connection() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, closed) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        while stream.read(&mut [0; 4096]).unwrap_or(0) > 0 {}
        sender.send(()).unwrap();
    });
    block_on(async {
        let mut sender = connect(address).await;
        let pending_request = sender.send_request(request());
        assert!(
            tokio::time::timeout(SILENCE_TIMEOUT / 3, pending_request)
                .await
                .is_err()
        );
        tokio::task::yield_now().await;
        tokio::time::sleep(SILENCE_TIMEOUT).await;
    });
    closed.recv_timeout(SILENCE_TIMEOUT).unwrap();
}
