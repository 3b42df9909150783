//! Stand-ins for the platform: its key-value store, served as by etcd v3's JSON gateway,
//! and its list of hosts.

mod hosts;
mod http;
mod store;

pub use self::hosts::Hosts;
pub use self::http::Down;
pub use self::store::{Counts, Store};
