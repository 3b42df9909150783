//! Leadership: one process at a time decides, under a lease in the store.

mod authority;
mod election;
mod hosts;
mod kept;
mod notes;
mod orders;
mod registrations;
mod save;
mod term;

pub use election::campaign;
