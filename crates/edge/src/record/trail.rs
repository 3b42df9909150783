//! The nonces of a record's last writes.

use std::collections::VecDeque;

use rhubarbrill_wire::Base64;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::Record;

/// Writes that a record remembers.
const TRAIL_LEN: usize = 16;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = size_of::<u64>();

/// A record as it is stored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Envelope<T> {
    pub(super) trail: Trail,
    pub(super) value: T,
}

impl<T> Envelope<T> {
    /// Returns the record that the envelope became at a store revision.
    pub(super) fn at(self, version: u64) -> Record<T> {
        Record {
            value: self.value,
            version,
            trail: self.trail,
        }
    }
}

/// The number of a record's writes, and the nonces of the last ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Trail {
    serial: u64,
    nonces: Nonces,
}

/// Nonces, the oldest first; stored as one text.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Base64", into = "Base64")]
struct Nonces(VecDeque<u64>);

/// Names one write of a record.
///
/// A nonce only tells apart the writers that compete for one serial number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Stamp {
    serial: u64,
    nonce: u64,
}

/// What became of a write, as far as a trail shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Trace {
    /// It took effect.
    Present,
    /// Another write took its place, so it never took effect and never will.
    Displaced,
    /// The trail doesn't reach back to it, or not yet up to it.
    Beyond,
}

impl Trail {
    /// Returns the trail after one more write, and that write's stamp.
    pub(super) fn extend(mut self) -> (Self, Stamp) {
        let (nonce, _) = Uuid::new_v4().as_u64_pair();
        self.serial += 1;
        self.nonces.0.push_back(nonce);
        while self.nonces.0.len() > TRAIL_LEN {
            self.nonces.0.pop_front();
        }
        let serial = self.serial;
        (self, Stamp { serial, nonce })
    }

    /// Returns what became of a write.
    pub(super) fn trace(&self, stamp: Stamp) -> Trace {
        let Some(age) = self.serial.checked_sub(stamp.serial) else {
            return Trace::Beyond;
        };
        let age = usize::try_from(age).unwrap_or(usize::MAX);
        match self.nonces.0.iter().rev().nth(age) {
            Some(&nonce) if nonce == stamp.nonce => Trace::Present,
            Some(_) => Trace::Displaced,
            None => Trace::Beyond,
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
