//! Changes and snapshots that are too large for one value of the store.

use rhubarbrill_config::Delta;
use rhubarbrill_config::document::{Id, Section};
use rhubarbrill_edge::store::{Expect, Store, Swap, Swapped};
use uuid::Uuid;

use super::record::{Content, parse, part_prefix, serialize};
use super::retry::SwapFailure;
use super::{Configuration, Error};

/// Estimated size above which a value is split; the store accepts values up to a
/// megabyte.
const MAX_PART_BYTES: usize = 600_000;

impl<S: Store> Configuration<'_, S> {
    /// Writes a large change in parts, and returns a small one to be kept in its record.
    pub(super) fn store_content(
        &self,
        number: u64,
        nonce: Uuid,
        delta: &Delta,
    ) -> Result<Content, Error> {
        let parts = split(delta);
        if parts.len() <= 1 {
            return Ok(Content::Inline(delta.clone()));
        }
        self.write_parts(&part_prefix(number, nonce), &parts)?;
        Ok(Content::Parts(parts.len()))
    }

    /// Writes immutable parts, skipping those that exist already with the same value.
    pub(super) fn write_parts(&self, prefix: &str, parts: &[Delta]) -> Result<(), Error> {
        for (index, part) in parts.iter().enumerate() {
            let key = part_key(prefix, index);
            let swap = Swap {
                value: Some(serialize(&key, part)?),
                key,
                expect: Expect::Absent,
                lease: None,
            };
            let swapped = self.swap(&swap).map_err(|failure| failure.error)?;
            if !holds_value(&swapped, swap.value.as_deref()) {
                return Err(Error::malformed(
                    &swap.key,
                    "already holds a different part",
                ));
            }
        }
        Ok(())
    }

    /// Reads and merges `count` parts; returns `None` if one is missing.
    pub(super) fn read_parts(
        &self,
        prefix: &str,
        count: usize,
    ) -> Result<Option<Delta>, Error> {
        let mut whole = Delta::default();
        for index in 0..count {
            let Some(entry) = self.get(&part_key(prefix, index))? else {
                return Ok(None);
            };
            let part: Delta = parse(&entry)?;
            whole.upserts.extend(part.upserts);
            whole.removals.extend(part.removals);
        }
        Ok(Some(whole))
    }

    /// Deletes the keys with a prefix that `should_delete` selects.
    ///
    /// Failures are ignored: a key that couldn't be deleted stays.
    pub(super) fn delete_all(&self, prefix: &str, should_delete: impl Fn(&str) -> bool) {
        let Ok(listing) = self.store.list(prefix) else {
            return;
        };
        for entry in listing.entries {
            if should_delete(&entry.key) {
                let _: Result<Swapped, SwapFailure> = self.swap(&Swap {
                    key: entry.key,
                    expect: Expect::Version(entry.version),
                    value: None,
                    lease: None,
                });
            }
        }
    }
}

/// Returns whether the key holds `value` after the swap, written now or before.
fn holds_value(swapped: &Swapped, value: Option<&[u8]>) -> bool {
    match swapped {
        Swapped::Done(_) => true,
        Swapped::Conflict(found) => {
            found.as_ref().map(|entry| entry.value.as_slice()) == value
        }
    }
}

fn part_key(prefix: &str, index: usize) -> String {
    format!("{prefix}{index:06}")
}

/// Splits a change so that each part fits into one value of the store.
pub(super) fn split(delta: &Delta) -> Vec<Delta> {
    let mut parts = vec![Delta::default()];
    let mut bytes = 0;
    for section in &delta.upserts {
        part_with_room(&mut parts, &mut bytes, section_bytes(section))
            .upserts
            .push(section.clone());
    }
    for id in &delta.removals {
        part_with_room(&mut parts, &mut bytes, id_bytes(id))
            .removals
            .push(id.clone());
    }
    parts
}

/// Returns the last part, or a new one if `added_bytes` don't fit into the last one.
fn part_with_room<'a>(
    parts: &'a mut Vec<Delta>,
    bytes: &mut usize,
    added_bytes: usize,
) -> &'a mut Delta {
    *bytes += added_bytes;
    if *bytes > MAX_PART_BYTES {
        parts.push(Delta::default());
        *bytes = added_bytes;
    }
    let index = parts.len() - 1;
    &mut parts[index]
}

/// Allowance for the quotes, field names and separators around one id.
const OVERHEAD_BYTES: usize = 48;

fn id_bytes(id: &Id) -> usize {
    id.name.len() + OVERHEAD_BYTES
}

fn section_bytes(section: &Section) -> usize {
    let pairs = section.properties.iter();
    let pairs: usize = pairs.map(|(key, value)| key.len() + value.len() + 6).sum();
    id_bytes(&section.id) + pairs
}
