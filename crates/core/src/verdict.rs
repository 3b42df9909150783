//! Verdict on whether a request may have run at an endpoint.

use serde::{Deserialize, Serialize};

/// States whether a request may have run.
///
/// Variants are ordered by decreasing certainty that nothing ran. While a request is
/// being sent, its verdict only changes from [`Verdict::NotRun`] to
/// [`Verdict::MayHaveRun`].
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No part of the request can have reached an endpoint.
    NotRun,
    /// All or part of the request may have reached an endpoint.
    MayHaveRun,
    /// An endpoint answered the request in full.
    Answered,
}

impl Verdict {
    /// Returns whether the request may be sent to another endpoint without the risk of a
    /// second run.
    pub const fn allows_resend(self) -> bool {
        matches!(self, Self::NotRun)
    }

    /// Returns the name used in headers and problem bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Answered => "answered",
        }
    }
}
