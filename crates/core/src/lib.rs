//! Decisions of rhubarbrill, free of I/O, clocks and threads.
//!
//! Every module takes state, a clock reading and a message, and returns a typed
//! decision. The daemon feeds readings and messages in and carries decisions out, so
//! each decision can be tested by tables and measured alone.

pub mod allowance;
pub mod claim;
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
pub mod route;
pub mod spare;
pub mod time;
pub mod verdict;
pub mod wave;
