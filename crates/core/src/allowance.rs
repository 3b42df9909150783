//! Distributes the concurrency limit of each workspace among the entry hosts.
//!
//! The part of a limit that one entry host holds is its allowance, counted in units. One
//! unit lets one request run. Each entry host counts the work it starts against its own
//! allowance, which no other entry host can use at the same time. The allowances of a
//! workspace never add up to more than its limit, so no central counter is needed.
//!
//! An allowance consists of a floor, which doesn't expire, and of loans, which are valid
//! under the member lease of the borrowing process.
//!
//! A [`Ledger`] is the content of one store record and lists the units of each entry
//! host. A [`Holder`] counts running work against the units held. An [`Allocator`] plans
//! compare-and-swap updates of the records and applies them to the holder: it lowers the
//! holder's units before a swap is sent, and raises them only after the swap is
//! confirmed.

mod allocator;
mod command;
mod expiry;
mod floor;
mod holder;
mod ledger;
mod plan;
mod record;
mod settings;
mod shard;
mod sizing;

pub use allocator::{Allocator, Draft, PlanInput, SwapOutcome, VersionedLedger};
pub use command::{Command, Declaration, Limit, Rejection};
pub use expiry::{Evidence, ExpiredBorrowers, Membership};
pub use floor::FloorDivision;
pub use holder::{Holder, Lease, Shortage, Units};
pub use ledger::{Holding, Ledger};
pub use settings::{AllowanceSettings, Demand};
pub use shard::{SHARDS, Shard};
