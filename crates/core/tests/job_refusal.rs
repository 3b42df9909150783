//! Delays after which callers retry that were refused because of the store.

use rhubarbrill_core::job::refusal::Refusals;
use rhubarbrill_core::time::Instant;

const CALLERS: usize = 3_000;

fn job(number: usize) -> String {
    format!("{number:016x}")
}

/// Returns how many of the callers that are refused at `now` are told to return after one,
/// two and three seconds, and the sum of these delays.
fn refuse_all(refusals: &mut Refusals, now: Instant) -> ([usize; 3], u64) {
    let mut counts = [0; 3];
    let mut sum = 0;
    for number in 0..CALLERS {
        let delay = refusals.refuse(now, &job(number)).as_secs();
        counts[usize::try_from(delay).expect("a few seconds") - 1] += 1;
        sum += delay;
    }
    (counts, sum)
}

/// Callers that return in the same second find a leader that has just begun to start the
/// backlog of an outage.
#[test]
fn callers_of_one_moment_return_over_three_seconds() {
    let (counts, _) = refuse_all(&mut Refusals::default(), Instant::from_millis(0));
    for count in counts {
        assert!((900..=1_100).contains(&count), "{counts:?}");
    }
}

/// A caller that was refused before has the older job, and fewer retries are left to it.
#[test]
fn callers_that_were_refused_before_return_sooner() {
    let mut refusals = Refusals::default();
    let (_, first) = refuse_all(&mut refusals, Instant::from_millis(0));
    let (counts, second) = refuse_all(&mut refusals, Instant::from_millis(3_000));
    assert!(second < first, "{second} s after {first} s");
    assert_eq!(counts[2], 0, "{counts:?}");
    let (_, later) = refuse_all(&mut refusals, Instant::from_millis(60_000));
    assert_eq!(later, first, "refusals of an earlier outage are forgotten");
}
