//! The error type of this crate.

use std::fmt;

/// An invalid document, key or value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: Kind,
    context: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Dangling,
    Invalid,
    Missing,
}

impl Error {
    pub(crate) fn dangling(context: impl Into<String>) -> Self {
        Self::new(Kind::Dangling, context)
    }

    pub(crate) fn invalid(context: impl Into<String>) -> Self {
        Self::new(Kind::Invalid, context)
    }

    pub(crate) fn missing(context: impl Into<String>) -> Self {
        Self::new(Kind::Missing, context)
    }

    fn new(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }

    /// Prefixes the context with the section or key in which the error occurred.
    pub(crate) fn at(mut self, location: &str) -> Self {
        self.context = format!("{location}: {}", self.context);
        self
    }

    /// Returns whether the error is a reference to a name that isn't declared.
    pub fn is_dangling(&self) -> bool {
        self.kind == Kind::Dangling
    }

    /// Returns the message without the kind of error.
    pub(crate) fn context(&self) -> &str {
        &self.context
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            Kind::Dangling => "undeclared name",
            Kind::Invalid => "invalid value",
            Kind::Missing => "missing key",
        };
        write!(f, "{what}: {}", self.context)
    }
}

impl std::error::Error for Error {}
