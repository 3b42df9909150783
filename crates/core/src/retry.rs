//! Retry budgets, which keep retries from amplifying an overload.

/// Number of tokens that one retry costs.
const RETRY_COST: u32 = 10;
/// Number of tokens that one first attempt earns.
const ATTEMPT_GAIN: u32 = 1;
/// Maximum number of tokens; a new budget starts with it.
const CAPACITY: u32 = 20 * RETRY_COST;

/// Token bucket that pays for the retries of one pool.
///
/// In the long run retries are at most a tenth of first attempts; a burst can use the
/// saved tokens in addition.
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
    /// Maximum number of retries without a first attempt between them.
    pub const MAX_RETRIES_IN_A_ROW: u32 = CAPACITY / RETRY_COST;

    /// Adds the tokens for a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = CAPACITY.min(self.tokens + ATTEMPT_GAIN);
    }

    /// Withdraws the tokens for a retry and returns whether there were enough.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(RETRY_COST) else {
            return false;
        };
        self.tokens = left;
        true
    }
}
