//! Lingering units: units of attempts that may still run at their endpoint.

mod support;

use std::time::Duration;

use rhubarbrill_core::gate::{Outcome, Retry, Status, Ticket};
use rhubarbrill_core::verdict::Verdict;
use rstest::rstest;
use support::{Fixture, at, submission};

/// How an attempt ends, as observed by the entry host.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Answered,
    Failed(Verdict),
    Cancelled,
    Retried(Verdict),
}

#[derive(Clone, Copy, Debug)]
struct Case {
    ending: Ending,
    stops_on_close: bool,
    /// Number of occupied units right after the end, and once the run must have ended.
    occupied: (u32, u32),
}

const UNIT_KEPT: Case = Case {
    ending: Ending::Cancelled,
    stops_on_close: false,
    occupied: (1, 0),
};
const UNIT_FREED: Case = Case {
    occupied: (0, 0),
    ..UNIT_KEPT
};

#[rstest]
#[case::answered(Case { ending: Ending::Answered, ..UNIT_FREED })]
#[case::not_run(Case { ending: Ending::Failed(Verdict::NotRun), ..UNIT_FREED })]
#[case::in_doubt(Case { ending: Ending::Failed(Verdict::MayHaveRun), ..UNIT_KEPT })]
#[case::cancelled(UNIT_KEPT)]
#[case::cancelled_and_stopped(Case { stops_on_close: true, ..UNIT_FREED })]
#[case::retried_in_doubt(Case { ending: Ending::Retried(Verdict::MayHaveRun), ..UNIT_KEPT })]
#[case::retried_not_run(Case { ending: Ending::Retried(Verdict::NotRun), ..UNIT_FREED })]
fn unit_is_kept_while_work_may_go_on(#[case] case: Case) {
    let mut fixture = Fixture::new(2, 8, &[(1, 1)]);
    fixture.set_stops_on_close(case.stops_on_close);
    fixture.reconfigure();
    let ticket = fixture
        .gate
        .submit(at(0), submission(&fixture, 0, at(60_000)))
        .unwrap();
    assert_eq!(fixture.start_all(at(0)).len(), 1);
    ending(&mut fixture, ticket, case.ending);
    let running =
        |fixture: &Fixture| fixture.gate.holder().running(fixture.workspaces[0]);
    assert_eq!(running(&fixture), case.occupied.0);
    let waits = fixture.gate.next_start(at(1)).is_none();
    assert_eq!(
        waits,
        case.occupied.0 > 0 || !matches!(case.ending, Ending::Retried(_))
    );
    let ended = at(0) + support::MAX_RUN_TIME + Duration::from_secs(1);
    fixture.gate.expire(ended);
    let again = u32::from(matches!(case.ending, Ending::Retried(Verdict::NotRun)));
    assert_eq!(running(&fixture), case.occupied.1 + again);
}

fn ending(fixture: &mut Fixture, ticket: Ticket, ending: Ending) {
    let latency = Duration::from_millis(1);
    let answered = Outcome::Answered {
        status: Status::Success,
        latency,
    };
    match ending {
        Ending::Answered => fixture.gate.finish(at(1), ticket, answered),
        Ending::Failed(verdict) => {
            fixture
                .gate
                .finish(at(1), ticket, Outcome::Failed { verdict });
        }
        Ending::Cancelled => fixture.gate.cancel(at(1), ticket),
        Ending::Retried(verdict) => {
            assert_eq!(fixture.gate.retry(at(1), ticket, verdict), Retry::Requeued);
        }
    }
}
