//! Content that is too large for one value of the store.

use rhubarbrill_config::Delta;
use rhubarbrill_config::document::{Id, Section};
use rhubarbrill_edge::store::{Expect, Store, Swap, Swapped};
use uuid::Uuid;

use super::certain::Failure;
use super::record::{Content, parse, part_prefix, write};
use super::{Configuration, Error};

/// Largest value that is written; the store holds values up to a megabyte.
const PART_BYTES: usize = 600_000;

impl<S: Store> Configuration<'_, S> {
    /// Writes a large change in parts; a small one stays in its record.
    pub(super) fn place(
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

    /// Writes immutable parts; those that are there already are left.
    pub(super) fn write_parts(&self, prefix: &str, parts: &[Delta]) -> Result<(), Error> {
        for (index, part) in parts.iter().enumerate() {
            let key = part_key(prefix, index);
            let swap = Swap {
                value: Some(write(&key, part)?),
                key,
                expect: Expect::Absent,
                lease: None,
            };
            let swapped = self.swap(&swap).map_err(|failure| failure.error)?;
            if !is_there(&swapped, swap.value.as_deref()) {
                return Err(Error::malformed(&swap.key, "holds another part"));
            }
        }
        Ok(())
    }

    /// Reads parts; `None` when one isn't there.
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

    /// Deletes every key below a prefix, as far as the store answers.
    pub(super) fn delete_all(&self, prefix: &str, is_old: impl Fn(&str) -> bool) {
        let Ok(listing) = self.store.list(prefix) else {
            return;
        };
        for entry in listing.entries {
            if is_old(&entry.key) {
                let _: Result<Swapped, Failure> = self.swap(&Swap {
                    key: entry.key,
                    expect: Expect::Version(entry.version),
                    value: None,
                    lease: None,
                });
            }
        }
    }
}

/// Returns whether the key holds `value` after a swap.
fn is_there(swapped: &Swapped, value: Option<&[u8]>) -> bool {
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

/// Splits a change so that each part fits into one value.
pub(super) fn split(delta: &Delta) -> Vec<Delta> {
    let mut parts = vec![Delta::default()];
    let mut bytes = 0;
    for section in &delta.upserts {
        last(&mut parts, &mut bytes, section_bytes(section))
            .upserts
            .push(section.clone());
    }
    for id in &delta.removals {
        last(&mut parts, &mut bytes, id_bytes(id))
            .removals
            .push(id.clone());
    }
    parts
}

/// Returns the last part, or a new one when so many bytes don't fit any more.
fn last<'a>(parts: &'a mut Vec<Delta>, bytes: &mut usize, more: usize) -> &'a mut Delta {
    *bytes += more;
    if *bytes > PART_BYTES {
        parts.push(Delta::default());
        *bytes = more;
    }
    let index = parts.len() - 1;
    &mut parts[index]
}

/// Room for quotes, names of members and separators.
const OVERHEAD_BYTES: usize = 48;

fn id_bytes(id: &Id) -> usize {
    id.name.len() + OVERHEAD_BYTES
}

fn section_bytes(section: &Section) -> usize {
    let pairs = section.properties.iter();
    let pairs: usize = pairs.map(|(key, value)| key.len() + value.len() + 6).sum();
    id_bytes(&section.id) + pairs
}
