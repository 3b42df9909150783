//! Which record a workspace's allowances are kept in.

use std::fmt;

use crate::hash::fnv1a;

/// Number of records that the workspaces are spread over.
///
/// Every process must agree on it, so it is no setting.
pub const SHARDS: u16 = 8;

/// Names one record of allowances.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Shard(u16);

impl Shard {
    /// Returns the shard that a workspace belongs to.
    pub fn of(workspace: &str) -> Self {
        let index = fnv1a(workspace.as_bytes()) % u64::from(SHARDS);
        Self(u16::try_from(index).unwrap_or_default())
    }

    /// Returns every shard.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }

    /// Returns the position of the shard, below [`SHARDS`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
