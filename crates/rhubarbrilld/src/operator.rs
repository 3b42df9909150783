//! The operators' address: health, metrics and status.

mod status;

pub use status::{Status, Wave, Workspace};

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use eyre::{Result, eyre};
use rouille::{Request, Response};
use std::sync::mpsc::Sender;

/// Threads that answer operators.
const THREADS: usize = 2;

/// What the operators' address tells.
pub trait StatusSource: Send + Sync + 'static {
    /// Returns whether the process works.
    fn is_live(&self) -> bool;

    /// Returns whether the balancer may send requests.
    fn is_ready(&self) -> bool;

    /// Returns the state that operators ask for.
    fn status(&self) -> Status;

    /// Returns every metric in the Prometheus text form.
    ///
    /// # Errors
    ///
    /// Fails when a reading can't be written out.
    fn metrics(&self) -> Result<String>;
}

/// A running server for operators; ends when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts to answer operators on `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub fn start<S: StatusSource>(address: SocketAddr, source: Arc<S>) -> Result<Self> {
        let handler = move |request: &Request| answer(request, source.as_ref());
        let server = rouille::Server::new(address, handler)
            .map_err(|error| eyre!("operators' address {address}: {error}"))?
            .pool_size(THREADS);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that operators connect to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // A server that has already ended needs no stop.
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn answer<S: StatusSource>(request: &Request, source: &S) -> Response {
    if request.method() != "GET" {
        return Response::text("only GET is answered\n").with_status_code(405);
    }
    match request.url().as_str() {
        "/live" => health(source.is_live()),
        "/ready" => health(source.is_ready()),
        "/status" => Response::json(&source.status()),
        "/metrics" => metrics(source),
        _ => Response::empty_404(),
    }
}

fn health(good: bool) -> Response {
    let (text, status) = if good { ("yes\n", 200) } else { ("no\n", 503) };
    Response::text(text).with_status_code(status)
}

fn metrics<S: StatusSource>(source: &S) -> Response {
    match source.metrics() {
        Ok(text) => Response::from_data("text/plain; version=0.0.4", text),
        Err(error) => Response::text(format!("{error}\n")).with_status_code(500),
    }
}
