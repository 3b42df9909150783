//! Timeouts of calls follow the response times of the service that is called.

use std::time::Duration;

use rhubarbrill_core::round_trip::RoundTrip;
use rstest::rstest;

/// What happened to one call.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// The answer arrived after this many milliseconds.
    Answered(u64),
    /// No answer arrived.
    TimedOut,
}

use Outcome::{Answered, TimedOut};

/// A history of calls and the bounds of the timeout after it, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Case {
    history: &'static [Outcome],
    at_least: u64,
    at_most: u64,
}

#[rstest]
#[case::no_history(Case { history: &[], at_least: 700, at_most: 700 })]
#[case::fast(Case { history: &[Answered(4); 20], at_least: 200, at_most: 200 })]
#[case::became_slow(Case { history: &[Answered(4), TimedOut, TimedOut, Answered(240), Answered(240)], at_least: 300, at_most: 700 })]
#[case::slow_for_a_while(Case { history: &[Answered(240); 40], at_least: 240, at_most: 400 })]
#[case::single_loss(Case { history: &[Answered(4), Answered(4), Answered(4), Answered(4), Answered(4), TimedOut], at_least: 400, at_most: 400 })]
#[case::answer_after_losses(Case { history: &[Answered(4), Answered(4), Answered(4), Answered(4), TimedOut, TimedOut, Answered(4)], at_least: 200, at_most: 200 })]
#[case::silent(Case { history: &[TimedOut; 40], at_least: 700, at_most: 700 })]
fn timeout_follows_the_response_times(#[case] case: Case) {
    let mut round_trip = RoundTrip::new(Duration::from_millis(200));
    for outcome in case.history {
        match outcome {
            Answered(ms) => round_trip.record_answer(Duration::from_millis(*ms)),
            TimedOut => round_trip.record_timeout(),
        }
    }
    let timeout = round_trip.timeout();
    assert!(
        timeout >= Duration::from_millis(case.at_least)
            && timeout <= Duration::from_millis(case.at_most),
        "the timeout is {timeout:?}"
    );
}
