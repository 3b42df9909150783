//! Spare hosts: when a pool gets one, and when it gives it back.
//!
//! A move takes minutes and a burst lasts seconds, so a move answers only to demand that
//! a host would have served for long enough to pay for the move. Demand is remembered for
//! a limited time, which tells a pool that is short again and again from one that was
//! short once.

mod estimator;
mod policy;

pub use estimator::Demand;
pub use policy::{MoveCost, Policy};
