//! The daemon's settings file.
//!
//! [`SECTIONS`] lists all keys with their value types and defaults. Unknown keys are
//! rejected, and all mistakes are reported together.

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
