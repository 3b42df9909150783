//! Ends: answers, failures, retries and cancellations.

use super::request::{Request, Run, State};
use super::{Gate, Outcome, Reason, Refusal, Retry, Status, Ticket};
use crate::fleet::PoolKey;
use crate::time::Instant;
use crate::verdict::Verdict;

/// Most attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

impl Gate {
    /// Ends a request that was sent. Tickets that ended before are passed over.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, outcome: Outcome) {
        let Some(run) = self.run_of(ticket) else {
            return;
        };
        self.learn(ticket, run, now, outcome);
        match outcome {
            Outcome::Answered { .. }
            | Outcome::Failed {
                verdict: Verdict::NotRun,
            }
            | Outcome::Unsent => self.free(ticket, run, now),
            Outcome::Failed { .. } | Outcome::Cancelled => self.abandon(ticket, run, now),
        }
        self.requests.remove(ticket);
    }

    /// Decides what becomes of a request whose attempt failed.
    ///
    /// It waits again in its old place if that can't run it twice, its deadline has not
    /// passed and the pool's retry budget pays for it. A ticket that ended before is
    /// given up on as "may have run".
    pub fn retry(&mut self, now: Instant, ticket: Ticket, verdict: Verdict) -> Retry {
        let Some(run) = self.run_of(ticket) else {
            return Retry::GiveUp(Refusal {
                reason: Reason::AttemptFailed,
                verdict: Verdict::MayHaveRun,
                retry_after: None,
            });
        };
        self.learn(ticket, run, now, Outcome::Failed { verdict });
        match verdict.allows_resend() {
            true => self.free(ticket, run, now),
            false => self.abandon(ticket, run, now),
        }
        let request = &mut self.requests[ticket];
        request.verdict = request.verdict.max(verdict);
        request.attempts += 1;
        request.avoid = Some(run.host);
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

    /// Ends a request whose caller has gone, whether it waits or runs.
    ///
    /// For one that runs, first close its connection to the endpoint: the slot is free
    /// from now on. The unit is too if the queue's endpoints stop work whose connection
    /// closes; otherwise it stays occupied until the run must have ended.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) {
        if self.run_of(ticket).is_some() {
            return self.finish(now, ticket, Outcome::Cancelled);
        }
        if self.requests.contains_key(ticket) {
            self.unqueue(ticket);
            self.requests.remove(ticket);
        }
    }

    /// Returns the pool that a failed request may wait for again, and pays for it.
    fn retry_in(&mut self, now: Instant, request: &Request) -> Result<PoolKey, Reason> {
        let resend = request.verdict.allows_resend() || request.submission.repeatable;
        if !resend || request.attempts >= MAX_ATTEMPTS {
            return Err(Reason::AttemptFailed);
        }
        if request.submission.deadline <= now {
            return Err(Reason::DeadlinePassed);
        }
        let pool = self.destination_of(&request.submission)?;
        match self.pools[pool].retries.try_withdraw() {
            true => Ok(pool),
            false => Err(Reason::RetryBudgetSpent),
        }
    }

    /// Takes in what an attempt says about its endpoint and its queue.
    fn learn(&mut self, ticket: Ticket, run: Run, now: Instant, outcome: Outcome) {
        let good = match outcome {
            Outcome::Answered { status, latency } => {
                self.table.observe(run.host, latency, run.expected);
                let queue = self.requests[ticket].submission.queue;
                if let Some(queue) = self.queues.get_mut(queue) {
                    queue.observe(latency);
                }
                status != Status::ServerError
            }
            Outcome::Failed { .. } => false,
            Outcome::Cancelled | Outcome::Unsent => return,
        };
        if !good {
            self.table.observe_failure(run.host);
        }
        self.monitor.record(run.host, now, good);
    }
}
