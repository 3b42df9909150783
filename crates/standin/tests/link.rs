//! Effects of link faults on forwarded connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rhubarbrill_standin::endpoint::{Endpoint, Options};
use rhubarbrill_standin::link::{Link, NewConnections};

const TIMEOUT: Duration = Duration::from_millis(200);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: e\r\n\r\n";

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Returns whether a request on the stream receives a response within `TIMEOUT`.
fn receives_response(stream: &mut TcpStream) -> bool {
    stream.write_all(REQUEST).is_ok() && matches!(stream.read(&mut [0; 4096]), Ok(1..))
}

fn link() -> (Endpoint, Link) {
    let endpoint = Endpoint::start(Options::new("e1"));
    let link = Link::start(endpoint.address());
    (endpoint, link)
}

#[test]
fn cut_drops_and_refuses_until_healed() {
    let (_endpoint, link) = link();
    let mut old_stream = connect(link.address());
    assert!(receives_response(&mut old_stream));
    link.cut();
    assert_eq!(old_stream.read(&mut [0]).unwrap_or(0), 0);
    assert!(TcpStream::connect(link.address()).is_err());
    link.heal();
    assert!(receives_response(&mut connect(link.address())));
}

#[test]
fn frozen_connections_are_silent_until_healed() {
    for (new_connections, works) in [
        (NewConnections::Forward, true),
        (NewConnections::Freeze, false),
    ] {
        let (endpoint, link) = link();
        let mut old_stream = connect(link.address());
        assert!(receives_response(&mut old_stream));
        link.freeze(new_connections);
        assert!(!receives_response(&mut old_stream));
        assert_eq!(receives_response(&mut connect(link.address())), works);
        assert_eq!(endpoint.counters().arrivals, 1 + u64::from(works));
        link.heal();
        assert!(matches!(old_stream.read(&mut [0; 4096]), Ok(1..)));
    }
}

#[test]
fn delay_holds_for_each_direction() {
    let (_endpoint, link) = link();
    link.delay(Duration::from_millis(40));
    let mut stream = connect(link.address());
    let start = Instant::now();
    assert!(receives_response(&mut stream));
    assert!(start.elapsed() >= Duration::from_millis(80));
    let traffic = link.traffic();
    assert_eq!(traffic.sent_bytes, REQUEST.len() as u64);
    assert_eq!(traffic.connections, 1);
}
