//! Rejects jobs that can't end while they are of use to their callers, by the leader's
//! estimate.

use std::time::Duration;

use http::StatusCode;
use rhubarbrill_core::job::estimate::Verdict;
use rhubarbrill_core::job::{Feature, Spec};
use rhubarbrill_event::Event;
use slog::o;

use super::Answer;
use super::request::Call;
use super::stored;
use crate::node::Node;
use crate::platform::{Bodies, Platform};
use crate::{clock, event};

/// Reason that is logged and returned to callers.
const REASON: &str = "not accepted, never runs: the pool can't finish the job in time";

/// Returns the rejection of a job, or `None` if it may be accepted.
///
/// A job that another entry host accepted before is not rejected, so the store is asked
/// first. Without its answer the job goes the usual way.
pub(super) async fn reject<P: Platform>(
    node: &Node<P>,
    call: &Call,
    spec: &Spec,
) -> Option<Answer> {
    if !node.settings.features.contains(Feature::Admission) {
        return None;
    }
    let (delay, wait_ms, age) = rejection(node, call, spec)?;
    let stored = stored::read_job_state(node, &call.id).await;
    if !matches!(stored, Ok(None)) {
        return None;
    }
    node.metrics.job_rejected(&call.queue.name, work(spec));
    let fields = o!(
        "job" => call.id.clone(),
        "queue" => call.queue.name.clone(),
        "pool" => call.queue.pool.clone(),
        "wait_ms" => wait_ms,
        "path_ms" => spec.critical_path_ms(),
        "retry_after_ms" => clock::millis(delay),
        "age_ms" => clock::millis(age),
    );
    event::log(&node.log, Event::JobNotAdmitted, fields);
    let answer = Answer::new(StatusCode::SERVICE_UNAVAILABLE, REASON)
        .with_body(node.platform.bodies().refusal(REASON))
        .with_retry_after(delay);
    Some(answer)
}

/// Returns the time after which a job may be sent again if the estimate rejects it, with
/// the wait and the age of the estimate.
fn rejection<P: Platform>(
    node: &Node<P>,
    call: &Call,
    spec: &Spec,
) -> Option<(Duration, u64, Duration)> {
    let view = node.view.borrow();
    let (estimate, age) = view.estimate(clock::now())?;
    let pool = estimate.pools.get(&call.queue.pool)?;
    match estimate.verdict(&call.queue, spec, &call.id) {
        Verdict::Admit => None,
        Verdict::Reject(delay) => Some((delay, pool.wait_ms, age)),
    }
}

/// Returns the estimated work of a job, in core milliseconds.
fn work(spec: &Spec) -> u64 {
    let steps = spec.steps.iter();
    let work = steps
        .map(|step| u64::from(step.count) * step.demand.cpu * step.estimate_ms / 1_000);
    work.sum()
}
