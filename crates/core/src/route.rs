//! Routing: divides endpoint slots among entry hosts and chooses an endpoint for each
//! request.

mod candidates;
mod division;
mod endpoint;
mod table;

pub use division::{DivisibleEndpoint, Peer, SlotDivider};
pub use table::{ChoiceConstraints, Table};
