//! Spare hosts: decides when a pool borrows one and when it returns it.
//!
//! A move takes minutes and a burst lasts seconds. A move therefore responds only to
//! demand for which a host would have done enough work to pay for the move. Demand decays
//! over a limited time, which distinguishes a pool that is short of slots repeatedly from
//! one that was short once.

mod estimator;
mod policy;

pub use estimator::Demand;
pub use policy::{MoveCost, Policy};
