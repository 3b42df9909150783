//! The daemon's settings file.
//!
//! Every key stands in [`SECTIONS`], with its unit and default. Unknown keys
//! are refused, and all mistakes are reported at once.

mod model;
mod read;
mod schema;
mod sections;

pub use model::{
    Declarations, Entry, Format, Hosts, Level, Limits, Log, Peers, Secret, Settings,
    Store, StoreKind,
};
pub use read::{parse, read};
pub use schema::{SECTIONS, STORE_PREFIX, STORE_TIMEOUT};
