//! Limit on how many orders for hosts are issued within a second.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// Time within which the limit holds.
const WINDOW: Duration = Duration::from_secs(1);

/// The orders of the last second, and how many of them there may be.
#[derive(Clone, Debug, Default)]
pub struct OrderRate {
    limit: Option<u32>,
    recent: VecDeque<Instant>,
}

impl OrderRate {
    /// Returns a limit of `limit` orders within a second; `None` stands for no limit.
    pub const fn new(limit: Option<u32>) -> Self {
        Self {
            limit,
            recent: VecDeque::new(),
        }
    }

    /// Returns how many orders may be issued now.
    pub fn available(&mut self, now: Instant) -> usize {
        let is_past = |at: &Instant| now.saturating_since(*at) >= WINDOW;
        while self.recent.front().is_some_and(is_past) {
            self.recent.pop_front();
        }
        let limit = self.limit.and_then(|limit| usize::try_from(limit).ok());
        limit.map_or(usize::MAX, |limit| limit.saturating_sub(self.recent.len()))
    }

    /// Records an order that is issued now.
    pub fn record(&mut self, now: Instant) {
        if self.limit.is_some() {
            self.recent.push_back(now);
        }
    }
}
