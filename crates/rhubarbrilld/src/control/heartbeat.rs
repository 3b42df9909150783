//! Sends heartbeats to peers and fetches newer configuration and ledgers from them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_config::settings::Peers;
use rhubarbrill_peer::{Client, TransferRequest};
use tokio::task::{JoinError, JoinSet};
use tokio_util::sync::CancellationToken;

use super::Node;

/// Longest wait for a peer's response, as a multiple of the heartbeat interval.
const TIMEOUT_HEARTBEATS: u32 = 3;

/// Shortest pause between two rounds of transfers, also after a failed transfer.
const TRANSFER_PAUSE: Duration = Duration::from_millis(50);

/// Exchanges heartbeats with every known peer until cancelled, and fetches what peers
/// have that is newer.
pub async fn exchange(node: Arc<Node>, peers: Peers, cancel: CancellationToken) {
    tokio::join!(
        send_heartbeats(&node, &peers, &cancel),
        fetch_updates(&node, &peers, &cancel)
    );
}

async fn send_heartbeats(node: &Arc<Node>, peers: &Peers, cancel: &CancellationToken) {
    let mut calls = HeartbeatCalls::new(peers.clone());
    loop {
        node.lend();
        calls.start_calls(node);
        calls.check_caught_up(node);
        tokio::select! {
            () = cancel.cancelled() => return,
            () = calls.wait(node) => {}
        }
        node.refresh_members();
    }
}

/// Heartbeat calls to every known peer, with at most one call to each in flight.
#[derive(Debug)]
struct HeartbeatCalls {
    peers: Peers,
    clients: Clients,
    calls: JoinSet<SocketAddr>,
    in_flight: BTreeSet<SocketAddr>,
    called: BTreeSet<SocketAddr>,
}

impl HeartbeatCalls {
    fn new(peers: Peers) -> Self {
        Self {
            clients: Clients::new(peers.clone()),
            peers,
            calls: JoinSet::new(),
            in_flight: BTreeSet::new(),
            called: BTreeSet::new(),
        }
    }

    /// Starts a call to every peer that has no call in flight.
    fn start_calls(&mut self, node: &Arc<Node>) {
        for address in peer_addresses(node, &self.peers.addresses) {
            let Some(client) = self.clients.get(address) else {
                continue;
            };
            if self.in_flight.insert(address) {
                let node = Arc::clone(node);
                self.calls.spawn(async move { call(&node, &client).await });
            }
        }
    }

    /// Marks the node as caught up once every peer has been called and none has a newer
    /// version.
    fn check_caught_up(&self, node: &Node) {
        let peer_addresses = peer_addresses(node, &self.peers.addresses);
        if !node.is_behind() && self.called.is_superset(&peer_addresses) {
            node.set_caught_up();
        }
    }

    /// Waits until the next heartbeat is due, or until there is a change to send to peers
    /// at once.
    async fn wait(&mut self, node: &Node) {
        let tick = tokio::time::sleep(self.peers.heartbeat);
        tokio::pin!(tick);
        loop {
            tokio::select! {
                () = &mut tick => return,
                () = node.heartbeat_due.notified() => return,
                Some(result) = self.calls.join_next() => self.finish_call(result),
            }
            if !node.is_caught_up() && self.in_flight.is_empty() {
                return;
            }
        }
    }

    /// Records the end of a call.
    ///
    /// A call that panicked leaves its address marked as in flight. That peer is not
    /// called again, but the heartbeats that it sends itself are still received.
    fn finish_call(&mut self, result: Result<SocketAddr, JoinError>) {
        if let Ok(address) = result {
            self.in_flight.remove(&address);
            self.called.insert(address);
        }
    }
}

async fn call(node: &Node, client: &Client) -> SocketAddr {
    let sent_at = node.engine().clock().now();
    match client.heartbeat(node.heartbeat_to(client.address())).await {
        Ok(beat) => {
            node.record_peer_freshness(&beat, sent_at);
            node.receive_heartbeat(beat);
        }
        Err(_) => node.remove_candidate(client.address()),
    }
    client.address()
}

/// Fetches newer versions from peers as soon as one is reported.
async fn fetch_updates(node: &Arc<Node>, peers: &Peers, cancel: &CancellationToken) {
    let mut clients = Clients::new(peers.clone());
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            () = node.transfer_due.notified() => {}
        }
        while let Some(address) = transfer_source(node) {
            let Some(client) = clients.get(address) else {
                break;
            };
            let (revision, ledger) = node.versions();
            let transfer = client.transfer(TransferRequest { revision, ledger }).await;
            let received = transfer.is_ok_and(|transfer| {
                node.apply(|applied| applied.apply_transfer(&transfer))
                    .is_ok()
            });
            if !received {
                break;
            }
        }
        tokio::time::sleep(TRANSFER_PAUSE).await;
    }
}

/// Returns the address of the peer to fetch from: one with the newest versions, in this
/// host's own availability zone if possible.
fn transfer_source(node: &Node) -> Option<SocketAddr> {
    let now = node.engine().clock().now();
    let (revision, ledger) = node.versions();
    let zone = &node.member().zone;
    node.roster(|roster| {
        roster
            .peers_ahead(now, revision, ledger)
            .max_by_key(|peer| (peer.revision, peer.ledger, &peer.member.zone == zone))
            .map(|peer| peer.address)
    })
}

fn peer_addresses(node: &Node, seeds: &[SocketAddr]) -> BTreeSet<SocketAddr> {
    let mut addresses = node.peer_addresses();
    addresses.extend(seeds);
    addresses.remove(&node.address());
    addresses
}

/// Caches one client per peer.
#[derive(Debug)]
struct Clients {
    peers: Peers,
    clients: BTreeMap<SocketAddr, Client>,
}

impl Clients {
    const fn new(peers: Peers) -> Self {
        Self {
            peers,
            clients: BTreeMap::new(),
        }
    }

    fn get(&mut self, address: SocketAddr) -> Option<Client> {
        if let Some(client) = self.clients.get(&address) {
            return Some(client.clone());
        }
        let timeout = self.peers.heartbeat * TIMEOUT_HEARTBEATS;
        let client =
            Client::try_new(address, self.peers.secret.reveal(), timeout).ok()?;
        self.clients.insert(address, client.clone());
        Some(client)
    }
}
