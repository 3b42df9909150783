//! The waiting requests of one workspace for one pool.

use std::collections::BTreeMap;

use crate::gate::{Class, Ticket};
use crate::time::Instant;

/// Urgent requests that may start in a row while normal ones wait.
const MAX_URGENT_STREAK: u32 = 8;

/// A request that waits for its turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub ticket: Ticket,
    /// How soon it should start.
    pub class: Class,
    /// Its place among the requests of its workspace and class.
    pub number: u64,
    /// When it goes before other workspaces' requests, if it is urgent.
    pub due: Instant,
}

/// One workspace's waiting requests, and what ranks it among the others.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceQueue {
    pub(super) weight: u32,
    /// Slot time used, in scaled microseconds per share.
    pub(super) used_slot_time: u128,
    pub(super) running_here: u32,
    pub(super) running_elsewhere: u32,
    pub(super) parked: bool,
    /// The rank under which the line stands in the order, if it does.
    pub(super) rank: Option<u128>,
    /// When the first urgent request is due, as it stands in the order.
    pub(super) due: Option<Instant>,
    urgent: BTreeMap<u64, QueuedRequest>,
    normal: BTreeMap<u64, QueuedRequest>,
    urgent_streak: u32,
}

impl WorkspaceQueue {
    pub(super) fn waiting(&self) -> u32 {
        u32::try_from(self.urgent.len() + self.normal.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many waiting requests start before a new one of the class.
    pub(super) fn requests_ahead(&self, class: Class) -> u32 {
        let urgent = u32::try_from(self.urgent.len()).unwrap_or(u32::MAX);
        match class {
            Class::Urgent => urgent.saturating_add(urgent / MAX_URGENT_STREAK),
            Class::Normal => self.waiting(),
        }
    }

    pub(super) fn push(&mut self, waiting: QueuedRequest) {
        self.class_queue(waiting.class)
            .insert(waiting.number, waiting);
    }

    pub(super) fn remove(&mut self, class: Class, number: u64) -> bool {
        self.class_queue(class).remove(&number).is_some()
    }

    /// Returns the request that starts next.
    pub(super) fn next_request(&self) -> Option<QueuedRequest> {
        let class_queue = match self.next_class()? {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
        };
        class_queue.first_key_value().map(|(_, &waiting)| waiting)
    }

    /// Returns the first urgent request.
    pub(super) fn next_urgent(&self) -> Option<QueuedRequest> {
        self.urgent.first_key_value().map(|(_, &waiting)| waiting)
    }

    pub(super) fn urgent_waiting(&self) -> u32 {
        u32::try_from(self.urgent.len()).unwrap_or(u32::MAX)
    }

    /// Removes the first request of a class.
    pub(super) fn pop(&mut self, class: Class) -> Option<QueuedRequest> {
        self.urgent_streak = match class {
            Class::Urgent => self.urgent_streak.saturating_add(1),
            Class::Normal => 0,
        };
        self.class_queue(class)
            .pop_first()
            .map(|(_, waiting)| waiting)
    }

    fn next_class(&self) -> Option<Class> {
        let streak_exhausted =
            self.urgent_streak >= MAX_URGENT_STREAK && !self.normal.is_empty();
        if !self.urgent.is_empty() && !streak_exhausted {
            return Some(Class::Urgent);
        }
        (!self.normal.is_empty()).then_some(Class::Normal)
    }

    fn class_queue(&mut self, class: Class) -> &mut BTreeMap<u64, QueuedRequest> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
        }
    }
}
