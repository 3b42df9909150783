//! Errors of calls to the platform's store and host list.

use std::fmt;

/// Whether a failed call may have changed state on the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The call certainly had no effect, so it can be repeated safely.
    None,
    /// The call may have taken effect: it was possibly sent, but no usable response came.
    Unknown,
}

/// A call to the platform that failed or returned no usable response.
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
    /// Returns an error for a call that got no response.
    pub fn unreachable(effect: Effect, context: impl Into<String>) -> Self {
        Self {
            kind: Kind::Unreachable,
            effect,
            context: context.into(),
        }
    }

    /// Returns an error for a call that was rejected, so that it had no effect.
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

    /// Returns an error for a watch from a revision that the store has compacted.
    pub fn compacted(context: impl Into<String>) -> Self {
        Self {
            kind: Kind::Compacted,
            effect: Effect::None,
            context: context.into(),
        }
    }

    /// Returns an error for a compare-and-swap that lost to other writers on every
    /// attempt.
    pub fn contended(context: impl Into<String>) -> Self {
        Self {
            kind: Kind::Contended,
            effect: Effect::None,
            context: context.into(),
        }
    }

    /// Returns an error for a value or response that can't be parsed.
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

    /// Returns whether the call got no response, so that a retry may succeed.
    pub fn is_unreachable(&self) -> bool {
        self.kind == Kind::Unreachable
    }

    /// Returns whether the call was rejected, so that a retry can't succeed.
    ///
    /// Includes calls that name an unknown lease.
    pub fn is_refused(&self) -> bool {
        matches!(self.kind, Kind::NotFound | Kind::Refused)
    }

    /// Returns whether the store doesn't know the lease.
    pub fn is_not_found(&self) -> bool {
        self.kind == Kind::NotFound
    }

    /// Returns whether a watch started from a revision that the store has compacted.
    pub fn is_compacted(&self) -> bool {
        self.kind == Kind::Compacted
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = match self.kind {
            Kind::Compacted => "revision compacted",
            Kind::Contended => "conflicting writes on every attempt",
            Kind::Malformed => "malformed data",
            Kind::NotFound => "lease not found",
            Kind::Refused => "request rejected",
            Kind::Unreachable => "no response",
        };
        write!(f, "{summary}: {}", self.context)
    }
}

impl std::error::Error for Error {}
