//! Assigns each workspace to one of the allowance records.

use std::fmt;

use crate::hash::fnv1a;

/// Number of records among which the workspaces are distributed by the hash of their
/// name.
///
/// All processes must agree on it, so it isn't configurable.
pub const SHARDS: u16 = 8;

/// Identifies one allowance record, which holds the workspaces of one shard.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Shard(u16);

impl Shard {
    /// Returns the shard that a workspace belongs to.
    pub fn of(workspace: &str) -> Self {
        let index = fnv1a(workspace.as_bytes()) % u64::from(SHARDS);
        Self(u16::try_from(index).unwrap_or_default())
    }

    /// Returns every shard in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }

    /// Returns the index of the shard, which is less than [`SHARDS`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
