//! The permission to send a request to an endpoint.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rhubarbrill_core::fleet::HostKey;
use rhubarbrill_core::gate::{Outcome, Reason, Refusal, Retry, Start, Ticket};
use rhubarbrill_core::time::Instant;
use rhubarbrill_core::verdict::Verdict;
use tokio::sync::oneshot;

use super::Engine;
use super::shared::Decision;

/// A request's place in the gate. Dropping the permit ends or cancels the request.
#[derive(Debug)]
pub struct Permit {
    engine: Arc<Engine>,
    ticket: Ticket,
    start: Option<Start>,
    /// Whether the request may have been sent since its latest start.
    sent: AtomicBool,
    ended: bool,
}

/// Where and until when a request is to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The host whose endpoint the request is sent to.
    pub host: HostKey,
    /// Time by which the endpoint must have ended the request.
    pub deadline: Instant,
    /// Number of attempts before this one.
    pub previous_attempts: u32,
}

impl Permit {
    pub(super) const fn waiting(engine: Arc<Engine>, ticket: Ticket) -> Self {
        Self {
            engine,
            ticket,
            start: None,
            sent: AtomicBool::new(false),
            ended: false,
        }
    }

    pub(super) async fn wait(
        &mut self,
        decision: oneshot::Receiver<Decision>,
    ) -> Result<(), Refusal> {
        let decision = decision
            .await
            .unwrap_or_else(|_| Err(Refusal::not_run(Reason::DeadlinePassed, None)));
        match decision {
            Ok(start) => {
                self.start = Some(start);
                Ok(())
            }
            Err(refusal) => {
                self.ended = true;
                Err(refusal)
            }
        }
    }

    /// Returns where to send the request, or `None` before its start.
    pub fn attempt(&self) -> Option<Attempt> {
        self.start.map(|start| Attempt {
            host: start.host,
            deadline: start.until,
            previous_attempts: start.attempts,
        })
    }

    /// Returns whether the request may be sent now; if so, it counts as sent.
    pub fn may_send(&self) -> bool {
        let may_send = self
            .engine
            .read(|gate, now| gate.may_send(now, self.ticket));
        if may_send {
            self.sent.store(true, Ordering::Relaxed);
        }
        may_send
    }

    /// Returns the unsent request to its former place in the queue and waits for its next
    /// start.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] that is the request's final answer.
    pub async fn requeue(&mut self) -> Result<(), Refusal> {
        let ticket = self.ticket;
        self.reenter(|gate, now| {
            gate.requeue(now, ticket);
            Ok(ticket)
        })
        .await
    }

    /// Queues the request again after a failed attempt and waits for its next start.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] that is the request's final answer.
    pub async fn retry(&mut self, verdict: Verdict) -> Result<(), Refusal> {
        let ticket = self.ticket;
        self.reenter(|gate, now| match gate.retry(now, ticket, verdict) {
            Retry::Requeued => Ok(ticket),
            Retry::GiveUp(refusal) => Err(refusal),
        })
        .await
    }

    /// Ends the request with `outcome`.
    pub fn finish(mut self, outcome: Outcome) {
        self.ended = true;
        let ticket = self.ticket;
        self.engine
            .change(|gate, now| gate.finish(now, ticket, outcome));
    }

    async fn reenter(
        &mut self,
        change: impl FnOnce(
            &mut rhubarbrill_core::gate::Gate,
            Instant,
        ) -> Result<Ticket, Refusal>,
    ) -> Result<(), Refusal> {
        self.start = None;
        self.sent.store(false, Ordering::Relaxed);
        let (_, decision) = self
            .engine
            .enqueue(change)
            .inspect_err(|_| self.ended = true)?;
        self.wait(decision).await
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let ticket = self.ticket;
        let was_not_sent = self.start.is_some() && !self.sent.load(Ordering::Relaxed);
        self.engine.change(|gate, now| match was_not_sent {
            true => gate.finish(now, ticket, Outcome::Unsent),
            false => gate.cancel(now, ticket),
        });
    }
}
