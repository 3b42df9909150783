//! Allowances: the parts of a workspace's upper limit that entry hosts hold.
//!
//! A workspace's running work is counted by whoever starts it, against an allowance that
//! no other entry host can use at the same time. Allowances of one workspace add up to at
//! most its limit at every instant, so no counter in the middle is needed.
//!
//! A [`Ledger`] is the content of one store record and says who holds what. A [`Holder`]
//! counts running work against the units held. An [`Allocator`] plans changes of the records
//! and settles them in the holder: it deducts before a swap is sent, and adds only after
//! the swap is confirmed.

mod allocator;
mod command;
mod floor;
mod holder;
mod lapse;
mod ledger;
mod page;
mod plan;
mod settings;
mod shard;
mod sizing;

pub use allocator::{Allocator, Draft, PlanInput, SwapOutcome, VersionedLedger};
pub use command::{Command, Declaration, Limit, Rejection};
pub use floor::Division;
pub use holder::{Holder, Lease, Shortage, Units};
pub use lapse::{Evidence, Lapses, Membership};
pub use ledger::{Holding, Ledger};
pub use settings::{AllowanceSettings, Demand};
pub use shard::{SHARDS, Shard};
