//! Checks that loans of slots survive until a heartbeat carries them.
//!
//! While a heartbeat to the borrower takes longer than the interval between heartbeats,
//! the next loans miss it. They were dropped then, so the slots stayed unused by both
//! entry hosts until the loans ended, again and again on a busy machine.

mod support;

use std::time::Duration;

use rhubarbrill_core::gate::{Loan, Outbox};
use rstest::rstest;
use support::{Fixture, at};

const TERM_MS: u64 = 1_250;

/// When loans are granted and the next heartbeat carries them, in milliseconds.
struct Case {
    granted_at: &'static [u64],
    taken_at: u64,
    /// Terms of the loans that the heartbeat carries, in milliseconds.
    terms: &'static [u64],
}

#[rstest]
#[case::at_once(Case { granted_at: &[0], taken_at: 0, terms: &[1_250] })]
#[case::missed_two_heartbeats(Case { granted_at: &[0, 200, 400], taken_at: 450,
    terms: &[800, 1_000, 1_200] })]
#[case::too_short_to_be_of_use(Case { granted_at: &[0, 1_000], taken_at: 1_200,
    terms: &[1_050] })]
#[case::ended(Case { granted_at: &[0], taken_at: 2_000, terms: &[] })]
fn loans_wait_for_the_next_heartbeat(#[case] case: Case) {
    let fixture = Fixture::new(1, 4, &[(1, 1_000)]);
    let host = fixture.fleet.hosts.iter().next().expect("a host").0;
    let loan = || Loan {
        to: "e1".to_owned(),
        host,
        term: Duration::from_millis(TERM_MS),
    };
    let mut outbox = Outbox::default();
    for &granted_at in case.granted_at {
        outbox.add(at(granted_at), vec![loan()]);
    }
    let taken = outbox.take(at(case.taken_at), "e1");
    let terms: Vec<u128> = taken.iter().map(|loan| loan.term.as_millis()).collect();
    let expected: Vec<u128> = case.terms.iter().map(|&term| u128::from(term)).collect();
    assert_eq!(terms, expected);
    assert!(
        outbox.take(at(case.taken_at), "e1").is_empty(),
        "sent twice"
    );
}
