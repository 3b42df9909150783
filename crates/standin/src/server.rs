//! A server on its own thread, and a listener that can be closed and reopened on one
//! port.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Delay before the next attempt after a failure to bind the port or to accept a
/// connection.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of retries to bind the port again.
const MAX_REBIND_RETRIES: u32 = 200;

/// Length of the queue of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Maximum time to start or stop refusing connections, after which the caller panics.
const MAX_TOGGLE_TIME: Duration = Duration::from_secs(2);

/// A server that runs on its own thread. Dropping it stops the server.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    token: CancellationToken,
    refuse: watch::Sender<bool>,
    refusing: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds a free port of 127.0.0.1 and runs `serve` on a new thread until the server
    /// is dropped.
    pub(crate) fn start<F, S>(serve: S) -> Self
    where
        F: Future<Output = ()>,
        S: FnOnce(Listener, CancellationToken) -> F + Send + 'static,
    {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .expect("a port of 127.0.0.1 is free");
        listener
            .set_nonblocking(true)
            .expect("the listener can be set non-blocking");
        let address = listener.local_addr().expect("the listener has an address");
        let token = CancellationToken::new();
        let stop = token.clone();
        let (refuse, refuse_receiver) = watch::channel(false);
        let refusing = Arc::new(AtomicBool::new(false));
        let refusing_flag = Arc::clone(&refusing);
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the runtime starts");
            runtime.block_on(async {
                let tcp_listener = TcpListener::from_std(listener)
                    .expect("the listener registers with the runtime");
                let listener = Listener {
                    address,
                    tcp_listener,
                    refuse: refuse_receiver,
                    refusing: refusing_flag,
                };
                serve(listener, stop).await;
            });
        });
        Self {
            address,
            token,
            refuse,
            refusing,
            thread: Some(thread),
        }
    }

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection and refuses new ones if `refuse` is set, or accepts
    /// connections again if not.
    ///
    /// Returns once the change has taken effect.
    pub(crate) fn set_refusing(&self, refuse: bool) {
        self.refuse.send_replace(refuse);
        let start = Instant::now();
        while self.refusing.load(Ordering::SeqCst) != refuse {
            assert!(
                start.elapsed() < MAX_TOGGLE_TIME,
                "the listener took too long to start or stop refusing connections"
            );
            thread::sleep(Duration::from_micros(200));
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.token.cancel();
        if let Some(thread) = self.thread.take() {
            // A panic on the server thread has already been printed by that thread.
            let _ = thread.join();
        }
    }
}

/// A listener whose port stays bound while it refuses connections.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    tcp_listener: TcpListener,
    refuse: watch::Receiver<bool>,
    refusing: Arc<AtomicBool>,
}

impl Listener {
    /// Passes accepted connections to `on_connection` until `stop` is cancelled.
    ///
    /// The token passed along with a connection is cancelled when the listener starts to
    /// refuse connections, and when `stop` is cancelled.
    pub(crate) async fn accept<H>(self, stop: CancellationToken, mut on_connection: H)
    where
        H: FnMut(TcpStream, CancellationToken),
    {
        let Self {
            address,
            tcp_listener,
            mut refuse,
            refusing,
        } = self;
        let mut listener = tcp_listener;
        loop {
            refusing.store(false, Ordering::SeqCst);
            let connections_token = stop.child_token();
            tokio::select! {
                () = stop.cancelled() => return,
                _ = refuse.wait_for(|&refuse| refuse) => {}
                () = accept_all(&listener, &connections_token, &mut on_connection) => {}
            }
            drop(listener);
            connections_token.cancel();
            let Ok(reserved_socket) = reserve(address).await else {
                return;
            };
            // Lets the connection tasks run, so that they notice the cancellation.
            tokio::task::yield_now().await;
            refusing.store(true, Ordering::SeqCst);
            tokio::select! {
                () = stop.cancelled() => return,
                _ = refuse.wait_for(|&refuse| !refuse) => {}
            }
            listener = match reserved_socket.listen(BACKLOG) {
                Ok(listener) => listener,
                Err(_) => return,
            };
        }
    }
}

async fn accept_all<H>(
    listener: &TcpListener,
    connections_token: &CancellationToken,
    on_connection: &mut H,
) where
    H: FnMut(TcpStream, CancellationToken),
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Responses are small: Nagle's algorithm would delay them and distort
                // measured latencies.
                let _ = stream.set_nodelay(true);
                on_connection(stream, connections_token.child_token());
            }
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Binds the port without listening on it, so that connections to it are refused.
async fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let mut retries = 0;
    loop {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        match socket.bind(address) {
            Ok(()) => return Ok(socket),
            Err(error) if retries >= MAX_REBIND_RETRIES => return Err(error),
            Err(_) => retries += 1,
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
