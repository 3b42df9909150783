//! Types of rhubarbrill's external interfaces, generated from JSON Schemas.
//!
//! The schemas are in `schema/` and the generated types in `src/generated/`. Both are
//! committed, and a test compares them; `tests/generated.rs` describes how to regenerate
//! the types.

mod base64;
pub mod etcd;
mod generated;
pub mod hosts;
mod int64;
pub mod problem;

pub use base64::Base64;
pub use int64::Int64;
