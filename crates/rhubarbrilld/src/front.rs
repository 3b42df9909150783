//! Callers: connections, requests and answers.

mod at_most_once;
mod body;
mod head;
mod problem;
mod server;
mod service;

pub use server::{OpenConnections, Options, Server};
pub use service::{RequestLabels, Service};
