//! Probes whether endpoints accept TCP connections.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of concurrent probes.
const MAX_CONCURRENT_PROBES: usize = 32;

/// Returns the hosts whose endpoint accepts a connection.
pub(super) fn reachable(hosts: Vec<(&str, SocketAddr)>) -> BTreeSet<&str> {
    let mut reachable = BTreeSet::new();
    for chunk in hosts.chunks(MAX_CONCURRENT_PROBES) {
        thread::scope(|scope| {
            let probes: Vec<_> = chunk
                .iter()
                .map(|&(host, address)| {
                    (host, scope.spawn(move || accepts_connection(&address)))
                })
                .collect();
            for (host, probe) in probes {
                if probe.join().unwrap_or(false) {
                    reachable.insert(host);
                }
            }
        });
    }
    reachable
}

fn accepts_connection(address: &SocketAddr) -> bool {
    TcpStream::connect_timeout(address, CONNECT_TIMEOUT).is_ok()
}
