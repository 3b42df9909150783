//! Starts entry hosts as processes of their own, and calls them.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod call;
pub mod cluster;
pub mod daemon;
pub mod fleet;
pub mod history;
pub mod jobs;
pub mod links;
pub mod load;
pub mod watch;
