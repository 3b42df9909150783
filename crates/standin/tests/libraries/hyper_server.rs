//! hyper 1 as a server: the responses that callers receive, and what the handler has to
//! handle itself.

use std::convert::Infallible;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Channel, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::wire::{EndState, receive_until_silent, send_and_receive};

const HEADER_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_BUFFER_BYTES: usize = 16 << 10;
const WORK: Duration = Duration::from_millis(150);

type Body = BoxBody<Bytes, std::io::Error>;

/// Handle of a running server, whose connections shut down gracefully when the handle is
/// dropped or `shutdown` is cancelled.
struct RunningServer {
    address: SocketAddr,
    shutdown: CancellationToken,
    /// Number of requests whose handler is running.
    in_progress: Arc<AtomicUsize>,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

/// Guard that counts a request as in progress until its handler ends or is dropped.
struct InProgressGuard(Arc<AtomicUsize>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn serve() -> RunningServer {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let running = RunningServer {
        address: listener.local_addr().unwrap(),
        shutdown: CancellationToken::new(),
        in_progress: Arc::default(),
    };
    let (shutdown, in_progress) =
        (running.shutdown.clone(), Arc::clone(&running.in_progress));
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).unwrap();
            while let Ok((stream, _)) = listener.accept().await {
                let shutdown = shutdown.clone();
                tokio::spawn(connection(stream, shutdown, Arc::clone(&in_progress)));
            }
        });
    });
    running
}

async fn connection(
    stream: tokio::net::TcpStream,
    shutdown: CancellationToken,
    in_progress: Arc<AtomicUsize>,
) {
    let service = service_fn(move |request| {
        in_progress.fetch_add(1, Ordering::SeqCst);
        let guard = InProgressGuard(Arc::clone(&in_progress));
        async move {
            let _guard = guard;
            handle(request).await
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = shutdown.cancelled() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn handle(request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let path = request.uri().path().to_owned();
    let length_headers = length_headers(request.headers());
    if path == "/unread" {
        return Ok(Response::new(full_body("unread")));
    }
    let body = request.into_body().collect().await;
    let body = body.map_or("broken".into(), |body| body.to_bytes());
    let response = match path.as_str() {
        "/cut" => Response::new(aborted_body()),
        "/cut-length" => Response::builder()
            .header("content-length", 9)
            .body(aborted_body())
            .unwrap(),
        "/slow" => {
            tokio::time::sleep(WORK).await;
            Response::new(full_body("slow"))
        }
        _ => {
            let body = String::from_utf8_lossy(&body);
            Response::new(full_body(&format!("<{path}:{length_headers}:{body}>")))
        }
    };
    Ok(response)
}

/// Returns the names of the headers about the body length that the handler receives.
fn length_headers(headers: &HeaderMap) -> String {
    let names = ["content-length", "transfer-encoding"];
    let seen = names.iter().filter(|&&name| headers.contains_key(name));
    seen.copied().collect::<Vec<_>>().join("+")
}

fn full_body(text: &str) -> Body {
    let body = Full::new(Bytes::from(text.to_owned()));
    body.map_err(|never| match never {}).boxed()
}

/// Returns a response body that fails after its first bytes.
fn aborted_body() -> Body {
    let (mut sender, body) = Channel::new(1);
    tokio::spawn(async move {
        let _ = sender.send_data(Bytes::from("part")).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        sender.abort(std::io::ErrorKind::Other.into());
    });
    body.boxed()
}

/// For each request: the end of the response, and the state of the connection after it.
#[rstest]
#[case::idle_is_closed("GET /a HTTP/1.1\r\nhost: h\r\n\r\n", "</a::>", EndState::Closed)]
#[case::half_sent("GET / HTTP/1.1\r\nhost", "", EndState::Closed)]
#[case::nothing_sent("", "", EndState::Closed)]
#[case::half_body(
    "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nhalf",
    "",
    EndState::Open
)]
#[case::body_never_read(
    "POST /unread HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nhalf",
    "unread",
    EndState::Closed
)]
#[case::cut_in_chunks(
    "GET /cut HTTP/1.1\r\nhost: h\r\n\r\n",
    "4\r\npart\r\n",
    EndState::Closed
)]
#[case::cut_with_length(
    "GET /cut-length HTTP/1.1\r\nhost: h\r\n\r\n",
    "\r\n\r\npart",
    EndState::Closed
)]
#[case::no_host("GET /a HTTP/1.1\r\n\r\n", "</a::>", EndState::Closed)]
#[case::two_hosts(
    "GET /a HTTP/1.1\r\nhost: h\r\nhost: i\r\n\r\n",
    "</a::>",
    EndState::Closed
)]
#[case::old_version("GET /a HTTP/1.0\r\n\r\n", "</a::>", EndState::Closed)]
#[case::pipelined(
    "GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n",
    "</b::>",
    EndState::Closed
)]
#[case::both_lengths(
    "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n\
    2\r\nok\r\n0\r\n\r\n",
    "</a:transfer-encoding:ok>",
    EndState::Closed
)]
#[case::both_lengths_reversed(
    "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n\
    2\r\nok\r\n0\r\n\r\n",
    "</a:transfer-encoding:ok>",
    EndState::Closed
)]
#[case::bad_chunk(
    "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nxx\r\nok\r\n",
    "</a:transfer-encoding:broken>",
    EndState::Closed
)]
#[case::expects_continue(
    "POST /a HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n",
    "100 Continue\r\n\r\n",
    EndState::Open
)]
fn responses_seen_by_callers(
    #[case] request: &str,
    #[case] ending: &str,
    #[case] state: EndState,
) {
    let server = serve();
    let (received, actual_state) = send_and_receive(server.address, request.as_bytes());
    assert!(received.ends_with(ending), "{received}");
    assert_eq!(received.is_empty(), ending.is_empty(), "{received}");
    assert_eq!(actual_state, state, "{received}");
}

/// Requests that are rejected before they reach the handler, and the response status; the
/// case `within` is below the limits and is accepted.
#[rstest]
#[case::long_line(format!("GET /{} HTTP/1.1\r\nhost: h\r\n\r\n", "x".repeat(200 << 10)), 431)]
#[case::long_header(format!("GET / HTTP/1.1\r\na: {}\r\n\r\n", "x".repeat(20 << 10)), 431)]
#[case::many_headers(format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(101)), 431)]
#[case::within(format!("GET / HTTP/1.1\r\na: {}\r\n\r\n", "x".repeat(8 << 10)), 200)]
#[case::two_lengths("POST / HTTP/1.1\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nokk".into(), 400)]
#[case::not_chunked("POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\nok".into(), 400)]
#[case::not_http("garbage\r\n\r\n".into(), 400)]
fn rejected_header_sections(#[case] request: String, #[case] status: u16) {
    let server = serve();
    let (received, _) = send_and_receive(server.address, request.as_bytes());
    assert!(
        received.starts_with(&format!("HTTP/1.1 {status}")),
        "{received}"
    );
}

fn send_and_wait(server: &RunningServer, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(server.address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    thread::sleep(WORK / 3);
    stream
}

/// A graceful shutdown closes idle connections at once, and the others after the pending
/// response.
#[test]
fn graceful_shutdown_completes_pending_responses() {
    let server = serve();
    let mut in_progress = send_and_wait(&server, "GET /slow HTTP/1.1\r\nhost: h\r\n\r\n");
    let mut idle = send_and_wait(&server, "GET /a HTTP/1.1\r\nhost: h\r\n\r\n");
    server.shutdown.cancel();
    let (received, state) = receive_until_silent(&mut idle);
    assert!(received.ends_with("</a::>") && state == EndState::Closed);
    let (received, state) = receive_until_silent(&mut in_progress);
    assert!(
        received.contains("connection: close") && received.ends_with("slow"),
        "{received}"
    );
    assert_eq!(state, EndState::Closed);
}

/// The handler is dropped when its caller disconnects.
#[test]
fn handler_is_dropped_when_the_caller_disconnects() {
    let server = serve();
    let stream = send_and_wait(&server, "GET /slow HTTP/1.1\r\nhost: h\r\n\r\n");
    assert_eq!(server.in_progress.load(Ordering::SeqCst), 1);
    drop(stream);
    thread::sleep(WORK / 3);
    assert_eq!(server.in_progress.load(Ordering::SeqCst), 0);
}

/// When a caller has pipelined another request, its disconnect isn't noticed and the
/// handler keeps running.
#[test]
fn disconnect_after_a_pipelined_request_goes_unnoticed() {
    let server = serve();
    let request = "GET /slow HTTP/1.1\r\nhost: h\r\n\r\n";
    let stream = send_and_wait(&server, &request.repeat(2));
    drop(stream);
    thread::sleep(WORK / 3);
    assert_eq!(server.in_progress.load(Ordering::SeqCst), 1);
}
