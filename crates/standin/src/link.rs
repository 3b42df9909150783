//! A TCP forwarder that can be cut, frozen, delayed and healed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::server::Server;

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Chunks in flight in one direction of one connection.
const CHUNKS_IN_FLIGHT: usize = 64;

/// What a frozen link does with connections opened after it froze.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewConnections {
    /// They work: only the older connections have gone silent.
    Forward,
    /// They are accepted and then silent like the older ones.
    Freeze,
}

/// A direction of a connection, seen from the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the caller to the target.
    ToTarget,
    /// From the target to the caller.
    ToCaller,
}

/// A TCP forwarder on 127.0.0.1.
#[derive(Debug)]
pub struct Link {
    server: Server,
    mode: watch::Sender<Mode>,
    counts: Arc<Counts>,
}

/// What a link has carried.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes read from callers.
    pub sent_bytes: u64,
    /// Bytes read from the target.
    pub received_bytes: u64,
}

#[derive(Debug, Default)]
struct Counts {
    connections: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mode {
    /// Connections with a lower number are frozen.
    frozen_below: u64,
    /// A direction that carries nothing.
    silent: Option<Direction>,
    delay: Duration,
}

impl Link {
    /// Starts a forwarder to `target`.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn start(target: SocketAddr) -> Self {
        let (mode, mode_seen) = watch::channel(Mode::default());
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        let server = Server::start(move |listener, stop| {
            listener.accept(stop, move |stream, token| {
                let forward = ConnectionForwarder {
                    number: shared.connections.fetch_add(1, Ordering::SeqCst),
                    mode: mode_seen.clone(),
                    counts: Arc::clone(&shared),
                };
                tokio::spawn(run(forward, stream, target, token));
            })
        });
        Self {
            server,
            mode,
            counts,
        }
    }

    /// Returns where the link listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Drops every connection and refuses new ones.
    pub fn cut(&self) {
        self.server.set_refusing(true);
    }

    /// Drops every connection; new ones work.
    pub fn reset(&self) {
        self.server.set_refusing(true);
        self.server.set_refusing(false);
    }

    /// Holds every byte and every close in one direction without a sign.
    pub fn stall(&self, direction: Direction) {
        self.mode.send_modify(|mode| mode.silent = Some(direction));
    }

    /// Holds every byte and every close of the present connections without a sign.
    pub fn freeze(&self, new_connections: NewConnections) {
        let frozen_below = match new_connections {
            NewConnections::Forward => self.counts.connections.load(Ordering::SeqCst),
            NewConnections::Freeze => u64::MAX,
        };
        self.mode
            .send_modify(|mode| mode.frozen_below = frozen_below);
    }

    /// Delays every byte by `delay` in each direction.
    pub fn delay(&self, delay: Duration) {
        self.mode.send_modify(|mode| mode.delay = delay);
    }

    /// Accepts connections again, lets held bytes go on, and ends the delay.
    pub fn heal(&self) {
        self.mode.send_replace(Mode::default());
        self.server.set_refusing(false);
    }

    /// Returns what the link has carried.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            connections: self.counts.connections.load(Ordering::SeqCst),
            sent_bytes: self.counts.sent_bytes.load(Ordering::SeqCst),
            received_bytes: self.counts.received_bytes.load(Ordering::SeqCst),
        }
    }
}

/// One connection's view of the link.
#[derive(Clone, Debug)]
struct ConnectionForwarder {
    number: u64,
    mode: watch::Receiver<Mode>,
    counts: Arc<Counts>,
}

impl ConnectionForwarder {
    /// Waits until the connection isn't frozen, in one direction if one is given.
    async fn thawed(&mut self, direction: Option<Direction>) {
        let number = self.number;
        let carries = |mode: &Mode| {
            let silent = direction.is_some() && mode.silent == direction;
            mode.frozen_below <= number && !silent
        };
        // The channel closes only when the link stops, which drops this future as well.
        let _ = self.mode.wait_for(carries).await;
    }

    fn delay(&self) -> Duration {
        self.mode.borrow().delay
    }
}

#[derive(Debug)]
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

async fn run(
    mut forward: ConnectionForwarder,
    near: TcpStream,
    target: SocketAddr,
    token: CancellationToken,
) {
    let carry = async {
        forward.thawed(None).await;
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        // Small messages would otherwise wait for one another.
        let _ = far.set_nodelay(true);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::join!(
            pump(&forward, Direction::ToTarget, near_read, far_write),
            pump(&forward, Direction::ToCaller, far_read, near_write),
        );
    };
    tokio::select! {
        () = token.cancelled() => {}
        () = carry => {}
    }
}

/// Carries one direction until its end.
async fn pump(
    forward: &ConnectionForwarder,
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
) {
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
    tokio::join!(
        fill(forward, direction, from, sender),
        drain(forward.clone(), direction, to, receiver),
    );
}

async fn fill(
    forward: &ConnectionForwarder,
    direction: Direction,
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
) {
    let counter = match direction {
        Direction::ToTarget => &forward.counts.sent_bytes,
        Direction::ToCaller => &forward.counts.received_bytes,
    };
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let len = from.read(&mut bytes).await.unwrap_or(0);
        if len == 0 {
            return;
        }
        counter.fetch_add(len as u64, Ordering::SeqCst);
        bytes.truncate(len);
        let due = Instant::now() + forward.delay();
        if sender.send(Chunk { due, bytes }).await.is_err() {
            return;
        }
    }
}

async fn drain(
    mut forward: ConnectionForwarder,
    direction: Direction,
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
) {
    while let Some(chunk) = receiver.recv().await {
        // The timer rounds up to a millisecond, which would show without a delay.
        if chunk.due > Instant::now() {
            tokio::time::sleep_until(chunk.due).await;
        }
        forward.thawed(Some(direction)).await;
        if to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
    forward.thawed(Some(direction)).await;
    // The peer may be gone already; then there is nobody left to tell.
    let _ = to.shutdown().await;
}
