//! The entry daemon of rhubarbrill, as a library for its binary and its tests.

pub mod clock;
pub mod config;
pub mod control;
pub mod endpoint;
pub mod engine;
pub mod front;
pub mod log;
pub mod metrics;
pub mod operator;
pub mod run;
