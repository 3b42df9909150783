//! Routing: the division of endpoint slots among entry hosts, and the choice of one.

mod candidates;
mod division;
mod endpoint;
mod table;

pub use division::{DivisibleEndpoint, Peer, SlotDivider};
pub use table::{ChoiceConstraints, Table};
