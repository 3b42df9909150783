//! Admission, starts, ends and retries of one gate.

mod support;

use std::time::Duration;

use rhubarbrill_core::gate::{Class, Outcome, Reason, Retry, Status, Usage};
use rhubarbrill_core::time::Instant;
use rhubarbrill_core::verdict::Verdict;
use support::{Bench, ask, at};

const ANSWER: Outcome = Outcome::Answered {
    status: Status::Success,
    latency: Duration::from_millis(100),
};

#[test]
fn starts_as_many_as_there_are_slots_and_goes_on_after_an_end() {
    let mut bench = Bench::new(2, 4, &[(1, 100)]);
    for _ in 0..10 {
        bench.gate.submit(at(0), ask(&bench, 0, at(9_000))).unwrap();
    }
    let started = bench.start_all(at(0));
    assert_eq!(started.len(), 8);
    bench.gate.finish(at(100), started[0].ticket, ANSWER);
    bench.gate.finish(at(100), started[0].ticket, ANSWER);
    assert_eq!(bench.start_all(at(100)).len(), 1);
    assert_eq!(bench.gate.len(), 9);
}

#[test]
fn refuses_with_the_reason() {
    struct Case {
        name: &'static str,
        reason: Reason,
        change: fn(&mut Bench),
    }
    let cases = [
        Case {
            name: "draining",
            reason: Reason::Draining,
            change: |bench| bench.gate.drain(),
        },
        Case {
            name: "workspace removed",
            reason: Reason::WorkspaceUnknown,
            change: |bench| {
                bench.fleet.workspaces.remove("t0");
            },
        },
        Case {
            name: "queue removed",
            reason: Reason::QueueUnknown,
            change: |bench| {
                bench.fleet.queues.remove("q");
            },
        },
        Case {
            name: "limit of zero",
            reason: Reason::CanNeverRun,
            change: |bench| bench.set_limit(0, 0),
        },
        Case {
            name: "every host leaving",
            reason: Reason::NoEndpoint,
            change: |bench| bench.set_accepting(false),
        },
        Case {
            name: "full queue",
            reason: Reason::QueueFull,
            change: |bench| bench.set_max_waiting(0),
        },
    ];
    for case in cases {
        let mut bench = Bench::new(2, 4, &[(1, 100)]);
        let ask = ask(&bench, 0, at(9_000));
        (case.change)(&mut bench);
        bench.reconfigure();
        let refusal = bench.gate.submit(at(0), ask).unwrap_err();
        assert_eq!(refusal.reason, case.reason, "{}", case.name);
        assert_eq!(refusal.verdict, Verdict::NotRun, "{}", case.name);
    }
}

#[test]
fn retries_only_what_can_not_run_twice() {
    struct Case {
        repeatable: bool,
        verdict: Verdict,
        expected: Option<Verdict>,
    }
    let cases = [
        (true, Verdict::NotRun, None),
        (true, Verdict::MayHaveRun, None),
        (false, Verdict::NotRun, None),
        (false, Verdict::MayHaveRun, Some(Verdict::MayHaveRun)),
    ]
    .map(|(repeatable, verdict, expected)| Case {
        repeatable,
        verdict,
        expected,
    });
    for case in cases {
        let mut bench = Bench::new(2, 4, &[(1, 100)]);
        let mut ask = ask(&bench, 0, at(9_000));
        ask.repeatable = case.repeatable;
        let ticket = bench.gate.submit(at(0), ask).unwrap();
        let first = bench.start_all(at(0))[0].host;
        match (bench.gate.retry(at(5), ticket, case.verdict), case.expected) {
            (Retry::Requeued, None) => {
                let again = bench.start_all(at(5))[0];
                assert_ne!(again.host, first, "another endpoint is tried");
                assert_eq!(again.attempts, 1);
            }
            (Retry::GiveUp(refusal), Some(verdict)) => {
                assert_eq!(refusal.verdict, verdict);
                assert!(bench.gate.is_empty());
            }
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_request_that_may_have_run_never_expires_as_not_run() {
    let mut bench = Bench::new(1, 1, &[(1, 100)]);
    let ask = ask(&bench, 0, at(1_000));
    let first = bench.gate.submit(at(0), ask).unwrap();
    bench.start_all(at(0));
    let retry = bench.gate.retry(at(10), first, Verdict::MayHaveRun);
    assert_eq!(retry, Retry::Requeued);
    let expired = bench.gate.expire(at(1_000));
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn a_verdict_never_gets_better() {
    let mut bench = Bench::new(8, 1, &[(1, 100)]);
    let ask = ask(&bench, 0, at(9_000));
    let ticket = bench.gate.submit(at(0), ask).unwrap();
    let verdicts = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::NotRun];
    let mut hosts = Vec::new();
    for verdict in verdicts {
        hosts.push(bench.start_all(at(1))[0].host);
        let retry = bench.gate.retry(at(1), ticket, verdict);
        assert_eq!(retry, Retry::Requeued);
    }
    assert!(hosts.windows(2).all(|pair| pair[0] != pair[1]), "{hosts:?}");
    bench.start_all(at(1));
    match bench.gate.retry(at(1), ticket, Verdict::NotRun) {
        Retry::GiveUp(refusal) => assert_eq!(refusal.verdict, Verdict::MayHaveRun),
        Retry::Requeued => panic!("more attempts than allowed"),
    }
}

#[test]
fn waiting_requests_follow_a_change_of_configuration() {
    struct Case {
        name: &'static str,
        change: fn(&mut Bench),
        reason: Option<Reason>,
    }
    let cases = [
        Case {
            name: "nothing",
            change: |_| {},
            reason: None,
        },
        Case {
            name: "workspace removed",
            change: |bench| {
                bench.fleet.workspaces.remove("t0");
            },
            reason: Some(Reason::WorkspaceUnknown),
        },
        Case {
            name: "queue removed",
            change: |bench| {
                bench.fleet.queues.remove("q");
            },
            reason: Some(Reason::QueueUnknown),
        },
        Case {
            name: "limit of zero",
            change: |bench| bench.set_limit(0, 0),
            reason: Some(Reason::CanNeverRun),
        },
        Case {
            name: "queue moved to another pool",
            change: Bench::move_queue,
            reason: None,
        },
    ];
    for case in cases {
        let mut bench = Bench::new(1, 1, &[(1, 100)]);
        let ask = ask(&bench, 0, at(9_000));
        let running = bench.gate.submit(at(0), ask).unwrap();
        bench.start_all(at(0));
        let waiting = bench.gate.submit(at(0), ask).unwrap();
        (case.change)(&mut bench);
        bench.reconfigure();
        let expired = bench.gate.expire(at(1));
        let reasons: Vec<_> = expired.iter().map(|one| one.refusal.reason).collect();
        assert_eq!(reasons, Vec::from_iter(case.reason), "{}", case.name);
        bench.gate.finish(at(2), running, ANSWER);
        let started: Vec<_> = bench
            .start_all(at(2))
            .iter()
            .map(|one| one.ticket)
            .collect();
        let expected = Vec::from_iter(case.reason.is_none().then_some(waiting));
        assert_eq!(started, expected, "{}", case.name);
    }
}

#[test]
fn a_unit_that_frees_up_is_used_at_once() {
    let mut bench = Bench::new(1, 8, &[(1, 1)]);
    let ask = ask(&bench, 0, at(9_000));
    let first = bench.gate.submit(at(0), ask).unwrap();
    bench.gate.submit(at(0), ask).unwrap();
    assert_eq!(bench.start_all(at(0)).len(), 1);
    bench.gate.finish(at(1), first, ANSWER);
    assert_eq!(bench.start_all(at(1)).len(), 1);
}

/// Two workspaces of equal shares wait for four slots; one runs six requests elsewhere.
#[test]
fn reported_usage_counts_until_it_is_replaced_or_stale() {
    struct Case {
        name: &'static str,
        second_report: Option<u32>,
        at: u64,
        expected: u32,
    }
    let cases = [
        Case {
            name: "fresh",
            second_report: None,
            at: 10,
            expected: 0,
        },
        Case {
            name: "replaced",
            second_report: Some(0),
            at: 10,
            expected: 2,
        },
        Case {
            name: "repeated",
            second_report: Some(6),
            at: 10,
            expected: 0,
        },
        Case {
            name: "stale, and what it used is still owed",
            second_report: None,
            at: 3_100,
            expected: 1,
        },
    ];
    for case in cases {
        let mut bench = Bench::new(1, 4, &[(1, 100), (1, 100)]);
        let (workspace, pool) = (bench.workspaces[0], bench.pool);
        let usage = |running| Usage {
            workspace,
            pool,
            running,
            waiting: 0,
        };
        bench.gate.apply_usage_report(at(0), "e1", vec![usage(6)]);
        if let Some(running) = case.second_report {
            bench
                .gate
                .apply_usage_report(at(0), "e1", vec![usage(running)]);
        }
        for index in [0, 0, 0, 0, 1, 1, 1, 1] {
            let ask = ask(&bench, index, at(9_000));
            bench.gate.submit(at(case.at), ask).unwrap();
        }
        bench.start_all(at(case.at));
        let running = bench.gate.holder().running(workspace);
        assert_eq!(running, case.expected, "{}", case.name);
    }
}

#[test]
fn a_requeued_request_keeps_its_place() {
    let mut bench = Bench::new(1, 1, &[(1, 100)]);
    let ask = ask(&bench, 0, at(9_000));
    let first = bench.gate.submit(at(0), ask).unwrap();
    bench.gate.submit(at(1), ask).unwrap();
    bench.start_all(at(1));
    assert!(bench.gate.may_send(at(1), first));
    bench.gate.requeue(at(2), first);
    assert!(!bench.gate.may_send(at(2), first));
    assert_eq!(bench.start_all(at(2))[0].ticket, first);
}

#[test]
fn a_workspace_without_units_waits_and_others_go_on() {
    let mut bench = Bench::new(1, 8, &[(1, 0), (1, 100)]);
    bench.gate.submit(at(0), ask(&bench, 0, at(9_000))).unwrap();
    bench.gate.submit(at(0), ask(&bench, 1, at(9_000))).unwrap();
    assert_eq!(bench.start_all(at(0)).len(), 1);
    let workspace = bench.workspaces[0];
    bench.gate.holder_mut().set_floor(workspace, 1);
    assert_eq!(bench.start_all(at(0)).len(), 1);
}

#[test]
fn urgent_goes_first_and_normal_is_not_starved() {
    let mut bench = Bench::new(1, 1, &[(1, 100)]);
    let normal = ask(&bench, 0, at(90_000));
    let mut urgent = normal;
    urgent.class = Class::Urgent;
    let normal = bench.gate.submit(at(0), normal).unwrap();
    let mut order = Vec::new();
    for round in 0..20 {
        bench.gate.submit(at(round), urgent).unwrap();
        for start in bench.start_all(at(round)) {
            order.push(start.ticket);
            bench.gate.finish(at(round), start.ticket, ANSWER);
        }
    }
    let position = order.iter().position(|&ticket| ticket == normal);
    assert!((1..=8).contains(&position.unwrap()), "{position:?}");
}

#[test]
fn an_eighth_of_a_queue_is_left_to_urgent_requests() {
    let mut bench = Bench::new(1, 1, &[(1, 100)]);
    bench.set_max_waiting(16);
    bench.reconfigure();
    let normal = ask(&bench, 0, at(9_000));
    let mut urgent = normal;
    urgent.class = Class::Urgent;
    let mut admitted = |ask| {
        let asks = std::iter::repeat_n(ask, 20);
        asks.filter(|&ask| bench.gate.submit(at(0), ask).is_ok())
            .count()
    };
    assert_eq!((admitted(normal), admitted(urgent)), (14, 2));
}

#[test]
fn cancelling_frees_what_was_occupied() {
    let mut bench = Bench::new(1, 1, &[(1, 100)]);
    let ask = ask(&bench, 0, at(9_000));
    let tickets = [(); 3].map(|()| bench.gate.submit(at(0), ask).unwrap());
    bench.start_all(at(0));
    bench.gate.cancel(at(1), tickets[1]);
    bench.gate.cancel(at(1), tickets[0]);
    assert_eq!(bench.start_all(at(1))[0].ticket, tickets[2]);
    bench.gate.cancel(at(1), tickets[2]);
    assert!(bench.gate.is_empty());
    assert_eq!(bench.gate.next_wake(), None);
    assert_eq!(bench.gate.holder().running(bench.workspaces[0]), 0);
}

#[test]
fn sheds_what_can_not_start_in_time() {
    let mut bench = Bench::new(1, 1, &[(1, 100)]);
    let ticket = bench.gate.submit(at(0), ask(&bench, 0, at(9_000))).unwrap();
    bench.start_all(at(0));
    let latency = Duration::from_secs(1);
    let status = Status::Success;
    let answer = Outcome::Answered { status, latency };
    bench.gate.finish(at(1_000), ticket, answer);
    let mut admitted = 0;
    for _ in 0..20 {
        let ask = ask(&bench, 0, Instant::from_millis(6_000));
        admitted += u32::from(bench.gate.submit(at(1_000), ask).is_ok());
    }
    assert_eq!(admitted, 6, "five seconds left hold six starts");
}
