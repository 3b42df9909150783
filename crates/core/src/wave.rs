//! Planning of maintenance waves: which hosts to drain next, and when the last host of a
//! wave will have returned to service.
//!
//! The [`Planner`] reads the maintenance ledger and the declarations and returns commands
//! for the ledger, which checks each of them again. The planner keeps no state of its
//! own, so any entry host can plan, and a new planner continues from the current ledger.

mod cancel;
mod estimate;
mod forecast;
mod planner;
mod schedule;
mod snapshot;

pub use estimate::Estimate;
pub use forecast::{Bottleneck, DeadlineStatus, Forecast};
pub use planner::Planner;
