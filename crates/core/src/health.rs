//! Outlier ejection: takes failing endpoints out of service, within the pool's budget.

mod monitor;
mod record;

pub use monitor::{Change, Monitor};
pub use record::State;
