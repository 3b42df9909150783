//! Declarations and settings in INI: reading, checks, differences, keys.
//!
//! Operators keep declarations in version control. [`declaration::read`] turns a folder of
//! them into a [`Document`], the canonical content of one configuration revision. Two
//! documents differ by a [`Delta`], and a document keeps a typed
//! [`Fleet`](rhubarbrill_core::fleet::Fleet) up to date.

pub mod active;
pub mod checked_file;
pub mod declaration;
pub mod document;
mod error;
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
