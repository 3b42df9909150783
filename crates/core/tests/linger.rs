//! Units of attempts that may still run at their endpoint.

mod support;

use std::time::Duration;

use rhubarbrill_core::gate::{Outcome, Retry, Status, Ticket};
use rhubarbrill_core::verdict::Verdict;
use rstest::rstest;
use support::{Bench, ask, at};

/// How an attempt ends, as seen by the entry host.
#[derive(Clone, Copy, Debug)]
enum End {
    Answered,
    Failed(Verdict),
    Cancelled,
    Retried(Verdict),
}

#[derive(Clone, Copy, Debug)]
struct Case {
    end: End,
    stops_on_close: bool,
    /// Units occupied right after the end, and when the run must have ended.
    after: (u32, u32),
}

const KEPT: Case = Case {
    end: End::Cancelled,
    stops_on_close: false,
    after: (1, 0),
};
const FREED: Case = Case {
    after: (0, 0),
    ..KEPT
};

#[rstest]
#[case::answered(Case { end: End::Answered, ..FREED })]
#[case::not_run(Case { end: End::Failed(Verdict::NotRun), ..FREED })]
#[case::in_doubt(Case { end: End::Failed(Verdict::MayHaveRun), ..KEPT })]
#[case::cancelled(KEPT)]
#[case::cancelled_and_stopped(Case { stops_on_close: true, ..FREED })]
#[case::retried_in_doubt(Case { end: End::Retried(Verdict::MayHaveRun), ..KEPT })]
#[case::retried_not_run(Case { end: End::Retried(Verdict::NotRun), ..FREED })]
fn unit_of_an_ended_attempt(#[case] case: Case) {
    let mut bench = Bench::new(2, 8, &[(1, 1)]);
    bench.set_stops_on_close(case.stops_on_close);
    bench.reconfigure();
    let ticket = bench
        .gate
        .submit(at(0), ask(&bench, 0, at(60_000)))
        .unwrap();
    assert_eq!(bench.start_all(at(0)).len(), 1);
    end(&mut bench, ticket, case.end);
    let running = |bench: &Bench| bench.gate.holder().running(bench.workspaces[0]);
    assert_eq!(running(&bench), case.after.0);
    let waits = bench.gate.next_start(at(1)).is_none();
    assert_eq!(
        waits,
        case.after.0 > 0 || !matches!(case.end, End::Retried(_))
    );
    let ended = at(0) + support::MAX_RUN_TIME + Duration::from_secs(1);
    bench.gate.expire(ended);
    let again = u32::from(matches!(case.end, End::Retried(Verdict::NotRun)));
    assert_eq!(running(&bench), case.after.1 + again);
}

fn end(bench: &mut Bench, ticket: Ticket, end: End) {
    let latency = Duration::from_millis(1);
    let answered = Outcome::Answered {
        status: Status::Success,
        latency,
    };
    match end {
        End::Answered => bench.gate.finish(at(1), ticket, answered),
        End::Failed(verdict) => {
            bench
                .gate
                .finish(at(1), ticket, Outcome::Failed { verdict });
        }
        End::Cancelled => bench.gate.cancel(at(1), ticket),
        End::Retried(verdict) => {
            assert_eq!(bench.gate.retry(at(1), ticket, verdict), Retry::Requeued);
        }
    }
}
