//! State of one pool: its fair queue, retry budget and wait forecast.

use super::forecast::Forecast;
use crate::fair::FairQueue;
use crate::retry::RetryBudget;

#[derive(Clone, Debug, Default)]
pub(super) struct PoolState {
    pub(super) fair_queue: FairQueue,
    pub(super) retries: RetryBudget,
    pub(super) forecast: Forecast,
}
