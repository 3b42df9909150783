//! Outages of a service, told from the outcomes of calls.

use rhubarbrill_core::contact::Contact;
use rhubarbrill_core::time::Instant;
use rstest::rstest;

/// Outcomes of calls, each with its time in milliseconds, and what follows at `now_ms`.
struct Case {
    calls: &'static [(u64, bool)],
    now_ms: u64,
    is_lost: bool,
}

/// Load pattern: an availability zone is cut off in a burst. Its entry hosts go on
/// receiving a quarter of the callers until they report that they aren't ready, and each
/// caller loses a second or more with a submission that can't be stored there.
#[rstest]
#[case::quiet(Case { calls: &[(0, true)], now_ms: 5_000, is_lost: false })]
#[case::one_lost_answer(Case {
    calls: &[(0, true), (200, false), (400, true)], now_ms: 2_000, is_lost: false,
})]
#[case::first_failures(Case {
    calls: &[(0, true), (100, false), (300, false)], now_ms: 500, is_lost: false,
})]
#[case::cut_off(Case {
    calls: &[(0, true), (100, false), (300, false)], now_ms: 700, is_lost: true,
})]
#[case::back_again(Case {
    calls: &[(100, false), (900, false), (1_000, true)], now_ms: 1_000, is_lost: false,
})]
fn outage_is_recognized_by_failing_calls(#[case] case: Case) {
    let mut contact = Contact::default();
    for &(at_ms, answered) in case.calls {
        if answered {
            contact.record_answer();
        } else {
            contact.record_failure(Instant::from_millis(at_ms));
        }
    }
    assert_eq!(
        contact.is_lost(Instant::from_millis(case.now_ms)),
        case.is_lost
    );
}
