//! Messages of the platform's list of hosts.

pub use crate::generated::hosts::{Host, List, State, error};
