//! Renews the leader's lease until the term ends, and replaces the lease if it expired
//! while the store served nobody.

use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::Feature;
use rhubarbrill_core::time::Instant;
use rhubarbrill_event::Event;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::election::{self, Reclaim};
use super::hand_over::{self, Answers};
use super::term::{Shared, log_term};
use crate::clock;
use crate::platform::{Failure, Platform};

/// Interval between renewals while the store answers.
const INTERVAL: Duration = Duration::from_millis(300);

/// Interval between renewals while one has failed or waits for its answer. Bounds the time
/// from the return of the store to the next renewal.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of renewals that wait for answers at the same time. A store that is
/// silent must not keep the next renewal waiting for the timeout of the one before.
const MAX_IN_FLIGHT: usize = 8;

/// Time for which renewals must fail before other entry hosts are asked whether they reach
/// the store, and interval between such questions.
const CHECK_AFTER: Duration = Duration::from_millis(400);

/// A renewal of the lease and its outcome.
#[derive(Debug)]
struct Attempt {
    lease: u64,
    sent: Instant,
    outcome: Result<bool, Failure>,
}

/// The renewals of a lease and what they show about the store.
#[derive(Debug)]
struct Renewals<P> {
    shared: Rc<Shared<P>>,
    attempts: JoinSet<Attempt>,
    next: tokio::time::Instant,
    /// When the first renewal since the last answer was sent.
    failing_since: Option<Instant>,
    /// Questions to other entry hosts, of which there is at most one at a time.
    checks: JoinSet<Answers>,
    /// Number of questions since the last answer to a renewal.
    rounds: u32,
    /// Whether the entry hosts that were asked last didn't reach the store either.
    is_outage: bool,
}

/// Renews the leader's lease until the term ends.
pub(super) async fn renew<P: Platform>(shared: Rc<Shared<P>>, done: CancellationToken) {
    let mut renewals = Renewals {
        shared,
        attempts: JoinSet::new(),
        next: tokio::time::Instant::now() + INTERVAL,
        failing_since: None,
        checks: JoinSet::new(),
        rounds: 0,
        is_outage: false,
    };
    while !renewals.shared.leadership.validity.is_over() {
        tokio::select! {
            () = done.cancelled() => return,
            () = renewals.step() => {}
        }
    }
}

impl<P: Platform> Renewals<P> {
    /// Waits for the next event and handles it.
    async fn step(&mut self) {
        tokio::select! {
            () = self.shared.leadership.record.gone() => {
                self.next = tokio::time::Instant::now();
            }
            // A renewal or a question that panicked has been logged and counts as not made.
            Some(joined) = self.attempts.join_next() => {
                if let Ok(attempt) = joined {
                    self.record(handle(&self.shared, attempt).await);
                }
            }
            Some(joined) = self.checks.join_next() => {
                if let (Ok(answers), Some(failing)) = (joined, self.failing_time()) {
                    self.judge(failing, &answers);
                }
            }
            () = tokio::time::sleep_until(self.next) => {
                self.start_attempt();
                self.start_check();
            }
        }
    }

    fn start_attempt(&mut self) {
        let is_waiting = !self.attempts.is_empty() || self.failing_since.is_some();
        let interval = if is_waiting { RETRY_INTERVAL } else { INTERVAL };
        self.next = tokio::time::Instant::now() + interval;
        if self.attempts.len() < MAX_IN_FLIGHT {
            self.failing_since.get_or_insert(clock::now());
            self.attempts.spawn_local(attempt(Rc::clone(&self.shared)));
        }
    }

    fn start_check(&mut self) {
        let is_on = self
            .shared
            .node
            .settings
            .features
            .contains(Feature::HandOver);
        let due = CHECK_AFTER * (self.rounds + 1);
        let is_due = self.failing_time().is_some_and(|failing| failing >= due);
        if is_on && is_due && self.checks.is_empty() {
            let asking = hand_over::ask_others(Rc::clone(&self.shared), self.rounds);
            self.checks.spawn_local(asking);
            self.rounds += 1;
        }
    }

    /// Hands over if another entry host reaches the store. If none did so in the question
    /// before, the store has just returned, and the next renewal will probably succeed.
    fn judge(&mut self, failing: Duration, answers: &Answers) {
        let is_none = answers.reaching.is_none();
        let was_none = std::mem::replace(&mut self.is_outage, is_none);
        hand_over::conclude(&self.shared, failing, answers, !is_none && !was_none);
    }

    /// Records whether the store answered a renewal.
    fn record(&mut self, is_answered: bool) {
        if is_answered {
            self.failing_since = None;
            self.rounds = 0;
            self.is_outage = false;
        } else {
            let retry = tokio::time::Instant::now() + RETRY_INTERVAL;
            self.next = self.next.min(retry);
        }
    }

    /// Returns the time for which renewals have failed.
    fn failing_time(&self) -> Option<Duration> {
        Some(clock::now().saturating_since(self.failing_since?))
    }
}

async fn attempt<P: Platform>(shared: Rc<Shared<P>>) -> Attempt {
    let lease = shared.leadership.record.lease().id;
    let sent = clock::now();
    let outcome = shared.node.renew(lease).await;
    Attempt {
        lease,
        sent,
        outcome,
    }
}

/// Handles the outcome of a renewal. Returns whether the store answered.
async fn handle<P: Platform>(shared: &Shared<P>, attempt: Attempt) -> bool {
    let leadership = &shared.leadership;
    let lease = leadership.record.lease();
    match attempt.outcome {
        Ok(_) if attempt.lease != lease.id => true,
        Ok(true) if is_record_missing(shared) => {
            leadership.validity.end();
            true
        }
        Ok(true) => {
            leadership.validity.renew(attempt.sent, lease.ttl);
            true
        }
        Ok(false) => reclaim(shared).await,
        // A later renewal may succeed; until then the remaining validity runs out.
        Err(_) => false,
    }
}

/// Returns whether the store holds no leader's record although the lease is valid.
fn is_record_missing<P>(shared: &Shared<P>) -> bool {
    let view = shared.node.view.borrow();
    view.leader.is_none() && view.as_of() >= shared.leadership.record.revision()
}

/// Writes the leader's record again under a new lease, which succeeds only if no other
/// process has led since this term began. Returns whether the store answered.
async fn reclaim<P: Platform>(shared: &Shared<P>) -> bool {
    let leadership = &shared.leadership;
    if leadership.validity.is_over() {
        return true;
    }
    let sent = clock::now();
    match election::reclaim(&shared.node, leadership).await {
        Reclaim::Done { revision, lease } => {
            leadership.record.replace(revision, lease);
            leadership.validity.renew(sent, lease.ttl);
            log_term(shared, Event::TermReclaimed);
            true
        }
        Reclaim::Lost => {
            leadership.validity.end();
            true
        }
        Reclaim::Unavailable => false,
    }
}
