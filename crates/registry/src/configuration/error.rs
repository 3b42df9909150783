//! Errors of reading and changing the configuration.

use std::fmt;

use rhubarbrill_edge::store;

/// An error of reading or changing the configuration.
#[derive(Clone, Debug)]
pub struct Error {
    kind: Kind,
    context: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Stale,
    Malformed,
    Store,
}

impl Error {
    pub(super) fn stale(context: impl Into<String>) -> Self {
        Self::new(Kind::Stale, context)
    }

    pub(super) fn malformed(key: &str, why: impl fmt::Display) -> Self {
        Self::new(Kind::Malformed, format!("{key}: {why}"))
    }

    fn new(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }

    /// Returns whether reads of the store were stale or inconsistent with each other.
    pub fn is_stale(&self) -> bool {
        self.kind == Kind::Stale
    }

    /// Returns whether a call to the store failed.
    pub fn is_store(&self) -> bool {
        self.kind == Kind::Store
    }
}

impl From<store::Error> for Error {
    fn from(error: store::Error) -> Self {
        Self::new(Kind::Store, error.to_string())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            Kind::Stale => "stale read from the store",
            Kind::Malformed => "malformed record",
            Kind::Store => "store failed",
        };
        write!(f, "{what}: {}", self.context)
    }
}

impl std::error::Error for Error {}
