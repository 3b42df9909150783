//! rouille 3.6 as a server: the behaviour because of which it serves neither callers nor
//! endpoints.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::thread;
use std::time::{Duration, Instant};

use rouille::{Request, Response, ResponseBody, Server};
use rstest::rstest;

use super::wire::{EndState, send_and_receive};

/// Handle of a running server, which stops when the handle is dropped.
struct RunningServer {
    address: SocketAddr,
    stop: Sender<()>,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        let _ = self.stop.send(());
    }
}

fn serve(
    handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
) -> RunningServer {
    let server = Server::new("127.0.0.1:0", handler).unwrap();
    let address = server.server_addr();
    let (_thread, stop) = server.stoppable();
    RunningServer { address, stop }
}

/// A response body that fails after its first bytes.
struct FailingBody(bool);

impl Read for FailingBody {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if std::mem::replace(&mut self.0, true) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        buffer[..4].copy_from_slice(b"part");
        Ok(4)
    }
}

/// A response whose body fails midway is ended as if it were complete, or isn't ended at
/// all, and the connection stays open, so that the caller can't detect the failure.
#[rstest]
#[case::with_length(Some(9), "\r\n\r\npart")]
#[case::in_chunks(None, "4\r\npart\r\n0\r\n\r\n")]
fn aborted_response_is_not_detectable(
    #[case] length: Option<usize>,
    #[case] ending: &str,
) {
    let server = serve(move |_| {
        let body = match length {
            Some(length) => {
                ResponseBody::from_reader_and_size(FailingBody(false), length)
            }
            None => ResponseBody::from_reader(FailingBody(false)),
        };
        Response {
            data: body,
            ..Response::text("")
        }
    });
    let (received, state) =
        send_and_receive(server.address, b"GET / HTTP/1.1\r\nhost: h\r\n\r\n");
    assert!(received.ends_with(ending), "{received}");
    assert_eq!(state, EndState::Open);
}

/// A request with both `Content-Length` and `Transfer-Encoding` is accepted, and the
/// bytes after it are served as a second request.
#[test]
fn both_lengths_are_accepted() {
    let server = serve(|request| {
        let mut body = String::new();
        request.data().unwrap().read_to_string(&mut body).unwrap();
        Response::text(format!("<{}:{body}>", request.raw_url()))
    });
    let request = "POST /first HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /second HTTP/1.1\r\nhost: h\r\n\r\n";
    let (received, _) = send_and_receive(server.address, request.as_bytes());
    assert!(
        received.contains("</first:>") && received.contains("</second:>"),
        "{received}"
    );
}

#[test]
fn long_request_line_is_accepted() {
    let server = serve(|request| Response::text(request.raw_url().len().to_string()));
    let path = "x".repeat(200 << 10);
    let request = format!("GET /{path} HTTP/1.1\r\nhost: h\r\n\r\n");
    let (received, _) = send_and_receive(server.address, request.as_bytes());
    assert!(received.ends_with("204801"), "{received}");
}

#[test]
fn incomplete_request_is_kept_open() {
    let server = serve(|_| Response::text("ok"));
    let (received, state) = send_and_receive(server.address, b"GET / HTTP/1.1\r\nhost");
    assert_eq!((received.as_str(), state), ("", EndState::Open));
}

/// Each open request occupies a thread, and the number of threads is not limited.
///
/// The requests are sent one by one, because when many are sent at once, some of them wait
/// behind others until those end.
#[test]
fn open_requests_are_not_limited() {
    const OPEN: usize = 100;
    const WORK: Duration = Duration::from_secs(3);
    let running = Arc::new(AtomicUsize::new(0));
    let handler_counter = Arc::clone(&running);
    let server = serve(move |_| {
        handler_counter.fetch_add(1, Ordering::SeqCst);
        thread::sleep(WORK);
        Response::text("ok")
    });
    let start = Instant::now();
    let mut streams = Vec::new();
    for open in 1..=OPEN {
        let mut stream = TcpStream::connect(server.address).unwrap();
        let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        io::Write::write_all(&mut stream, request).unwrap();
        streams.push(stream);
        while running.load(Ordering::SeqCst) < open {
            assert!(
                start.elapsed() < WORK,
                "request {open} was not handled while the others were open"
            );
            thread::sleep(Duration::from_millis(1));
        }
    }
}
