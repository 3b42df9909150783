//! Group commit: requests are queued while a compare-and-swap of their record is in
//! flight.

use std::collections::VecDeque;

use super::{ClaimOptions, Request};
use crate::time::Instant;

/// Maximum number of requests in one group; bounds the duration of a compare-and-swap.
const MAX_GROUP_LEN: usize = 256;

/// Queue of requests for one record. At most one group of them is in flight at a time.
#[derive(Clone, Debug)]
pub struct Batch {
    options: ClaimOptions,
    waiting: VecDeque<Request>,
    in_flight: bool,
    last_flush: Option<Instant>,
}

impl Batch {
    /// Returns an empty batch that flushes under the given options.
    pub const fn new(options: ClaimOptions) -> Self {
        Self {
            options,
            waiting: VecDeque::new(),
            in_flight: false,
            last_flush: None,
        }
    }

    /// Appends a request to the queue of the next group.
    pub fn push(&mut self, request: Request) {
        self.waiting.push_back(request);
    }

    /// Returns the number of requests that wait for a flush.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the earliest time of the next flush, or `None` if no request waits or a
    /// group is in flight.
    pub fn next_flush(&self) -> Option<Instant> {
        if self.in_flight || self.waiting.is_empty() {
            return None;
        }
        let last_flush = self.last_flush.map(|at| at + self.options.interval);
        Some(last_flush.unwrap_or(Instant::ZERO))
    }

    /// Removes and returns the next group if it may be flushed at `now`. Each returned
    /// group must be followed by one call of [`finish_flush`].
    ///
    /// [`finish_flush`]: Self::finish_flush
    pub fn begin_flush(&mut self, now: Instant) -> Option<Vec<Request>> {
        self.next_flush().filter(|&at| at <= now)?;
        self.in_flight = true;
        self.last_flush = Some(now);
        let count = self.waiting.len().min(MAX_GROUP_LEN);
        Some(self.waiting.drain(..count).collect())
    }

    /// Records that the group in flight was answered or abandoned, so that the next one
    /// may be flushed.
    pub fn finish_flush(&mut self) {
        self.in_flight = false;
    }
}
