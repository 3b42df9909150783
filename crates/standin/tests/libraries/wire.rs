//! Test client and test server that read and write raw bytes.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// Time without received bytes after which a connection counts as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// State of a connection after the last byte that was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndState {
    Closed,
    Open,
}

/// Sends `bytes` on a new connection; returns the received bytes and the final state of
/// the connection.
pub fn send_and_receive(address: SocketAddr, bytes: &[u8]) -> (String, EndState) {
    let mut stream = TcpStream::connect(address).unwrap();
    // The peer may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    receive_until_silent(&mut stream)
}

/// Reads until the connection closes or receives nothing for `SILENCE_TIMEOUT`.
pub fn receive_until_silent(stream: &mut TcpStream) -> (String, EndState) {
    stream.set_read_timeout(Some(SILENCE_TIMEOUT)).unwrap();
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    let state = loop {
        match stream.read(&mut chunk) {
            Ok(0) => break EndState::Closed,
            Ok(len) => received.extend_from_slice(&chunk[..len]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break EndState::Open,
            Err(_) => break EndState::Closed,
        }
    };
    (String::from_utf8_lossy(&received).into_owned(), state)
}

/// Reads one request with its body; returns false if the connection closes before its
/// end.
pub fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return false,
            Ok(len) => request.extend_from_slice(&chunk[..len]),
        }
        if is_complete(&String::from_utf8_lossy(&request)) {
            return true;
        }
    }
}

fn is_complete(request: &str) -> bool {
    let Some((head, body)) = request.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |length| length.parse().unwrap())
}

/// A server that sends a list of prepared responses on each connection, one per request,
/// and then closes the connection.
pub struct ScriptedServer {
    pub address: SocketAddr,
    /// One message per request read: the index of its connection, or `usize::MAX` for a
    /// connection beyond the expected ones.
    pub requests: Receiver<usize>,
}

impl ScriptedServer {
    /// Serves `connections` connections with the same responses each; for an empty
    /// response, nothing is sent.
    pub fn start(connections: usize, responses: &'static [&'static str]) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, requests) = channel();
        thread::spawn(move || {
            for number in 0..connections {
                let (mut stream, _) = listener.accept().unwrap();
                for response in responses {
                    if !read_request(&mut stream) {
                        break;
                    }
                    sender.send(number).unwrap();
                    stream.write_all(response.as_bytes()).unwrap();
                }
            }
            // Any further connection is one that the client opened on its own initiative.
            while let Ok((mut stream, _)) = listener.accept() {
                if read_request(&mut stream) {
                    let _ = sender.send(usize::MAX);
                }
            }
        });
        Self { address, requests }
    }

    /// Returns the connection index of every request, once no further request has arrived
    /// for `SILENCE_TIMEOUT`.
    pub fn requests(&self) -> Vec<usize> {
        let next = || self.requests.recv_timeout(SILENCE_TIMEOUT).ok();
        std::iter::from_fn(next).collect()
    }
}
