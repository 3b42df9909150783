//! Group commit: requests gather while a swap of their record is under way.

use std::collections::VecDeque;

use super::{ClaimOptions, Request};
use crate::time::Instant;

/// Most requests in one group, which keeps a swap short.
const MAX_GROUP_LEN: usize = 256;

/// Requests for one record, of which one group at a time is under way.
#[derive(Clone, Debug)]
pub struct Batch {
    options: ClaimOptions,
    waiting: VecDeque<Request>,
    in_flight: bool,
    last_flush: Option<Instant>,
}

impl Batch {
    /// Returns a batch without requests.
    pub const fn new(options: ClaimOptions) -> Self {
        Self {
            options,
            waiting: VecDeque::new(),
            in_flight: false,
            last_flush: None,
        }
    }

    /// Adds a request to the next group.
    pub fn push(&mut self, request: Request) {
        self.waiting.push_back(request);
    }

    /// Returns the number of requests that wait for the next group.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns when the next group may depart, if one waits and none is under way.
    pub fn next_flush(&self) -> Option<Instant> {
        if self.in_flight || self.waiting.is_empty() {
            return None;
        }
        let last_flush = self.last_flush.map(|at| at + self.options.interval);
        Some(last_flush.unwrap_or(Instant::ZERO))
    }

    /// Takes the next group out if it may depart at `now`; every group must [`finish_flush`].
    ///
    /// [`finish_flush`]: Self::land
    pub fn begin_flush(&mut self, now: Instant) -> Option<Vec<Request>> {
        self.next_flush().filter(|&at| at <= now)?;
        self.in_flight = true;
        self.last_flush = Some(now);
        let count = self.waiting.len().min(MAX_GROUP_LEN);
        Some(self.waiting.drain(..count).collect())
    }

    /// Notes that the group under way was answered, or given up on.
    pub fn finish_flush(&mut self) {
        self.in_flight = false;
    }
}
