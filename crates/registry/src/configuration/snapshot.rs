//! Snapshots, and the clean-up of what they replace.

use rhubarbrill_config::Document;
use rhubarbrill_edge::store::{Expect, Store, Swapped};

use super::accept::head_swap;
use super::content::split;
use super::record::{HEAD_KEY, Head, REVISIONS, revision_key, snapshot_prefix};
use super::{Configuration, Error};

impl<S: Store> Configuration<'_, S> {
    /// Writes a snapshot when one is due, and deletes what the one before it replaced.
    ///
    /// A failure is left to the next change that finds a snapshot due.
    pub(super) fn tidy(&self, head: &Head) {
        if head.number < head.snapshot + self.snapshot_interval {
            return;
        }
        if let Ok(Some(floor)) = self.write_snapshot() {
            self.delete_below(floor);
        }
    }

    /// Returns the revision up to which nothing needs to be kept, if a snapshot was written.
    fn write_snapshot(&self) -> Result<Option<u64>, Error> {
        let loaded = self.load()?;
        let whole = Document::default().diff(&loaded.document);
        self.write_parts(&snapshot_prefix(loaded.revision), &split(&whole))?;
        let Some(entry) = self.get(HEAD_KEY)? else {
            return Ok(None);
        };
        let head = Head::parse(&entry)?;
        if head.snapshot >= loaded.revision || head.number < loaded.revision {
            return Ok(None);
        }
        let next = Head {
            snapshot: loaded.revision,
            floor: head.snapshot,
            ..head
        };
        let swap = head_swap(&next, Expect::Version(entry.version))?;
        match self.swap(&swap).map_err(|failure| failure.error)? {
            Swapped::Done(_) => Ok(Some(next.floor)),
            Swapped::Conflict(_) => Ok(None),
        }
    }

    /// Deletes revisions up to the floor, and parts and snapshots of earlier ones.
    fn delete_below(&self, floor: u64) {
        let last = revision_key(floor);
        self.delete_all(REVISIONS, |key| key <= last.as_str());
        let earlier = format!("config/snapshot/{floor:020}/");
        self.delete_all("config/snapshot/", |key| key < earlier.as_str());
        let after = format!("config/part/{:020}-", floor + 1);
        self.delete_all("config/part/", |key| key < after.as_str());
    }
}
