//! Maintenance: which hosts are moved or out of service, and why.
//!
//! One [`Ledger`] holds every such host of the fleet, so one swap of one store record
//! checks every availability budget in the change that spends it, and a host is in one
//! pool by construction. A command is applied to a copy that was just read; whoever
//! swaps the copy in has changed the fleet, anyone else reads again.

mod apply;
mod budget;
mod command;
mod evidence;
mod freshness;
mod ledger;
mod record;
mod redeclare;
mod refusal;
mod settle;
mod transition;
mod wave;

pub(crate) use budget::Charge;
pub use budget::{BudgetScope, BudgetUsage, BudgetViolation};
pub use command::{Command, Decision};
pub use evidence::{DrainReport, Evidence, Gap, PROPAGATION_BOUND, Witness};
pub use freshness::Freshness;
pub use ledger::Ledger;
pub use record::{Reason, Record, Step};
pub use redeclare::Redeclaration;
pub use refusal::Refusal;
pub use wave::{Pause, Phase, Selection, Wave};
