//! Failures of reading and changing the configuration.

use std::fmt;

use rhubarbrill_edge::store;

/// Why the configuration couldn't be read or changed.
#[derive(Clone, Debug)]
pub struct Error {
    kind: Kind,
    context: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Behind,
    Malformed,
    Store,
}

impl Error {
    pub(super) fn behind(context: impl Into<String>) -> Self {
        Self::new(Kind::Behind, context)
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

    /// Returns whether the store's answers don't fit together, or lag.
    pub fn is_behind(&self) -> bool {
        self.kind == Kind::Behind
    }

    /// Returns whether the store gave no usable answer.
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
            Kind::Behind => "store's answers are out of date",
            Kind::Malformed => "record can't be read",
            Kind::Store => "store failed",
        };
        write!(f, "{what}: {}", self.context)
    }
}

impl std::error::Error for Error {}
