//! Decision logic of rhubarbrill, free of I/O, clocks and threads.
//!
//! Every module takes state, a clock reading and a message, and returns a typed decision.
//! The daemon supplies readings and messages and carries decisions out, so that each
//! decision can be tested with tables and measured in isolation.

pub mod allowance;
pub mod claim;
pub mod contact;
pub mod fair;
pub mod fleet;
pub mod gate;
mod hash;
pub mod health;
pub mod job;
pub mod maintenance;
pub mod member;
pub mod placement;
pub mod retry;
pub mod round_trip;
pub mod route;
pub mod spare;
pub mod time;
pub mod verdict;
pub mod wave;
