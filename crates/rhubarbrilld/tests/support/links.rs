//! Links between entry hosts and the store, and among entry hosts, that tests can break.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use rhubarbrill_standin::link::Link;

/// First port to try; the system assigns none of these ports to outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// One link from each zone to the store, and one to the peer listener of each entry host.
#[derive(Debug, Default)]
pub struct Links {
    stores: Vec<(String, Link)>,
    peers: Vec<Link>,
}

impl Links {
    /// Returns the address at which the entry hosts of a zone reach the store, and starts
    /// the link on first use.
    pub fn store_address(&mut self, zone: &str, target: SocketAddr) -> SocketAddr {
        let known = self.stores.iter().find(|(name, _)| name == zone);
        if let Some((_, link)) = known {
            return link.address();
        }
        self.stores.push((zone.into(), Link::start(target)));
        self.stores.last().unwrap().1.address()
    }

    /// Starts a link to an entry host that listens for peers at `target`, and returns the
    /// address at which the others reach it.
    pub fn add_peer(&mut self, target: SocketAddr) -> SocketAddr {
        self.peers.push(Link::start(target));
        self.peers.last().unwrap().address()
    }

    /// Applies a change to the link from a zone to the store.
    pub fn change_store_links(&self, zone: &str, change: impl Fn(&Link)) {
        let links = self.stores.iter().filter(|(name, _)| name == zone);
        links.for_each(|(_, link)| change(link));
    }

    /// Applies a change to every link between entry hosts.
    pub fn change_peer_links(&self, change: impl Fn(&Link)) {
        self.peers.iter().for_each(change);
    }
}

/// Returns a free address whose port the system does not assign to outgoing connections,
/// so that it stays free until a process listens on it, also across a restart of that
/// process.
pub fn free_address() -> SocketAddr {
    let offset = std::process::id() as u16 % 300 * 40;
    loop {
        let next = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset + next) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
