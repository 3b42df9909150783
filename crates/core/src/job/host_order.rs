//! Orders for hosts that wait until they are recorded in the store.
//!
//! Each order is recorded before it is sent. While that fails, the orders are kept, at most
//! one for each host, and the record is tried again with growing delays. An order that has
//! waited for too long is given up: the state that led to it may have changed, and its host
//! may have received work again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::order_rate::OrderRate;
use super::scheduler::{Maintenance, Move};
use crate::time::Instant;

/// Longest time from the decision on an order until it is sent. The scheduler considers a
/// maintenance order without an effect lost after 3 s and a move after 5 s, and a host may
/// then receive work.
const MAX_AGE: Duration = Duration::from_millis(2_500);

/// Delay after the first record that failed.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Longest delay after a record that failed.
const MAX_DELAY: Duration = Duration::from_millis(1_000);

/// Delay after which orders beyond the accepted rate are tried again.
const RATE_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of orders that one record covers.
const MAX_BATCH: usize = 64;

/// An order for a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostOrder {
    /// Move the host to another pool.
    Move(Move),
    /// Begin the maintenance of the host.
    Maintain(Maintenance),
}

impl HostOrder {
    /// Returns the name of the host.
    pub fn host(&self) -> &str {
        match self {
            Self::Move(order) => &order.host,
            Self::Maintain(order) => &order.host,
        }
    }

    /// Returns the name used in logs.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Move(_) => "move",
            Self::Maintain(_) => "maintenance",
        }
    }
}

/// An order and the time at which it was decided on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingOrder {
    /// The order.
    pub order: HostOrder,
    /// When it was decided on.
    pub decided_at: Instant,
}

impl PendingOrder {
    /// Returns whether the order has waited for too long to be sent.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.saturating_since(self.decided_at) >= MAX_AGE
    }
}

/// The orders that wait to be recorded.
#[derive(Clone, Debug)]
pub struct PendingOrders {
    by_host: BTreeMap<String, PendingOrder>,
    rate: OrderRate,
    /// Records that failed since the last one that was stored.
    failures: u32,
    next_attempt: Instant,
}

impl PendingOrders {
    /// Returns an empty set whose orders stay within a number of orders per second.
    pub const fn new(now: Instant, orders_per_second: Option<u32>) -> Self {
        Self {
            by_host: BTreeMap::new(),
            rate: OrderRate::new(orders_per_second),
            failures: 0,
            next_attempt: now,
        }
    }

    /// Adds an order, which replaces an earlier one for the same host.
    pub fn add(&mut self, now: Instant, order: HostOrder) {
        let pending = PendingOrder {
            decided_at: now,
            order,
        };
        self.by_host
            .insert(pending.order.host().to_owned(), pending);
    }

    /// Returns the number of orders that wait.
    pub fn len(&self) -> usize {
        self.by_host.len()
    }

    /// Returns whether no order waits.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Returns when [`Self::take_due`] may next return orders; `None` if none waits.
    pub fn next_attempt(&self) -> Option<Instant> {
        (!self.is_empty()).then_some(self.next_attempt)
    }

    /// Removes and returns the orders that have waited for too long.
    pub fn take_expired(&mut self, now: Instant) -> Vec<PendingOrder> {
        let expired = |_: &String, pending: &mut PendingOrder| pending.is_expired(now);
        self.by_host
            .extract_if(.., expired)
            .map(|(_, order)| order)
            .collect()
    }

    /// Removes and returns the orders that are to be recorded and sent now, the oldest
    /// first.
    pub fn take_due(&mut self, now: Instant) -> Vec<PendingOrder> {
        if now < self.next_attempt {
            return Vec::new();
        }
        let available = self.rate.available(now).min(MAX_BATCH);
        let mut waiting: Vec<(Instant, String)> = self
            .by_host
            .iter()
            .map(|(host, pending)| (pending.decided_at, host.clone()))
            .collect();
        waiting.sort_unstable();
        let due: Vec<PendingOrder> = waiting
            .iter()
            .take(available)
            .filter_map(|(_, host)| self.by_host.remove(host))
            .collect();
        if due.is_empty() {
            self.next_attempt = now + RATE_DELAY;
        }
        due
    }

    /// Records that the orders of a batch are in the store and are sent now.
    pub fn record_sent(&mut self, now: Instant, count: usize) {
        self.failures = 0;
        self.next_attempt = now;
        for _ in 0..count {
            self.rate.record(now);
        }
    }

    /// Returns the orders of a batch that couldn't be recorded to those that wait, and
    /// returns the delay until the next attempt. An order that was decided on since then
    /// stays.
    pub fn retry(&mut self, now: Instant, batch: Vec<PendingOrder>) -> Duration {
        for pending in batch {
            let host = pending.order.host().to_owned();
            self.by_host.entry(host).or_insert(pending);
        }
        let doubled = MIN_DELAY * 2_u32.saturating_pow(self.failures.min(8));
        let delay = doubled.min(MAX_DELAY);
        self.failures += 1;
        self.next_attempt = now + delay;
        delay
    }
}
