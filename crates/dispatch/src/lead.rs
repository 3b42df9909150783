//! Leader election and the work of the leader. One process at a time makes decisions,
//! under a lease in the store.

mod authority;
mod election;
mod estimate;
mod hosts;
mod notes;
mod orders;
mod recovery;
mod registrations;
mod save;
mod takeover;
mod term;

pub use election::campaign;
