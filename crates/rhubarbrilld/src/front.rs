//! The HTTP server for callers: connections, requests and responses.

mod at_most_once;
mod body;
mod head;
mod problem;
mod server;
mod service;

pub use server::{OpenConnections, Options, Server};
pub use service::{RequestLabels, Service};
