//! Simulated services around rhubarbrill, for tests and examples.
//!
//! Each stand-in is a server on 127.0.0.1 that runs on its own thread and injects faults
//! on demand, so that one process can run several. Dropping the handle stops the server.

mod blackhole;
pub mod endpoint;
pub mod link;
pub mod platform;
mod server;
mod tally;

pub mod users;

pub use blackhole::Blackhole;
pub use tally::{Tally, Usage};
