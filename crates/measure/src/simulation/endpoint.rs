//! Simulated endpoints, each with slots and a queue.

use std::collections::VecDeque;

use rhubarbrill_core::fleet::{HostKey, ZoneKey};
use rhubarbrill_core::time::Instant;
use slotmap::SecondaryMap;

use super::Settings;
use crate::deployment::Deployment;

/// One attempt to run a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Index of the request.
    pub index: usize,
    /// Index of the entry host.
    pub entry: usize,
    /// Time at which the entry host sent the request.
    pub sent: Instant,
}

/// An endpoint that runs as many attempts at once as it has slots and queues the others.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Availability zone of the endpoint's host.
    pub zone: ZoneKey,
    /// Whether the endpoint fails every request in the later part of the run.
    pub may_fail: bool,
    slots: u32,
    running: u32,
    queue: VecDeque<Attempt>,
}

impl Endpoint {
    /// Assigns a slot to an attempt, or queues it; returns whether a slot was free.
    pub fn start_or_queue(&mut self, attempt: Attempt) -> bool {
        let free = self.running < self.slots;
        match free {
            true => self.running += 1,
            false => self.queue.push_back(attempt),
        }
        free
    }

    /// Ends an attempt and returns the queued attempt that takes over its slot.
    pub fn finish(&mut self) -> Option<Attempt> {
        let next = self.queue.pop_front();
        self.running -= u32::from(next.is_none());
        next
    }
}

/// Returns every endpoint. Depending on the settings, the first of each pool fails
/// requests or has half of its slots.
pub fn build_all(
    deployment: &Deployment,
    settings: &Settings,
) -> SecondaryMap<HostKey, Endpoint> {
    let mut endpoints = SecondaryMap::new();
    let mut last_pool = None;
    for (key, _, host) in deployment.fleet.hosts.iter() {
        let is_first = last_pool.replace(host.pool) != Some(host.pool);
        let endpoint = Endpoint {
            zone: host.zone,
            may_fail: settings.failing_hosts && is_first,
            slots: match settings.small_hosts && is_first {
                true => host.slots / 2,
                false => host.slots,
            },
            running: 0,
            queue: VecDeque::new(),
        };
        endpoints.insert(key, endpoint);
    }
    endpoints
}
