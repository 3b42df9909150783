//! Stalled watches, told from the leader's own writes.

use rhubarbrill_core::job::watch_progress::{WatchProgress, WatchState};
use rhubarbrill_core::time::Instant;
use rstest::rstest;

/// What happens to a watch.
#[derive(Clone, Copy)]
enum Step {
    /// The store acknowledges a write with this revision.
    Write(u64),
    /// The watch has delivered up to the first revision, and a check finds what the second
    /// value says.
    Check(u64, Found),
}

/// Kind of a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Found {
    Nothing,
    Stalled,
    StillStalled,
    Resumed,
}

fn found(state: Option<WatchState>) -> Found {
    match state {
        None => Found::Nothing,
        Some(WatchState::Stalled(_)) => Found::Stalled,
        Some(WatchState::StillStalled) => Found::StillStalled,
        Some(WatchState::Resumed) => Found::Resumed,
    }
}

/// Each case guards against listings without need, which cost calls, or against a stall
/// that stays unnoticed, in which no new job starts.
#[rstest]
#[case::delivered_in_time(&[(0, Step::Write(5)), (190, Step::Check(4, Found::Nothing)), (250, Step::Check(5, Found::Nothing))])]
#[case::nothing_written(&[(5_000, Step::Check(4, Found::Nothing))])]
#[case::paused_process(&[(0, Step::Write(5)), (400, Step::Check(4, Found::Nothing)), (410, Step::Check(5, Found::Nothing))])]
#[case::stalled(&[
    (0, Step::Write(5)), (200, Step::Check(4, Found::Nothing)), (225, Step::Check(4, Found::Stalled)),
    (300, Step::Check(4, Found::Nothing)), (425, Step::Check(4, Found::StillStalled)),
    (500, Step::Check(5, Found::Resumed)), (600, Step::Check(5, Found::Nothing)),
])]
#[case::answers_out_of_order(&[
    (0, Step::Write(6)), (10, Step::Write(5)), (215, Step::Check(5, Found::Nothing)), (240, Step::Check(5, Found::Stalled)),
])]
#[case::later_write_is_not_overdue(&[
    (0, Step::Write(5)), (150, Step::Write(6)), (210, Step::Check(5, Found::Nothing)), (340, Step::Check(5, Found::Nothing)),
])]
fn stall_is_found_from_undelivered_writes(#[case] steps: &[(u64, Step)]) {
    let mut progress = WatchProgress::default();
    for &(at_ms, step) in steps {
        let now = Instant::from_millis(at_ms);
        match step {
            Step::Write(revision) => progress.record_write(now, revision),
            Step::Check(as_of, expected) => {
                assert_eq!(found(progress.check(now, as_of)), expected, "{at_ms} ms");
            }
        }
    }
}
