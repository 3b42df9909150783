//! Serial number and nonces that identify a record's last writes.

use std::collections::VecDeque;

use rhubarbrill_wire::Base64;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::Record;

/// Number of last writes whose nonces a record keeps.
const MAX_NONCES: usize = 16;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = size_of::<u64>();

/// Serialized form of a record in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Envelope<T> {
    pub(super) trail: WriteHistory,
    pub(super) value: T,
}

impl<T> Envelope<T> {
    /// Returns the record that was written at store revision `version`.
    pub(super) fn into_record(self, version: u64) -> Record<T> {
        Record {
            value: self.value,
            version,
            history: self.trail,
        }
    }
}

/// Number of a record's writes, and the nonces of the last [`MAX_NONCES`] of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct WriteHistory {
    serial: u64,
    nonces: Nonces,
}

/// Nonces, oldest first; serialized as one base64 string.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Base64", into = "Base64")]
struct Nonces(VecDeque<u64>);

/// Identifies one write of a record.
///
/// A nonce only distinguishes the writers that compete for the same serial number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct WriteId {
    serial: u64,
    nonce: u64,
}

/// Whether a write took effect, as far as a write history shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WriteStatus {
    /// The write took effect.
    Applied,
    /// Another write got the same serial number, so this one never took effect and never
    /// will.
    Superseded,
    /// The history no longer includes the write's serial number, or doesn't include it
    /// yet.
    Undetermined,
}

impl WriteHistory {
    /// Returns the history after one more write, and that write's identifier.
    pub(super) fn append_write(mut self) -> (Self, WriteId) {
        let (nonce, _) = Uuid::new_v4().as_u64_pair();
        self.serial += 1;
        self.nonces.0.push_back(nonce);
        while self.nonces.0.len() > MAX_NONCES {
            self.nonces.0.pop_front();
        }
        let serial = self.serial;
        (self, WriteId { serial, nonce })
    }

    /// Returns whether a write took effect.
    pub(super) fn status(&self, id: WriteId) -> WriteStatus {
        let Some(age) = self.serial.checked_sub(id.serial) else {
            return WriteStatus::Undetermined;
        };
        let age = usize::try_from(age).unwrap_or(usize::MAX);
        match self.nonces.0.iter().rev().nth(age) {
            Some(&nonce) if nonce == id.nonce => WriteStatus::Applied,
            Some(_) => WriteStatus::Superseded,
            None => WriteStatus::Undetermined,
        }
    }
}

impl From<Base64> for Nonces {
    fn from(bytes: Base64) -> Self {
        let (chunks, _) = bytes.0.as_chunks::<NONCE_BYTES>();
        Self(
            chunks
                .iter()
                .map(|chunk| u64::from_be_bytes(*chunk))
                .collect(),
        )
    }
}

impl From<Nonces> for Base64 {
    fn from(nonces: Nonces) -> Self {
        Self(nonces.0.into_iter().flat_map(u64::to_be_bytes).collect())
    }
}
