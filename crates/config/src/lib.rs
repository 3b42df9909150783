//! Reads and checks the fleet's declarations and the daemon's settings, both INI files.
//!
//! Operators keep declarations in version control. [`declaration::read`] parses a folder
//! of them into a [`Document`], the canonical content of one configuration revision. A
//! [`Delta`] is the difference between two documents. A document can be applied to a
//! typed [`Fleet`](rhubarbrill_core::fleet::Fleet), as a whole or by deltas.
//! [`ActiveConfiguration`] holds the revision that a process uses.

pub mod active;
pub mod checked_file;
pub mod declaration;
pub mod document;
mod error;
pub mod features;
mod ini;
pub mod key;
pub mod mistake;
pub mod questionnaire;
pub mod revision;
pub mod schema;
pub mod settings;
pub mod unit;

pub use active::ActiveConfiguration;
pub use document::{Delta, Document};
pub use error::Error;
pub use mistake::{Mistake, Report};
pub use revision::Revision;
