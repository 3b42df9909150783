//! The gate behind a lock, and the requests that wait for its decisions.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::gate::{Gate, Options, Refusal, Start, Submission, Ticket};
use rhubarbrill_core::placement::Placement;
use rhubarbrill_core::time::Instant;
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use super::Permit;
use crate::clock::Clock;

/// The start of a request, or the refusal that is its final answer.
pub(super) type Decision = Result<Start, Refusal>;

/// Shares one [`Gate`] among tasks.
///
/// The lock is held for a single decision at a time and never across an await point.
#[derive(Debug)]
pub struct Engine {
    clock: Clock,
    state: Mutex<State>,
    timer: Notify,
}

#[derive(Debug)]
struct State {
    gate: Gate,
    waiters: SecondaryMap<Ticket, oneshot::Sender<Decision>>,
}

impl Engine {
    /// Returns an engine without a fleet.
    pub fn new(clock: Clock, options: Options) -> Self {
        let state = State {
            gate: Gate::new(options),
            waiters: SecondaryMap::new(),
        };
        Self {
            clock,
            state: Mutex::new(state),
            timer: Notify::new(),
        }
    }

    /// Returns the clock that decisions are based on.
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Applies a new configuration and placement to the gate.
    pub fn reconfigure(&self, fleet: &Fleet, placement: &Placement) {
        self.change(|gate, now| gate.reconfigure(fleet, placement, now));
    }

    /// Waits until a request may be sent.
    ///
    /// Dropping the future removes the request from its queue.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] that is the request's final answer.
    pub async fn admit(
        self: &Arc<Self>,
        submission: Submission,
    ) -> Result<Permit, Refusal> {
        let (ticket, decision) =
            self.enqueue(|gate, now| gate.submit(now, submission))?;
        let mut permit = Permit::waiting(Arc::clone(self), ticket);
        permit.wait(decision).await?;
        Ok(permit)
    }

    /// Puts a request into the gate and registers a receiver for its decision.
    ///
    /// Both happen under one lock, so that no start is issued before its receiver exists.
    pub(super) fn enqueue(
        &self,
        change: impl FnOnce(&mut Gate, Instant) -> Result<Ticket, Refusal>,
    ) -> Result<(Ticket, oneshot::Receiver<Decision>), Refusal> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let now = self.clock.now();
        let ticket = change(&mut state.gate, now)?;
        state.waiters.insert(ticket, sender);
        let sooner = state.dispatch(now);
        drop(state);
        self.wake_timer(sooner);
        Ok((ticket, receiver))
    }

    /// Applies a change to the gate, then starts all requests that can start.
    pub fn change<R>(&self, change: impl FnOnce(&mut Gate, Instant) -> R) -> R {
        let mut state = self.lock();
        let now = self.clock.now();
        let result = change(&mut state.gate, now);
        let sooner = state.dispatch(now);
        drop(state);
        self.wake_timer(sooner);
        result
    }

    /// Calls `read` with the gate and the current time.
    pub fn read<R>(&self, read: impl FnOnce(&Gate, Instant) -> R) -> R {
        let state = self.lock();
        read(&state.gate, self.clock.now())
    }

    /// Runs the gate's timer until cancelled, for decisions that only depend on time.
    pub async fn run(&self, cancel: CancellationToken) {
        loop {
            let wake = self.read(|gate, _| gate.next_wake());
            tokio::select! {
                () = cancel.cancelled() => return,
                () = self.timer.notified() => {}
                () = self.sleep_until(wake) => self.change(|_, _| ()),
            }
        }
    }

    async fn sleep_until(&self, wake: Option<Instant>) {
        match wake {
            Some(wake) => tokio::time::sleep_until(self.clock.to_tokio(wake)).await,
            None => std::future::pending().await,
        }
    }

    fn wake_timer(&self, sooner: bool) {
        if sooner {
            self.timer.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Delivers refusals and starts; returns whether the gate's next wake-up time has
    /// changed.
    fn dispatch(&mut self, now: Instant) -> bool {
        let before = self.gate.next_wake();
        for expired in self.gate.expire(now) {
            self.notify_waiter(expired.ticket, Err(expired.refusal));
        }
        while let Some(start) = self.gate.next_start(now) {
            if !self.notify_waiter(start.ticket, Ok(start)) {
                self.gate.cancel(now, start.ticket);
            }
        }
        self.gate.next_wake() != before
    }

    fn notify_waiter(&mut self, ticket: Ticket, decision: Decision) -> bool {
        let waiter = self.waiters.remove(ticket);
        waiter.is_some_and(|waiter| waiter.send(decision).is_ok())
    }
}
