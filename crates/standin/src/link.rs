//! A TCP forwarder that simulates network faults: closed, stalled and delayed
//! connections.

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

/// Maximum number of bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Maximum number of chunks buffered in each direction of a connection.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// How a frozen link treats connections that are opened after the freeze.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewConnections {
    /// They are forwarded; only the connections opened before the freeze are stalled.
    Forward,
    /// They are accepted and then stalled, like those opened before the freeze.
    Freeze,
}

/// A direction of a forwarded connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the caller to the target.
    ToTarget,
    /// From the target to the caller.
    ToCaller,
}

/// A TCP forwarder on 127.0.0.1. Dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct Link {
    server: Server,
    mode: watch::Sender<Mode>,
    counters: Arc<TrafficCounters>,
}

/// Traffic that a link has carried since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Connections accepted, including those that have closed since.
    pub connections: u64,
    /// Bytes read from callers, including those not yet passed on to the target.
    pub sent_bytes: u64,
    /// Bytes read from the target, including those not yet passed on to a caller.
    pub received_bytes: u64,
}

#[derive(Debug, Default)]
struct TrafficCounters {
    connections: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mode {
    /// Connections with a lower index are frozen.
    frozen_below: u64,
    /// The direction in which nothing is passed on, if any.
    stalled: Option<Direction>,
    delay: Duration,
}

impl Link {
    /// Starts a forwarder to `target` on a free port.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn start(target: SocketAddr) -> Self {
        let (mode, mode_receiver) = watch::channel(Mode::default());
        let counters = Arc::new(TrafficCounters::default());
        let shared_counters = Arc::clone(&counters);
        let server = Server::start(move |listener, stop| {
            listener.accept(stop, move |stream, token| {
                let forwarder = ConnectionForwarder {
                    connection_index: shared_counters
                        .connections
                        .fetch_add(1, Ordering::SeqCst),
                    mode: mode_receiver.clone(),
                    counters: Arc::clone(&shared_counters),
                };
                tokio::spawn(forward_connection(forwarder, stream, target, token));
            })
        });
        Self {
            server,
            mode,
            counters,
        }
    }

    /// Returns the address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes every connection and refuses new ones until [`Link::heal`].
    pub fn cut(&self) {
        self.server.set_refusing(true);
    }

    /// Closes every connection and accepts new ones.
    pub fn reset(&self) {
        self.server.set_refusing(true);
        self.server.set_refusing(false);
    }

    /// Holds back all bytes and closes in one direction, with no error on either side.
    pub fn stall(&self, direction: Direction) {
        self.mode.send_modify(|mode| mode.stalled = Some(direction));
    }

    /// Holds back all bytes and closes of the open connections, with no error on either
    /// side; `new_connections` tells whether later connections are stalled as well.
    pub fn freeze(&self, new_connections: NewConnections) {
        let frozen_below = match new_connections {
            NewConnections::Forward => self.counters.connections.load(Ordering::SeqCst),
            NewConnections::Freeze => u64::MAX,
        };
        self.mode
            .send_modify(|mode| mode.frozen_below = frozen_below);
    }

    /// Delays all bytes by `delay` in each direction.
    pub fn delay(&self, delay: Duration) {
        self.mode.send_modify(|mode| mode.delay = delay);
    }

    /// Accepts connections again, passes on the bytes held back, and removes the delay.
    pub fn heal(&self) {
        self.mode.send_replace(Mode::default());
        self.server.set_refusing(false);
    }

    /// Returns the traffic that the link has carried since its start.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            connections: self.counters.connections.load(Ordering::SeqCst),
            sent_bytes: self.counters.sent_bytes.load(Ordering::SeqCst),
            received_bytes: self.counters.received_bytes.load(Ordering::SeqCst),
        }
    }
}

/// The state that one forwarded connection shares with its link.
#[derive(Clone, Debug)]
struct ConnectionForwarder {
    connection_index: u64,
    mode: watch::Receiver<Mode>,
    counters: Arc<TrafficCounters>,
}

impl ConnectionForwarder {
    /// Waits until the connection isn't frozen and, if a direction is given, until that
    /// direction isn't stalled.
    async fn wait_until_forwarding(&mut self, direction: Option<Direction>) {
        let connection_index = self.connection_index;
        let is_forwarding = |mode: &Mode| {
            let stalled = direction.is_some() && mode.stalled == direction;
            mode.frozen_below <= connection_index && !stalled
        };
        // The channel closes only when the link stops, and then this future is dropped
        // too.
        let _ = self.mode.wait_for(is_forwarding).await;
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

async fn forward_connection(
    mut forwarder: ConnectionForwarder,
    caller_stream: TcpStream,
    target: SocketAddr,
    token: CancellationToken,
) {
    let forwarding = async {
        forwarder.wait_until_forwarding(None).await;
        let Ok(target_stream) = TcpStream::connect(target).await else {
            return;
        };
        // Nagle's algorithm would hold small messages back until earlier ones are
        // acknowledged.
        let _ = target_stream.set_nodelay(true);
        let (caller_read, caller_write) = caller_stream.into_split();
        let (target_read, target_write) = target_stream.into_split();
        tokio::join!(
            forward_direction(&forwarder, Direction::ToTarget, caller_read, target_write),
            forward_direction(&forwarder, Direction::ToCaller, target_read, caller_write),
        );
    };
    tokio::select! {
        () = token.cancelled() => {}
        () = forwarding => {}
    }
}

/// Forwards one direction of a connection until its sender closes it.
async fn forward_direction(
    forwarder: &ConnectionForwarder,
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
) {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    tokio::join!(
        read_chunks(forwarder, direction, from, sender),
        write_chunks(forwarder.clone(), direction, to, receiver),
    );
}

async fn read_chunks(
    forwarder: &ConnectionForwarder,
    direction: Direction,
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
) {
    let counter = match direction {
        Direction::ToTarget => &forwarder.counters.sent_bytes,
        Direction::ToCaller => &forwarder.counters.received_bytes,
    };
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let len = from.read(&mut bytes).await.unwrap_or(0);
        if len == 0 {
            return;
        }
        counter.fetch_add(len as u64, Ordering::SeqCst);
        bytes.truncate(len);
        let due = Instant::now() + forwarder.delay();
        if sender.send(Chunk { due, bytes }).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut forwarder: ConnectionForwarder,
    direction: Direction,
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
) {
    while let Some(chunk) = receiver.recv().await {
        // Timers round up to a whole millisecond, so that a link without a delay would
        // still add latency if it slept.
        if chunk.due > Instant::now() {
            tokio::time::sleep_until(chunk.due).await;
        }
        forwarder.wait_until_forwarding(Some(direction)).await;
        if to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
    forwarder.wait_until_forwarding(Some(direction)).await;
    // The peer may have closed the connection already; then there is nothing to shut
    // down.
    let _ = to.shutdown().await;
}
