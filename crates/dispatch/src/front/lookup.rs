//! Queries for the state of a job.

use std::time::Duration;

use rhubarbrill_core::job::record::State;

use super::request::Call;
use super::stored::read_job_state;
use super::{forwarding, submit};
use crate::clock;
use crate::node::Node;
use crate::platform::Platform;

/// Delay before the store is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The outcome of a state query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LookupOutcome {
    /// The job exists and has this state.
    Found(State),
    /// There is no such job.
    NoSuchJob,
    /// The store gave no answer before the deadline.
    Unknown,
}

/// Returns the state of a job from the local view or else from the store. While the store
/// is unreachable from this process, asks the leader.
pub(super) async fn look_up<P: Platform>(node: &Node<P>, call: &Call) -> LookupOutcome {
    let known = node.view.borrow().state(&call.id);
    let may_be_old =
        submit::is_store_unreachable(node) && !known.is_some_and(State::is_final);
    if may_be_old && let Some(state) = forwarding::state(node, &call.id).await {
        return state
            .or(known)
            .map_or(LookupOutcome::NoSuchJob, LookupOutcome::Found);
    }
    if let Some(state) = known {
        return LookupOutcome::Found(state);
    }
    let deadline = clock::now() + call.timeout;
    while clock::now() < deadline {
        match read_job_state(node, &call.id).await {
            Ok(state) => {
                return state.map_or(LookupOutcome::NoSuchJob, LookupOutcome::Found);
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    LookupOutcome::Unknown
}
