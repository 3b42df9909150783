//! Starting of requests: selects the next request to send and its endpoint.

use std::time::Duration;

use super::request::{Attempt, State};
use super::{Gate, Start, Ticket};
use crate::fair::Pick;
use crate::fleet::{HostKey, PoolKey, WorkspaceKey};
use crate::route::ChoiceConstraints;
use crate::time::Instant;

/// Interval at which workspaces that are parked for lack of units are tried again without
/// an event.
const PARK_INTERVAL: Duration = Duration::from_millis(50);

impl Gate {
    /// Returns the next request to send, and occupies a unit and a slot for it.
    ///
    /// Call it until it returns `None` after every event: an admission, a completion, a
    /// requeue, a change of configuration, members or allowances, and
    /// [`Gate::next_wake`].
    pub fn next_start(&mut self, now: Instant) -> Option<Start> {
        self.advance_to(now);
        while let Some(&pool) = self.ready.first() {
            if let Some(start) = self.start_in_pool(pool, now) {
                return Some(start);
            }
            self.ready.remove(&pool);
        }
        None
    }

    /// Returns whether a started request may be sent at `now`.
    ///
    /// Call it with a fresh clock reading right before the first byte is sent. If it
    /// returns `false`, call [`Gate::requeue`].
    pub fn may_send(&self, now: Instant, ticket: Ticket) -> bool {
        self.requests.get(ticket).is_some_and(|request| {
            matches!(request.state, State::Running(_))
                && request.submission.deadline > now
                && self.holder.may_send(request.submission.workspace, now)
        })
    }

    /// Returns a started request of which nothing was sent to its original position in
    /// the queue.
    ///
    /// If its workspace or queue has been removed, the next [`Gate::expire`] returns the
    /// request instead.
    pub fn requeue(&mut self, now: Instant, ticket: Ticket) {
        let Some(attempt) = self.running_attempt(ticket) else {
            return;
        };
        let submission = self.requests[ticket].submission;
        let lapsed = !self.holder.may_send(submission.workspace, now);
        self.finish_attempt(ticket, attempt, now);
        self.requests[ticket].state = State::Waiting;
        match self.pool_of(&submission) {
            Ok(pool) => {
                self.enqueue(ticket, pool);
                if lapsed {
                    self.park(submission.workspace, pool, now);
                }
            }
            Err(reason) => self.reject(ticket, reason),
        }
    }

    fn start_in_pool(&mut self, pool: PoolKey, now: Instant) -> Option<Start> {
        while let Some(pick) = self.pools.get(pool)?.fair_queue.peek(now) {
            let request = &self.requests[pick.ticket];
            let constraints = ChoiceConstraints {
                avoid: request.avoid,
                may_probe: request.submission.repeatable,
            };
            let host = self.table.choose(pool, constraints)?;
            if self.holder.try_start(pick.workspace, now).is_ok() {
                return Some(self.start_request(pool, pick, host, now));
            }
            self.park(pick.workspace, pool, now);
        }
        None
    }

    fn start_request(
        &mut self,
        pool: PoolKey,
        pick: Pick,
        host: HostKey,
        now: Instant,
    ) -> Start {
        let ticket = pick.ticket;
        let pool_state = &mut self.pools[pool];
        pool_state.fair_queue.start(pick);
        match now <= self.requests[ticket].start_by {
            true => pool_state.forecast.record_on_time(),
            false => pool_state.forecast.record_late(),
        }
        self.on_dequeued(ticket);
        self.table.occupy(host, self.monitor.state(host));
        let request = &mut self.requests[ticket];
        let queue = self.queues.get(request.submission.queue);
        let max_run_time = queue.map(|queue| queue.max_run_time).unwrap_or_default();
        let until = request.submission.deadline.min(now + max_run_time);
        let expected = queue.and_then(|queue| queue.run_time).unwrap_or_default();
        request.state = State::Running(Attempt {
            host,
            since: now,
            until,
            expected,
        });
        Start {
            ticket,
            host,
            pool,
            until,
            attempts: request.attempts,
        }
    }

    fn park(&mut self, workspace: WorkspaceKey, pool: PoolKey, now: Instant) {
        self.pools[pool].fair_queue.park(workspace);
        self.parked.entry(workspace).or_default().insert(pool);
        self.unpark_at.get_or_insert(now + PARK_INTERVAL);
    }

    pub(super) fn running_attempt(&self, ticket: Ticket) -> Option<Attempt> {
        match self.requests.get(ticket)?.state {
            State::Running(attempt) => Some(attempt),
            State::Waiting => None,
        }
    }

    /// Frees the unit and the slot of an attempt, and charges its workspace the slot
    /// time.
    pub(super) fn finish_attempt(
        &mut self,
        ticket: Ticket,
        attempt: Attempt,
        now: Instant,
    ) {
        self.holder
            .finish(self.requests[ticket].submission.workspace);
        self.release_slot(ticket, attempt, now);
    }

    /// Frees the slot of an attempt, and charges its workspace the slot time.
    pub(super) fn release_slot(
        &mut self,
        ticket: Ticket,
        attempt: Attempt,
        now: Instant,
    ) {
        let request = self.requests[ticket];
        let workspace = request.submission.workspace;
        let took = now.saturating_since(attempt.since);
        if let Some(pool_state) = self.pools.get_mut(request.pool) {
            pool_state.fair_queue.finish(workspace, took);
        }
        self.unpark(workspace);
        self.table
            .release(attempt.host, self.monitor.state(attempt.host));
        self.ready.insert(request.pool);
        self.ready.extend(self.table.pool(attempt.host));
    }
}
