//! Retry budgets, so that retries can't multiply an overload.

/// Tokens that one retry costs.
const RETRY_COST: u32 = 10;
/// Tokens that one first attempt earns.
const ATTEMPT_GAIN: u32 = 1;
/// Most tokens kept.
const CAPACITY: u32 = 20 * RETRY_COST;

/// Tokens that one pool's retries are paid from.
///
/// Over time retries are at most a tenth of first attempts, plus what was saved up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: CAPACITY }
    }
}

impl RetryBudget {
    /// Most retries that can be paid without a first attempt between them.
    pub const MAX_RETRIES_IN_A_ROW: u32 = CAPACITY / RETRY_COST;

    /// Earns tokens for a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = CAPACITY.min(self.tokens + ATTEMPT_GAIN);
    }

    /// Pays for a retry and returns whether there were tokens enough.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(RETRY_COST) else {
            return false;
        };
        self.tokens = left;
        true
    }
}
