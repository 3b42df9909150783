//! Admission: queues a request or rejects it at once.

use std::time::Duration;

use super::forecast::Load;
use super::request::{Request, State};
use super::{Class, Expired, Gate, Reason, Refusal, Submission, Ticket};
use crate::fair::{FairQueue, QueuedRequest};
use crate::fleet::PoolKey;
use crate::time::Instant;
use crate::verdict::Verdict;

/// Minimum `retry_after` of a rejection.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Urgent requests are due after the maximum wait for urgent requests divided by this.
const DUE_DIVISOR: u32 = 2;
/// Maximum `retry_after` of a rejection.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Gate {
    /// Admits a request to its queue.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] if the request is rejected. Nothing of it has run.
    pub fn submit(
        &mut self,
        now: Instant,
        submission: Submission,
    ) -> Result<Ticket, Refusal> {
        if self.draining {
            return Err(Refusal::not_run(Reason::Draining, Some(MIN_RETRY_AFTER)));
        }
        let request = self.check_admission(now, submission)?;
        let ticket = self.requests.insert(request);
        self.next_number += 1;
        self.pools[request.pool].retries.deposit();
        self.enqueue(ticket, request.pool);
        Ok(ticket)
    }

    fn check_admission(
        &self,
        now: Instant,
        submission: Submission,
    ) -> Result<Request, Refusal> {
        let pool = self
            .pool_of(&submission)
            .map_err(|reason| Refusal::not_run(reason, None))?;
        if self.table.accepting(pool) == 0 {
            let retry_after = Some(MIN_RETRY_AFTER);
            return Err(Refusal::not_run(Reason::NoEndpoint, retry_after));
        }
        let wait = self.expected_wait(&submission);
        let retry_after = Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        let queue = &self.queues[submission.queue];
        if queue.waiting >= queue.capacity(submission.class) {
            return Err(Refusal::not_run(Reason::QueueFull, retry_after));
        }
        if wait > self.max_wait(now, &submission) || submission.deadline <= now {
            return Err(Refusal::not_run(Reason::CannotStartInTime, retry_after));
        }
        Ok(Request {
            submission,
            pool,
            number: self.next_number,
            start_by: now + self.max_wait(now, &submission),
            due: now + self.options.urgent_start / DUE_DIVISOR,
            state: State::Waiting,
            attempts: 0,
            avoid: None,
            verdict: Verdict::NotRun,
        })
    }

    fn max_wait(&self, now: Instant, submission: &Submission) -> Duration {
        let left = submission.deadline.saturating_since(now);
        match submission.class {
            Class::Urgent => left.min(self.options.urgent_start),
            Class::Normal => left,
        }
    }

    fn expected_wait(&self, submission: &Submission) -> Duration {
        let Some(queue) = self.queues.get(submission.queue) else {
            return Duration::ZERO;
        };
        let Some(pool_state) = self.pools.get(queue.pool) else {
            return Duration::ZERO;
        };
        let fair_queue = &pool_state.fair_queue;
        let units = self.table.pool_units(queue.pool);
        let own = Load {
            ahead: fair_queue.requests_ahead(submission.workspace, submission.class),
            slots: fair_queue.expected_slots(submission.workspace, units),
        };
        let before = fair_queue.waiting_before(submission.class);
        let all = Load {
            ahead: before,
            slots: f64::from(units),
        };
        let due = Load {
            ahead: before,
            slots: f64::from(units) * FairQueue::DUE_FRACTION,
        };
        let worst = match submission.class {
            Class::Urgent => own.faster(due),
            Class::Normal => own,
        };
        let run_time = queue.run_time.unwrap_or_default();
        pool_state.forecast.wait(run_time, worst, all)
    }

    /// Adds a request that isn't queued to the fair queue of a pool, in its original
    /// position.
    pub(super) fn enqueue(&mut self, ticket: Ticket, pool: PoolKey) {
        self.requests[ticket].pool = pool;
        let request = self.requests[ticket];
        let submission = request.submission;
        let Some(pool_state) = self.pools.get_mut(request.pool) else {
            return;
        };
        let share = self
            .workspaces
            .get(submission.workspace)
            .map_or(1, |workspace| workspace.share);
        pool_state.fair_queue.set_share(submission.workspace, share);
        let waiting = QueuedRequest {
            ticket,
            class: submission.class,
            number: request.number,
            due: request.due,
        };
        pool_state.fair_queue.push(submission.workspace, waiting);
        self.deadlines.insert((submission.deadline, ticket));
        if let Some(queue) = self.queues.get_mut(submission.queue) {
            queue.waiting += 1;
        }
        self.ready.insert(request.pool);
    }

    /// Removes a waiting request from the fair queue.
    pub(super) fn dequeue(&mut self, ticket: Ticket) {
        let request = self.requests[ticket];
        let submission = request.submission;
        if let Some(pool_state) = self.pools.get_mut(request.pool) {
            pool_state.fair_queue.remove(
                submission.workspace,
                submission.class,
                request.number,
            );
        }
        self.on_dequeued(ticket);
    }

    /// Updates the deadline index and the queue length for a request that no longer
    /// waits.
    pub(super) fn on_dequeued(&mut self, ticket: Ticket) {
        let submission = self.requests[ticket].submission;
        self.deadlines.remove(&(submission.deadline, ticket));
        if let Some(queue) = self.queues.get_mut(submission.queue) {
            queue.waiting = queue.waiting.saturating_sub(1);
        }
    }

    /// Rejects a waiting request; the next [`Gate::expire`] returns it.
    pub(super) fn reject_waiting(&mut self, ticket: Ticket, reason: Reason) {
        self.dequeue(ticket);
        self.reject(ticket, reason);
    }

    /// Rejects a request that neither waits nor runs.
    pub(super) fn reject(&mut self, ticket: Ticket, reason: Reason) {
        let Some(request) = self.requests.remove(ticket) else {
            return;
        };
        let refusal = Refusal {
            reason,
            verdict: request.verdict,
            retry_after: None,
        };
        self.expired.push(Expired { ticket, refusal });
    }
}
