//! The operators' HTTP server: health, metrics and status.

mod status;

pub use status::{Status, Wave, Workspace};

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use eyre::{Result, eyre};
use rouille::{Request, Response};
use std::sync::mpsc::Sender;

/// Number of threads that answer operators.
const THREADS: usize = 2;

/// The source of health, status and metrics for the operators' server.
pub trait StatusSource: Send + Sync + 'static {
    /// Returns whether the process is alive.
    fn is_live(&self) -> bool;

    /// Returns whether the load balancer may send requests to this entry host.
    fn is_ready(&self) -> bool;

    /// Returns the status of the entry host.
    fn status(&self) -> Status;

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    fn metrics(&self) -> Result<String>;
}

/// A running HTTP server for operators. Stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts to serve operators on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start<S: StatusSource>(address: SocketAddr, source: Arc<S>) -> Result<Self> {
        let handler = move |request: &Request| answer(request, source.as_ref());
        let server = rouille::Server::new(address, handler)
            .map_err(|error| eyre!("can't listen for operators on {address}: {error}"))?
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
        // The send fails only if the server has already stopped.
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
