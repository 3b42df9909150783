//! Heartbeats to peers, and transfers from those that have something newer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_config::settings::Peers;
use rhubarbrill_peer::{Client, Want};
use tokio::task::{JoinError, JoinSet};
use tokio_util::sync::CancellationToken;

use super::Node;

/// Longest wait for a peer's answer, as a multiple of the heartbeat interval.
const TIMEOUT_BEATS: u32 = 3;

/// Shortest pause between two transfers, also after a failed one.
const TRANSFER_PAUSE: Duration = Duration::from_millis(50);

/// Exchanges heartbeats with every known peer until cancelled.
pub async fn exchange(node: Arc<Node>, peers: Peers, cancel: CancellationToken) {
    tokio::join!(
        beat(&node, &peers, &cancel),
        catch_up(&node, &peers, &cancel)
    );
}

async fn beat(node: &Arc<Node>, peers: &Peers, cancel: &CancellationToken) {
    let mut round = Round::new(peers.clone());
    loop {
        node.lend();
        round.call_idle(node);
        round.settle(node);
        tokio::select! {
            () = cancel.cancelled() => return,
            () = round.wait(node) => {}
        }
        node.refresh_members();
    }
}

/// Calls to every known peer, at most one at a time to each.
#[derive(Debug)]
struct Round {
    peers: Peers,
    clients: Clients,
    calls: JoinSet<SocketAddr>,
    busy: BTreeSet<SocketAddr>,
    asked: BTreeSet<SocketAddr>,
}

impl Round {
    fn new(peers: Peers) -> Self {
        Self {
            clients: Clients::new(peers.clone()),
            peers,
            calls: JoinSet::new(),
            busy: BTreeSet::new(),
            asked: BTreeSet::new(),
        }
    }

    /// Calls every peer that no call to is under way.
    fn call_idle(&mut self, node: &Arc<Node>) {
        for address in targets(node, &self.peers.addresses) {
            let Some(client) = self.clients.get(address) else {
                continue;
            };
            if self.busy.insert(address) {
                let node = Arc::clone(node);
                self.calls.spawn(async move { call(&node, &client).await });
            }
        }
    }

    /// Marks the node as settled once every peer was asked and nothing newer is left.
    fn settle(&self, node: &Node) {
        let targets = targets(node, &self.peers.addresses);
        if !node.is_behind() && self.asked.is_superset(&targets) {
            node.set_settled();
        }
    }

    /// Waits for the next heartbeat, or for news that peers should hear of at once.
    async fn wait(&mut self, node: &Node) {
        let tick = tokio::time::sleep(self.peers.heartbeat);
        tokio::pin!(tick);
        loop {
            tokio::select! {
                () = &mut tick => return,
                () = node.news.notified() => return,
                Some(done) = self.calls.join_next() => self.take(done),
            }
            if !node.is_settled() && self.busy.is_empty() {
                return;
            }
        }
    }

    /// Notes the end of a call.
    ///
    /// A call that panicked frees no address; its peer is then heard by its own calls.
    fn take(&mut self, done: Result<SocketAddr, JoinError>) {
        if let Ok(address) = done {
            self.busy.remove(&address);
            self.asked.insert(address);
        }
    }
}

async fn call(node: &Node, client: &Client) -> SocketAddr {
    let asked = node.engine().clock().now();
    match client.beat(node.beat_to(client.address())).await {
        Ok(beat) => {
            node.note_news_of(&beat, asked);
            node.hear(beat);
        }
        Err(_) => node.withdraw_suggestion(client.address()),
    }
    client.address()
}

/// Fetches what a peer has and this entry host lacks, as soon as it is known.
async fn catch_up(node: &Arc<Node>, peers: &Peers, cancel: &CancellationToken) {
    let mut clients = Clients::new(peers.clone());
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            () = node.behind.notified() => {}
        }
        while let Some(address) = next_source(node) {
            let Some(client) = clients.get(address) else {
                break;
            };
            let (revision, ledger) = node.held();
            let transfer = client.transfer(Want { revision, ledger }).await;
            let received = transfer.is_ok_and(|transfer| {
                node.apply(|applied| applied.receive(&transfer)).is_ok()
            });
            if !received {
                break;
            }
        }
        tokio::time::sleep(TRANSFER_PAUSE).await;
    }
}

/// Returns the peer to fetch from: the newest one, of the own zone if it can be.
fn next_source(node: &Node) -> Option<SocketAddr> {
    let now = node.engine().clock().now();
    let (revision, ledger) = node.held();
    let zone = &node.member().zone;
    node.roster(|roster| {
        roster
            .peers_ahead(now, revision, ledger)
            .max_by_key(|peer| (peer.revision, peer.ledger, &peer.member.zone == zone))
            .map(|peer| peer.address)
    })
}

fn targets(node: &Node, seeds: &[SocketAddr]) -> BTreeSet<SocketAddr> {
    let mut addresses = node.peer_addresses();
    addresses.extend(seeds);
    addresses.remove(&node.address());
    addresses
}

/// One client for each peer.
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
        let timeout = self.peers.heartbeat * TIMEOUT_BEATS;
        let client =
            Client::try_new(address, self.peers.secret.reveal(), timeout).ok()?;
        self.clients.insert(address, client.clone());
        Some(client)
    }
}
