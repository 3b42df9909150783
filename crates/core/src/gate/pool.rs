//! What one pool keeps waiting and has running.

use super::forecast::Forecast;
use crate::fair::FairQueue;
use crate::retry::RetryBudget;

#[derive(Clone, Debug, Default)]
pub(super) struct PoolState {
    pub(super) fair_queue: FairQueue,
    pub(super) retries: RetryBudget,
    pub(super) forecast: Forecast,
}
