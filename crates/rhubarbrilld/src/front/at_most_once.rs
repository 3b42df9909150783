//! Requests that must run at most once: their claim before they are sent.

use std::time::Duration;

use http::StatusCode;
use rhubarbrill_core::claim::{Answer, IdempotencyKey};

use super::problem::Problem;
use crate::control::{ClaimError, ClaimGuard, Node};

/// When a caller may come back after the store gave no answer.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// When a caller may come back to a full record of claims.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Claims an identity for this arrival, or returns the final answer.
pub(super) async fn claim(
    node: &Node,
    key: IdempotencyKey,
    workspace: &str,
    timeout: Duration,
) -> Result<ClaimGuard, Problem> {
    if !node.store_reachable() {
        return Err(claim_problem(&ClaimError::NoAnswer));
    }
    node.claims()
        .acquire(key, workspace, timeout)
        .await
        .map_err(|error| claim_problem(&error))
}

fn claim_problem(error: &ClaimError) -> Problem {
    match error {
        ClaimError::Skewed => {
            let detail = "The identity was issued in the future: check your clock.";
            Problem::not_run(StatusCode::BAD_REQUEST, "identity-ahead", detail)
        }
        ClaimError::NoAnswer => {
            let detail = "The store that keeps claims gave no answer in time.";
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "store-unreachable", detail)
                .with_retry_after(STORE_RETRY_AFTER)
        }
        ClaimError::Answered(answer) => answer_problem(answer),
    }
}

fn answer_problem(answer: &Answer) -> Problem {
    match answer {
        Answer::TooOld => {
            let detail = "The identity is too old to tell whether it was used before.";
            Problem::may_have_run(StatusCode::CONFLICT, "identity-too-old", detail)
        }
        Answer::Full => {
            let detail = "The record of claims is full.";
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "claims-full", detail)
                .with_retry_after(FULL_RETRY_AFTER)
        }
        // An arrival that has won is not denied; the claim of another one stands.
        Answer::Won | Answer::Lost { .. } => {
            let detail = "The identity was used before; its request may have run.";
            Problem::may_have_run(StatusCode::CONFLICT, "identity-used", detail)
        }
    }
}
