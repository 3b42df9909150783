//! Completion of requests: answers, failures, retries and cancellations.

use super::request::{Attempt, Request, State};
use super::{Gate, Outcome, Reason, Refusal, Retry, Status, Ticket};
use crate::fleet::PoolKey;
use crate::time::Instant;
use crate::verdict::Verdict;

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

impl Gate {
    /// Completes a request that was sent. Does nothing for a ticket that isn't running.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, outcome: Outcome) {
        let Some(attempt) = self.running_attempt(ticket) else {
            return;
        };
        self.record_outcome(ticket, attempt, now, outcome);
        match outcome {
            Outcome::Answered { .. }
            | Outcome::Failed {
                verdict: Verdict::NotRun,
            }
            | Outcome::Unsent => self.finish_attempt(ticket, attempt, now),
            Outcome::Failed { .. } | Outcome::Cancelled => {
                self.abandon(ticket, attempt, now);
            }
        }
        self.requests.remove(ticket);
    }

    /// Decides whether a request is retried after a failed attempt.
    ///
    /// The request is queued again in its original position if a second run is ruled out
    /// or harmless, its deadline has not passed and the pool's retry budget allows it. A
    /// ticket that isn't running is given up on as "may have run".
    pub fn retry(&mut self, now: Instant, ticket: Ticket, verdict: Verdict) -> Retry {
        let Some(attempt) = self.running_attempt(ticket) else {
            return Retry::GiveUp(Refusal {
                reason: Reason::AttemptFailed,
                verdict: Verdict::MayHaveRun,
                retry_after: None,
            });
        };
        self.record_outcome(ticket, attempt, now, Outcome::Failed { verdict });
        match verdict.allows_resend() {
            true => self.finish_attempt(ticket, attempt, now),
            false => self.abandon(ticket, attempt, now),
        }
        let request = &mut self.requests[ticket];
        request.verdict = request.verdict.max(verdict);
        request.attempts += 1;
        request.avoid = Some(attempt.host);
        request.state = State::Waiting;
        let request = *request;
        match self.retry_in(now, &request) {
            Ok(pool) => {
                self.enqueue(ticket, pool);
                Retry::Requeued
            }
            Err(reason) => {
                self.requests.remove(ticket);
                Retry::GiveUp(Refusal {
                    reason,
                    verdict: request.verdict,
                    retry_after: None,
                })
            }
        }
    }

    /// Cancels a waiting or running request whose caller has gone.
    ///
    /// For a running request, first close its connection to the endpoint: its slot is
    /// freed at once. Its unit is freed at once too if the queue's endpoints stop work
    /// when the connection closes; otherwise the unit stays occupied until the run must
    /// have ended.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) {
        if self.running_attempt(ticket).is_some() {
            return self.finish(now, ticket, Outcome::Cancelled);
        }
        if self.requests.contains_key(ticket) {
            self.dequeue(ticket);
            self.requests.remove(ticket);
        }
    }

    /// Returns the pool in which a failed request may be queued again, and charges the
    /// pool's retry budget.
    fn retry_in(&mut self, now: Instant, request: &Request) -> Result<PoolKey, Reason> {
        let resend = request.verdict.allows_resend() || request.submission.repeatable;
        if !resend || request.attempts >= MAX_ATTEMPTS {
            return Err(Reason::AttemptFailed);
        }
        if request.submission.deadline <= now {
            return Err(Reason::DeadlinePassed);
        }
        let pool = self.pool_of(&request.submission)?;
        match self.pools[pool].retries.try_withdraw() {
            true => Ok(pool),
            false => Err(Reason::RetryBudgetSpent),
        }
    }

    /// Updates the statistics of the endpoint and the queue with the result of an
    /// attempt.
    fn record_outcome(
        &mut self,
        ticket: Ticket,
        attempt: Attempt,
        now: Instant,
        outcome: Outcome,
    ) {
        let success = match outcome {
            Outcome::Answered { status, latency } => {
                self.table.observe(attempt.host, latency, attempt.expected);
                let queue = self.requests[ticket].submission.queue;
                if let Some(queue) = self.queues.get_mut(queue) {
                    queue.observe(latency);
                }
                status != Status::ServerError
            }
            Outcome::Failed { .. } => false,
            Outcome::Cancelled | Outcome::Unsent => return,
        };
        if !success {
            self.table.observe_failure(attempt.host);
        }
        self.monitor.record(attempt.host, now, success);
    }
}
