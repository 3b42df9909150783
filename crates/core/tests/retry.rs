//! Retry budget under an outage.

use rhubarbrill_core::retry::RetryBudget;

/// Returns the number of attempts that `calls` first attempts cause if every attempt
/// fails.
fn total_attempts(calls: u32, mut may_retry: impl FnMut(u32) -> bool) -> u32 {
    (0..calls)
        .map(|_| 1 + (0..3).take_while(|&retry| may_retry(retry)).count() as u32)
        .sum()
}

#[test]
fn retries_do_not_amplify_an_overload() {
    let mut budget = RetryBudget::default();
    let mut earned = 0;
    let with_budget = total_attempts(1_000, |retry| {
        if retry == 0 {
            budget.deposit();
            earned += 1;
        }
        budget.try_withdraw()
    });
    let bound = 1_000 + 100 + RetryBudget::MAX_RETRIES_IN_A_ROW;
    assert!(with_budget <= bound, "{with_budget} attempts");
    assert!(with_budget > 1_100, "the budget allows retries");
    assert_eq!(earned, 1_000);
    assert_eq!(
        total_attempts(1_000, |_| true),
        4_000,
        "every request is attempted four times without a budget"
    );
}
