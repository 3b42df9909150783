//! Small stand-ins of what surrounds rhubarbrill, for tests and the example.
//!
//! Each stand-in is a server on 127.0.0.1 that runs on a thread of its own, several to a
//! process, and misbehaves on demand. Dropping its handle stops it.

mod blackhole;
pub mod endpoint;
pub mod link;
pub mod platform;
mod server;
mod tally;

pub mod users;

pub use blackhole::Blackhole;
pub use tally::{Tally, Usage};
