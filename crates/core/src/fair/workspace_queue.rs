//! The queue of one workspace's requests for one pool.

use std::collections::BTreeMap;

use crate::gate::{Class, Ticket};
use crate::time::Instant;

/// Maximum number of urgent requests of a workspace that start in a row while it has
/// normal ones waiting; prevents starvation of normal requests.
const MAX_URGENT_STREAK: u32 = 8;

/// A request that waits for its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Priority class of the request.
    pub class: Class,
    /// Sequence number; requests of one workspace and class start in ascending order.
    pub number: u64,
    /// Time from which the request, if urgent, starts before other workspaces' requests.
    pub due: Instant,
}

/// One workspace's waiting requests, and the counters that determine its rank.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceQueue {
    pub(super) weight: u32,
    /// Slot time used, in fixed-point microseconds per unit of share.
    pub(super) used_slot_time: u128,
    pub(super) running_here: u32,
    pub(super) running_elsewhere: u32,
    pub(super) parked: bool,
    /// The rank under which the queue is listed in the fair queue, if it is listed.
    pub(super) rank: Option<u128>,
    /// The due time of the first urgent request, as listed in the fair queue.
    pub(super) due: Option<Instant>,
    urgent: BTreeMap<u64, QueuedRequest>,
    normal: BTreeMap<u64, QueuedRequest>,
    urgent_streak: u32,
}

impl WorkspaceQueue {
    pub(super) fn waiting(&self) -> u32 {
        u32::try_from(self.urgent.len() + self.normal.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many of the waiting requests start before a new one of the class.
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

    /// Returns the request of this workspace that starts next.
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

    /// Removes the first request of a class and updates the urgent streak.
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
