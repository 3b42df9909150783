//! Starts: which request is sent next, and to which endpoint.

use std::time::Duration;

use super::request::{Run, State};
use super::{Gate, Start, Ticket};
use crate::fair::Pick;
use crate::fleet::{HostKey, PoolKey, WorkspaceKey};
use crate::route::ChoiceConstraints;
use crate::time::Instant;

/// How often workspaces that are short of units are tried again without an event.
const PARK_INTERVAL: Duration = Duration::from_millis(50);

impl Gate {
    /// Returns the next request to send, and occupies a unit and a slot for it.
    ///
    /// Call it until it returns nothing after every event: an admission, an end, a
    /// requeue, a change of fleet, members or allowances, and [`Gate::next_wake`].
    pub fn next_start(&mut self, now: Instant) -> Option<Start> {
        self.wake(now);
        while let Some(&pool) = self.ready.first() {
            if let Some(start) = self.start_in(pool, now) {
                return Some(start);
            }
            self.ready.remove(&pool);
        }
        None
    }

    /// Returns whether a started request may be sent at `now`.
    ///
    /// Submission with a fresh reading right before the first byte leaves. If not, call
    /// [`Gate::requeue`].
    pub fn may_send(&self, now: Instant, ticket: Ticket) -> bool {
        self.requests.get(ticket).is_some_and(|request| {
            matches!(request.state, State::Running(_))
                && request.submission.deadline > now
                && self.holder.may_send(request.submission.workspace, now)
        })
    }

    /// Puts a started request of which nothing was sent back into its place.
    ///
    /// If its workspace or queue is gone meanwhile, the next [`Gate::expire`] hands it
    /// out.
    pub fn requeue(&mut self, now: Instant, ticket: Ticket) {
        let Some(run) = self.run_of(ticket) else {
            return;
        };
        let submission = self.requests[ticket].submission;
        let lapsed = !self.holder.may_send(submission.workspace, now);
        self.free(ticket, run, now);
        self.requests[ticket].state = State::Waiting;
        match self.destination_of(&submission) {
            Ok(pool) => {
                self.enqueue(ticket, pool);
                if lapsed {
                    self.park(submission.workspace, pool, now);
                }
            }
            Err(reason) => self.drop(ticket, reason),
        }
    }

    fn start_in(&mut self, pool: PoolKey, now: Instant) -> Option<Start> {
        while let Some(pick) = self.pools.get(pool)?.order.peek(now) {
            let request = &self.requests[pick.ticket];
            let choice = ChoiceConstraints {
                avoid: request.avoid,
                may_probe: request.submission.repeatable,
            };
            let host = self.table.choose(pool, choice)?;
            if self.holder.try_start(pick.workspace, now).is_ok() {
                return Some(self.begin(pool, pick, host, now));
            }
            self.park(pick.workspace, pool, now);
        }
        None
    }

    fn begin(&mut self, pool: PoolKey, pick: Pick, host: HostKey, now: Instant) -> Start {
        let ticket = pick.ticket;
        let backlog = &mut self.pools[pool];
        backlog.order.start(pick);
        match now <= self.requests[ticket].start_by {
            true => backlog.forecast.met(),
            false => backlog.forecast.missed(),
        }
        self.left_queue(ticket);
        self.table.occupy(host, self.monitor.state(host));
        let request = &mut self.requests[ticket];
        let queue = self.queues.get(request.submission.queue);
        let max_run_time = queue.map(|queue| queue.max_run_time).unwrap_or_default();
        let until = request.submission.deadline.min(now + max_run_time);
        let expected = queue.and_then(|queue| queue.run_time).unwrap_or_default();
        request.state = State::Running(Run {
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
        self.pools[pool].order.park(workspace);
        self.parked.entry(workspace).or_default().insert(pool);
        self.unpark_at.get_or_insert(now + PARK_INTERVAL);
    }

    pub(super) fn run_of(&self, ticket: Ticket) -> Option<Run> {
        match self.requests.get(ticket)?.state {
            State::Running(run) => Some(run),
            State::Waiting => None,
        }
    }

    /// Frees the unit and the slot of an attempt, and settles its workspace's charge.
    pub(super) fn free(&mut self, ticket: Ticket, run: Run, now: Instant) {
        self.holder
            .finish(self.requests[ticket].submission.workspace);
        self.release(ticket, run, now);
    }

    /// Frees the slot of an attempt, and settles its workspace's charge.
    pub(super) fn release(&mut self, ticket: Ticket, run: Run, now: Instant) {
        let request = self.requests[ticket];
        let workspace = request.submission.workspace;
        let took = now.saturating_since(run.since);
        if let Some(backlog) = self.pools.get_mut(request.pool) {
            backlog.order.finish(workspace, took);
        }
        self.unpark(workspace);
        self.table.release(run.host, self.monitor.state(run.host));
        self.ready.insert(request.pool);
        self.ready.extend(self.table.pool(run.host));
    }
}
