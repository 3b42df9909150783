//! Deltas: differences between documents.

use serde::{Deserialize, Serialize};

use super::{Id, Section};

/// The changes that turn one document into another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Sections that are added, or replaced as a whole.
    pub upserts: Vec<Section>,
    /// Sections that are removed.
    pub removals: Vec<Id>,
}

impl Delta {
    /// Returns the number of added, replaced and removed sections.
    pub fn len(&self) -> usize {
        self.upserts.len() + self.removals.len()
    }

    /// Returns whether the delta has no changes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
