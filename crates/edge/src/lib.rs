//! Adapters to the platform: its key-value store and its list of hosts.

mod error;
pub mod hosts;
mod http;
pub mod record;
pub mod store;

pub use error::{Effect, Error};
