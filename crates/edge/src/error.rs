//! Failures of calls to the platform.

use std::fmt;

/// Whether a failed call may have changed anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The call can't have taken effect.
    None,
    /// The call may have taken effect although no answer came.
    Unknown,
}

/// A call to the platform without a usable answer.
#[derive(Clone, Debug)]
pub struct Error {
    kind: Kind,
    effect: Effect,
    context: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Compacted,
    Contended,
    Malformed,
    NotFound,
    Refused,
    Unreachable,
}

impl Error {
    /// Returns an error for a call that got no answer.
    pub fn unreachable(effect: Effect, context: impl Into<String>) -> Self {
        Self {
            kind: Kind::Unreachable,
            effect,
            context: context.into(),
        }
    }

    /// Returns an error for a call that the platform refused.
    pub fn refused(context: impl Into<String>) -> Self {
        Self {
            kind: Kind::Refused,
            effect: Effect::None,
            context: context.into(),
        }
    }

    /// Returns an error for a lease that the store doesn't know.
    pub fn not_found(context: impl Into<String>) -> Self {
        Self {
            kind: Kind::NotFound,
            effect: Effect::None,
            context: context.into(),
        }
    }

    /// Returns an error for a watch from a revision that the store has dropped.
    pub fn compacted(context: impl Into<String>) -> Self {
        Self {
            kind: Kind::Compacted,
            effect: Effect::None,
            context: context.into(),
        }
    }

    /// Returns an error for a key that others changed on every try.
    pub fn contended(context: impl Into<String>) -> Self {
        Self {
            kind: Kind::Contended,
            effect: Effect::None,
            context: context.into(),
        }
    }

    /// Returns an error for a value or answer that can't be read.
    pub fn malformed(effect: Effect, context: impl Into<String>) -> Self {
        Self {
            kind: Kind::Malformed,
            effect,
            context: context.into(),
        }
    }

    /// Returns the same error with another effect.
    pub(crate) fn with_effect(mut self, effect: Effect) -> Self {
        self.effect = effect;
        self
    }

    /// Returns whether the call may have taken effect.
    pub const fn effect(&self) -> Effect {
        self.effect
    }

    /// Returns whether no answer came, so that another try may help.
    pub fn is_unreachable(&self) -> bool {
        self.kind == Kind::Unreachable
    }

    /// Returns whether the call was refused, so that another try is futile.
    pub fn is_refused(&self) -> bool {
        matches!(self.kind, Kind::NotFound | Kind::Refused)
    }

    /// Returns whether the store doesn't know the lease.
    pub fn is_not_found(&self) -> bool {
        self.kind == Kind::NotFound
    }

    /// Returns whether a watch asked for a revision that the store has dropped.
    pub fn is_compacted(&self) -> bool {
        self.kind == Kind::Compacted
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            Kind::Compacted => "revision no longer kept",
            Kind::Contended => "changed by others on every try",
            Kind::Malformed => "not readable",
            Kind::NotFound => "lease not found",
            Kind::Refused => "call refused",
            Kind::Unreachable => "no answer",
        };
        write!(f, "{what}: {}", self.context)
    }
}

impl std::error::Error for Error {}
