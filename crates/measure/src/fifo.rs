//! Baseline policy: first come, first served, on a fixed part of each pool's slots.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rhubarbrill_core::fleet::HostKey;
use rhubarbrill_core::gate::Class;
use rhubarbrill_core::time::Instant;

/// An entry host that starts requests in order of arrival.
///
/// Pools are given by index.
#[derive(Clone, Debug)]
pub struct Fifo {
    pool_queues: Vec<PoolQueue>,
    /// Pool and host of each running request, by request id.
    running: BTreeMap<u64, (usize, HostKey)>,
    urgent_first: bool,
    /// Maximum number of waiting requests per pool.
    max_waiting: usize,
}

/// Waiting requests and free slots of one pool.
#[derive(Clone, Debug, Default)]
struct PoolQueue {
    urgent: VecDeque<QueuedRequest>,
    normal: VecDeque<QueuedRequest>,
    /// Hosts with free slots; a host appears once for each free slot.
    free_slots: VecDeque<HostKey>,
    /// Deadline and id of each waiting request. A request that is queued but missing here
    /// has expired.
    deadlines: BTreeSet<(Instant, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    id: u64,
    deadline: Instant,
}

impl Fifo {
    /// Returns an entry host with the given slots in each pool.
    ///
    /// Each pool lists a host once for each of its slots. With `urgent_first`, urgent
    /// requests start before normal ones.
    pub fn new(slots: Vec<Vec<HostKey>>, max_waiting: usize, urgent_first: bool) -> Self {
        let pool_queue = |free_slots: Vec<HostKey>| PoolQueue {
            free_slots: free_slots.into(),
            ..PoolQueue::default()
        };
        Self {
            pool_queues: slots.into_iter().map(pool_queue).collect(),
            running: BTreeMap::new(),
            urgent_first,
            max_waiting,
        }
    }

    /// Queues a request; returns `false` if the pool's queue is full.
    pub fn submit(
        &mut self,
        id: u64,
        pool: usize,
        class: Class,
        deadline: Instant,
    ) -> bool {
        let pool_queue = &mut self.pool_queues[pool];
        if pool_queue.deadlines.len() >= self.max_waiting {
            return false;
        }
        pool_queue.deadlines.insert((deadline, id));
        let request = QueuedRequest { id, deadline };
        match class {
            Class::Urgent if self.urgent_first => pool_queue.urgent.push_back(request),
            _ => pool_queue.normal.push_back(request),
        }
        true
    }

    /// Starts the next request for which a slot is free; returns its id and host.
    pub fn next_start(&mut self) -> Option<(u64, HostKey)> {
        for (pool, pool_queue) in self.pool_queues.iter_mut().enumerate() {
            let Some(&host) = pool_queue.free_slots.front() else {
                continue;
            };
            if let Some(request) = pool_queue.pop_unexpired() {
                pool_queue.free_slots.pop_front();
                self.running.insert(request.id, (pool, host));
                return Some((request.id, host));
            }
        }
        None
    }

    /// Frees the slot of a running request.
    pub fn finish(&mut self, id: u64) {
        if let Some((pool, host)) = self.running.remove(&id) {
            self.pool_queues[pool].free_slots.push_back(host);
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let mut expired = Vec::new();
        for pool_queue in &mut self.pool_queues {
            while let Some(&(deadline, id)) = pool_queue.deadlines.first() {
                if deadline > now {
                    break;
                }
                pool_queue.deadlines.pop_first();
                expired.push(id);
            }
        }
        expired
    }

    /// Returns the earliest deadline of all waiting requests.
    pub fn next_wake(&self) -> Option<Instant> {
        let first = |pool_queue: &PoolQueue| {
            pool_queue.deadlines.first().map(|&(deadline, _)| deadline)
        };
        self.pool_queues.iter().filter_map(first).min()
    }
}

impl PoolQueue {
    /// Removes and returns the next request that has not expired, urgent ones first.
    fn pop_unexpired(&mut self) -> Option<QueuedRequest> {
        loop {
            let request = self
                .urgent
                .pop_front()
                .or_else(|| self.normal.pop_front())?;
            if self.deadlines.remove(&(request.deadline, request.id)) {
                return Some(request);
            }
        }
    }
}
