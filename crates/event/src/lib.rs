//! Catalogue of the numbered events that the daemon logs.
//!
//! The meaning of an event number never changes, so that operators can configure alarms
//! on it. `docs/EVENTS.md` documents the catalogue; a test checks that both agree.

mod catalogue;

pub use catalogue::{Event, Severity};
