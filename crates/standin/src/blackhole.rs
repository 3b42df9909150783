//! An address on which connection attempts receive no reply.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::{Builder, Runtime};

/// Upper bound on the connections opened to fill the backlog of the listener, which never
/// accepts any.
const QUEUED_CONNECTIONS: usize = 4;

/// Time after which a connection attempt counts as unanswered, which means that the
/// backlog is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// An address on 127.0.0.1 that neither accepts nor refuses connections, like the address
/// of a host that has lost power.
#[derive(Debug)]
pub struct Blackhole {
    address: SocketAddr,
    _listener: TcpListener,
    _queued_connections: Vec<TcpStream>,
    _runtime: Runtime,
}

impl Blackhole {
    /// Binds a free port and fills the backlog of its listener.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn start() -> Self {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the runtime starts");
        let guard = runtime.enter();
        let socket = TcpSocket::new_v4().expect("the socket opens");
        socket
            .bind((Ipv4Addr::LOCALHOST, 0).into())
            .expect("a port of 127.0.0.1 is free");
        let listener = socket.listen(1).expect("the bound socket can listen");
        drop(guard);
        let address = listener.local_addr().expect("the listener has an address");
        let connect = |_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok();
        Self {
            address,
            _listener: listener,
            _queued_connections: (0..QUEUED_CONNECTIONS).map_while(connect).collect(),
            _runtime: runtime,
        }
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
