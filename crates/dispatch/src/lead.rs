//! Leader election and the work of the leader. One process at a time makes decisions,
//! under a lease in the store.

mod authority;
mod election;
mod estimate;
mod evacuation;
mod hand_over;
mod hosts;
mod notes;
mod orders;
mod record;
mod recovery;
mod registrations;
mod renewal;
mod round;
mod save;
mod stall;
mod takeover;
mod term;

pub use election::campaign;
