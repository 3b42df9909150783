//! Snapshots, and the deletion of records that they make obsolete.

use rhubarbrill_config::Document;
use rhubarbrill_edge::store::{Expect, Store, Swapped};

use super::accept::head_swap;
use super::content::split;
use super::record::{HEAD_KEY, Head, REVISION_PREFIX, revision_key, snapshot_prefix};
use super::{Configuration, Error};

impl<S: Store> Configuration<'_, S> {
    /// Writes a snapshot if one is due, and deletes the records that the previous
    /// snapshot made obsolete.
    ///
    /// Errors are ignored: the snapshot stays due, and the next accepted change retries
    /// it.
    pub(super) fn snapshot_if_due(&self, head: &Head) {
        if head.number < head.snapshot + self.snapshot_interval {
            return;
        }
        if let Ok(Some(floor)) = self.write_snapshot() {
            self.delete_obsolete(floor);
        }
    }

    /// Writes a snapshot, and returns the revision up to which records are obsolete.
    ///
    /// Returns `None` if there is nothing to write or another process changed the head.
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

    /// Deletes revisions and parts up to and including `floor`, and earlier snapshots.
    fn delete_obsolete(&self, floor: u64) {
        let newest_obsolete = revision_key(floor);
        self.delete_all(REVISION_PREFIX, |key| key <= newest_obsolete.as_str());
        let oldest_kept_snapshot = format!("config/snapshot/{floor:020}/");
        self.delete_all("config/snapshot/", |key| {
            key < oldest_kept_snapshot.as_str()
        });
        let oldest_kept_part = format!("config/part/{:020}-", floor + 1);
        self.delete_all("config/part/", |key| key < oldest_kept_part.as_str());
    }
}
