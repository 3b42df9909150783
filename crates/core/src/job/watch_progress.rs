//! Tells from the leader's own writes whether its watches have stalled.
//!
//! A watch that delivers nothing looks like a quiet store. The leader knows of changes that
//! its watch must deliver: those that it made itself.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Instant;

/// Time within which a watch delivers a change. Watches that returned changes pause for
/// 150 ms, and an answer takes some milliseconds.
const DELIVERY_TIME: Duration = Duration::from_millis(200);

/// Time for which an overdue change must stay overdue. A process that was paused finds its
/// changes overdue before it has processed the answer that delivers them.
const CONFIRMATION_TIME: Duration = Duration::from_millis(20);

/// Interval between two listings while the watches are stalled.
const LISTING_INTERVAL: Duration = Duration::from_millis(200);

/// A change in what is known of the watches, or an action that is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchState {
    /// The watches have stalled, and what they follow is to be listed now.
    Stalled(Overdue),
    /// The watches are still stalled, and another listing is due.
    StillStalled,
    /// The watches deliver changes again.
    Resumed,
}

/// The oldest change that a watch hasn't delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overdue {
    /// Store revision of the change.
    pub revision: u64,
    /// Time since the store acknowledged the change.
    pub age: Duration,
}

/// The leader's own changes that its watch hasn't delivered.
#[derive(Clone, Debug, Default)]
pub struct WatchProgress {
    /// Revisions in ascending order, each with the time of the store's answer.
    undelivered: VecDeque<(u64, Instant)>,
    /// When a change was first found overdue; `None` while none is.
    overdue_since: Option<Instant>,
    /// When the next listing is due; `None` unless the watches are stalled.
    next_listing: Option<Instant>,
}

impl WatchProgress {
    /// Records a change of the watched section that the store acknowledged at `now`.
    pub fn record_write(&mut self, now: Instant, revision: u64) {
        let position = self
            .undelivered
            .partition_point(|&(known, _)| known < revision);
        self.undelivered.insert(position, (revision, now));
    }

    /// Returns what follows from the watch having delivered all changes up to `as_of`.
    pub fn check(&mut self, now: Instant, as_of: u64) -> Option<WatchState> {
        while self
            .undelivered
            .front()
            .is_some_and(|&(revision, _)| revision <= as_of)
        {
            self.undelivered.pop_front();
        }
        let Some(overdue) = self.overdue(now) else {
            self.overdue_since = None;
            return self.next_listing.take().map(|_| WatchState::Resumed);
        };
        let since = *self.overdue_since.get_or_insert(now);
        if now.saturating_since(since) < CONFIRMATION_TIME {
            return None;
        }
        let is_new = self.next_listing.is_none();
        if self.next_listing.is_some_and(|at| now < at) {
            return None;
        }
        self.next_listing = Some(now + LISTING_INTERVAL);
        Some(if is_new {
            WatchState::Stalled(overdue)
        } else {
            WatchState::StillStalled
        })
    }

    fn overdue(&self, now: Instant) -> Option<Overdue> {
        let &(revision, at) = self.undelivered.front()?;
        let age = now.saturating_since(at);
        (age >= DELIVERY_TIME).then_some(Overdue { revision, age })
    }
}
