//! ureq 3.5 as a client: when it sends a request again, and what can be concluded from
//! its errors.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use rhubarbrill_standin::Blackhole;
use rstest::rstest;
use ureq::{Agent, Error, Timeout};

use super::wire::ScriptedServer;

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(200)))
        .build()
        .into()
}

fn call(agent: &Agent, method: &str, address: SocketAddr) -> Result<String, Error> {
    let url = format!("http://{address}/");
    let response = match method {
        "GET" => agent.get(&url).call(),
        "POST" => agent.post(&url).send("body"),
        _ => agent.put(&url).send("body"),
    };
    response?.body_mut().read_to_string()
}

/// Category of an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ErrorCategory {
    Eof,
    Timeout,
    Protocol,
}

fn classify(error: &Error) -> ErrorCategory {
    match error {
        Error::Io(error) if error.kind() == ErrorKind::UnexpectedEof => {
            ErrorCategory::Eof
        }
        Error::Timeout(_) => ErrorCategory::Timeout,
        Error::Protocol(_) => ErrorCategory::Protocol,
        other => panic!("{other:?}"),
    }
}

/// A reused connection fails after the server has read the second request: the request is
/// never sent again.
#[rstest]
#[case::closed(&[OK_RESPONSE, ""], ErrorCategory::Eof)]
#[case::head_cut(&[OK_RESPONSE, "HTTP/1.1 200 OK\r\ncontent-le"], ErrorCategory::Eof)]
#[case::body_cut(&[OK_RESPONSE, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"],
    ErrorCategory::Eof)]
#[case::chunk_cut(&[OK_RESPONSE,
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"],
    ErrorCategory::Eof)]
#[case::not_http(&[OK_RESPONSE, "garbage\r\n\r\n"], ErrorCategory::Protocol)]
#[case::silent(&[OK_RESPONSE, "", ""], ErrorCategory::Timeout)]
fn request_is_not_resent_when_a_reused_connection_fails(
    #[values("GET", "POST", "PUT")] method: &str,
    #[case] responses: &'static [&'static str],
    #[case] expected: ErrorCategory,
) {
    let server = ScriptedServer::start(1, responses);
    let agent = agent();
    assert_eq!(call(&agent, method, server.address).unwrap(), "ok");
    let error = call(&agent, method, server.address).unwrap_err();
    assert_eq!(classify(&error), expected, "{error:?}");
    let requests = server.requests();
    assert!(requests.iter().all(|&number| number == 0), "{requests:?}");
}

/// A reused connection that the server closed while it was idle is detected before
/// anything is sent.
#[rstest]
fn closed_idle_connection_is_not_reused(#[values("GET", "POST", "PUT")] method: &str) {
    let server = ScriptedServer::start(2, &[OK_RESPONSE]);
    let agent = agent();
    call(&agent, method, server.address).unwrap();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(call(&agent, method, server.address).unwrap(), "ok");
    assert_eq!(server.requests(), [0, 1]);
}

#[test]
fn refused_connection_is_reported() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = call(&agent(), "POST", address).unwrap_err();
    let refused =
        matches!(&error, Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused);
    assert!(refused, "{error:?}");
}

/// A connection attempt without a reply is reported as a timeout of the connect phase.
#[test]
fn connect_timeout_is_reported() {
    let blackhole = Blackhole::start();
    let timeout = Duration::from_millis(50);
    let agent: Agent = Agent::config_builder()
        .timeout_connect(Some(timeout))
        .timeout_global(Some(timeout * 4))
        .build()
        .into();
    let error = call(&agent, "POST", blackhole.address()).unwrap_err();
    assert!(
        matches!(error, Error::Timeout(Timeout::Connect)),
        "{error:?}"
    );
}

/// Shutting down an agent from another thread ends a request that waits for its response.
#[test]
fn shutdown_ends_a_pending_request() {
    let server = ScriptedServer::start(1, &["", ""]);
    let agent: Agent = Agent::config_builder().build().into();
    let waiting = agent.clone();
    let thread = thread::spawn(move || call(&waiting, "GET", server.address).is_err());
    thread::sleep(Duration::from_millis(50));
    agent.shutdown();
    assert!(thread.join().unwrap());
}
