//! Renews the leader's lease until the term ends, and replaces the lease if it expired
//! while the store served nobody.

use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::time::Instant;
use rhubarbrill_event::Event;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::election::{self, Reclaim};
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

/// A renewal of the lease and its outcome.
#[derive(Debug)]
struct Attempt {
    lease: u64,
    sent: Instant,
    outcome: Result<bool, Failure>,
}

/// Renews the leader's lease until the term ends.
pub(super) async fn renew<P: Platform>(shared: Rc<Shared<P>>, done: CancellationToken) {
    let mut attempts = JoinSet::new();
    let mut next = tokio::time::Instant::now() + INTERVAL;
    loop {
        tokio::select! {
            () = done.cancelled() => return,
            () = shared.leadership.record.gone() => next = tokio::time::Instant::now(),
            Some(joined) = attempts.join_next() => {
                // A renewal that panicked has been logged and counts as not made.
                let Ok(attempt) = joined else { continue };
                if !handle(&shared, attempt).await {
                    next = next.min(tokio::time::Instant::now() + RETRY_INTERVAL);
                }
            }
            () = tokio::time::sleep_until(next) => {
                let interval = if attempts.is_empty() { INTERVAL } else { RETRY_INTERVAL };
                next = tokio::time::Instant::now() + interval;
                if attempts.len() < MAX_IN_FLIGHT {
                    attempts.spawn_local(attempt(Rc::clone(&shared)));
                }
            }
        }
        if shared.leadership.validity.is_over() {
            return;
        }
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
