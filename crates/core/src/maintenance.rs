//! Host maintenance: which hosts are moved or out of service, and why.
//!
//! A single [`Ledger`] covers the whole fleet and is stored as one record. A command is
//! applied to a copy that was just read, and the copy is written back with a
//! compare-and-swap; a writer that loses the race has changed nothing and reads the
//! record again. Since every change is one swap of one record, each availability budget
//! is checked in the change that uses it, and a host always belongs to exactly one pool.

mod apply;
mod budget;
mod command;
mod evidence;
mod freshness;
mod ledger;
mod pool_change;
mod record;
mod refusal;
mod transition;
mod wave;
mod wave_commands;

pub(crate) use budget::Charge;
pub use budget::{BudgetScope, BudgetUsage, BudgetViolation};
pub use command::{Command, Decision};
pub use evidence::{
    DrainBlocker, DrainReport, Evidence, MemberReport, PROPAGATION_BOUND,
};
pub use freshness::Freshness;
pub use ledger::Ledger;
pub use pool_change::PoolChange;
pub use record::{Reason, Record, Step};
pub use refusal::Refusal;
pub use wave::{Pause, Phase, Selection, Wave};
