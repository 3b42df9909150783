//! Shared support: starts entry host processes and stand-ins, and sends requests to them.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

pub mod call;
pub mod cluster;
pub mod daemon;
pub mod fleet;
pub mod history;
pub mod jobs;
pub mod links;
pub mod load;
pub mod watch;
