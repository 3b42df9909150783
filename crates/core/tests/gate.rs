//! Admission, starts, completion and retries at one gate.

mod support;

use std::time::Duration;

use rhubarbrill_core::gate::{Class, Outcome, Reason, Retry, Status, Usage};
use rhubarbrill_core::time::Instant;
use rhubarbrill_core::verdict::Verdict;
use support::{Fixture, at, submission};

const ANSWER: Outcome = Outcome::Answered {
    status: Status::Success,
    latency: Duration::from_millis(100),
};

#[test]
fn starts_one_request_per_slot_and_another_after_a_completion() {
    let mut fixture = Fixture::new(2, 4, &[(1, 100)]);
    for _ in 0..10 {
        fixture
            .gate
            .submit(at(0), submission(&fixture, 0, at(9_000)))
            .unwrap();
    }
    let started = fixture.start_all(at(0));
    assert_eq!(started.len(), 8);
    fixture.gate.finish(at(100), started[0].ticket, ANSWER);
    fixture.gate.finish(at(100), started[0].ticket, ANSWER);
    assert_eq!(fixture.start_all(at(100)).len(), 1);
    assert_eq!(fixture.gate.len(), 9);
}

#[test]
fn rejects_with_the_reason() {
    struct Case {
        name: &'static str,
        reason: Reason,
        change: fn(&mut Fixture),
    }
    let cases = [
        Case {
            name: "draining",
            reason: Reason::Draining,
            change: |fixture| fixture.gate.drain(),
        },
        Case {
            name: "workspace removed",
            reason: Reason::WorkspaceUnknown,
            change: |fixture| {
                fixture.fleet.workspaces.remove("t0");
            },
        },
        Case {
            name: "queue removed",
            reason: Reason::QueueUnknown,
            change: |fixture| {
                fixture.fleet.queues.remove("q");
            },
        },
        Case {
            name: "limit of zero",
            reason: Reason::CanNeverRun,
            change: |fixture| fixture.set_limit(0, 0),
        },
        Case {
            name: "no host accepts work",
            reason: Reason::NoEndpoint,
            change: |fixture| fixture.set_accepting(false),
        },
        Case {
            name: "full queue",
            reason: Reason::QueueFull,
            change: |fixture| fixture.set_max_waiting(0),
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(2, 4, &[(1, 100)]);
        let submission = submission(&fixture, 0, at(9_000));
        (case.change)(&mut fixture);
        fixture.reconfigure();
        let refusal = fixture.gate.submit(at(0), submission).unwrap_err();
        assert_eq!(refusal.reason, case.reason, "{}", case.name);
        assert_eq!(refusal.verdict, Verdict::NotRun, "{}", case.name);
    }
}

#[test]
fn retries_only_without_risk_of_a_harmful_second_run() {
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
        let mut fixture = Fixture::new(2, 4, &[(1, 100)]);
        let mut submission = submission(&fixture, 0, at(9_000));
        submission.repeatable = case.repeatable;
        let ticket = fixture.gate.submit(at(0), submission).unwrap();
        let first = fixture.start_all(at(0))[0].host;
        match (
            fixture.gate.retry(at(5), ticket, case.verdict),
            case.expected,
        ) {
            (Retry::Requeued, None) => {
                let again = fixture.start_all(at(5))[0];
                assert_ne!(again.host, first, "another endpoint is tried");
                assert_eq!(again.attempts, 1);
            }
            (Retry::GiveUp(refusal), Some(verdict)) => {
                assert_eq!(refusal.verdict, verdict);
                assert!(fixture.gate.is_empty());
            }
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_request_that_may_have_run_never_expires_as_not_run() {
    let mut fixture = Fixture::new(1, 1, &[(1, 100)]);
    let submission = submission(&fixture, 0, at(1_000));
    let first = fixture.gate.submit(at(0), submission).unwrap();
    fixture.start_all(at(0));
    let retry = fixture.gate.retry(at(10), first, Verdict::MayHaveRun);
    assert_eq!(retry, Retry::Requeued);
    let expired = fixture.gate.expire(at(1_000));
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn a_verdict_never_becomes_more_certain() {
    let mut fixture = Fixture::new(8, 1, &[(1, 100)]);
    let submission = submission(&fixture, 0, at(9_000));
    let ticket = fixture.gate.submit(at(0), submission).unwrap();
    let verdicts = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::NotRun];
    let mut hosts = Vec::new();
    for verdict in verdicts {
        hosts.push(fixture.start_all(at(1))[0].host);
        let retry = fixture.gate.retry(at(1), ticket, verdict);
        assert_eq!(retry, Retry::Requeued);
    }
    assert!(hosts.windows(2).all(|pair| pair[0] != pair[1]), "{hosts:?}");
    fixture.start_all(at(1));
    match fixture.gate.retry(at(1), ticket, Verdict::NotRun) {
        Retry::GiveUp(refusal) => assert_eq!(refusal.verdict, Verdict::MayHaveRun),
        Retry::Requeued => panic!("more attempts than allowed"),
    }
}

#[test]
fn waiting_requests_follow_configuration_changes() {
    struct Case {
        name: &'static str,
        change: fn(&mut Fixture),
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
            change: |fixture| {
                fixture.fleet.workspaces.remove("t0");
            },
            reason: Some(Reason::WorkspaceUnknown),
        },
        Case {
            name: "queue removed",
            change: |fixture| {
                fixture.fleet.queues.remove("q");
            },
            reason: Some(Reason::QueueUnknown),
        },
        Case {
            name: "limit of zero",
            change: |fixture| fixture.set_limit(0, 0),
            reason: Some(Reason::CanNeverRun),
        },
        Case {
            name: "queue moved to another pool",
            change: Fixture::move_queue,
            reason: None,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(1, 1, &[(1, 100)]);
        let submission = submission(&fixture, 0, at(9_000));
        let running = fixture.gate.submit(at(0), submission).unwrap();
        fixture.start_all(at(0));
        let waiting = fixture.gate.submit(at(0), submission).unwrap();
        (case.change)(&mut fixture);
        fixture.reconfigure();
        let expired = fixture.gate.expire(at(1));
        let reasons: Vec<_> = expired.iter().map(|one| one.refusal.reason).collect();
        assert_eq!(reasons, Vec::from_iter(case.reason), "{}", case.name);
        fixture.gate.finish(at(2), running, ANSWER);
        let started: Vec<_> = fixture
            .start_all(at(2))
            .iter()
            .map(|one| one.ticket)
            .collect();
        let expected = Vec::from_iter(case.reason.is_none().then_some(waiting));
        assert_eq!(started, expected, "{}", case.name);
    }
}

#[test]
fn a_freed_unit_is_reused_at_once() {
    let mut fixture = Fixture::new(1, 8, &[(1, 1)]);
    let submission = submission(&fixture, 0, at(9_000));
    let first = fixture.gate.submit(at(0), submission).unwrap();
    fixture.gate.submit(at(0), submission).unwrap();
    assert_eq!(fixture.start_all(at(0)).len(), 1);
    fixture.gate.finish(at(1), first, ANSWER);
    assert_eq!(fixture.start_all(at(1)).len(), 1);
}

/// Two workspaces with equal shares wait for four slots. One of them runs six requests at
/// another entry host.
#[test]
fn reported_usage_is_charged_until_it_is_replaced_or_expires() {
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
            name: "expired, with its slot time still charged",
            second_report: None,
            at: 3_100,
            expected: 1,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(1, 4, &[(1, 100), (1, 100)]);
        let (workspace, pool) = (fixture.workspaces[0], fixture.pool);
        let usage = |running| Usage {
            workspace,
            pool,
            running,
            waiting: 0,
            run_time: None,
        };
        fixture.gate.apply_usage_report(at(0), "e1", vec![usage(6)]);
        if let Some(running) = case.second_report {
            fixture
                .gate
                .apply_usage_report(at(0), "e1", vec![usage(running)]);
        }
        for index in [0, 0, 0, 0, 1, 1, 1, 1] {
            let submission = submission(&fixture, index, at(9_000));
            fixture.gate.submit(at(case.at), submission).unwrap();
        }
        fixture.start_all(at(case.at));
        let running = fixture.gate.holder().running(workspace);
        assert_eq!(running, case.expected, "{}", case.name);
    }
}

#[test]
fn a_requeued_request_keeps_its_position() {
    let mut fixture = Fixture::new(1, 1, &[(1, 100)]);
    let submission = submission(&fixture, 0, at(9_000));
    let first = fixture.gate.submit(at(0), submission).unwrap();
    fixture.gate.submit(at(1), submission).unwrap();
    fixture.start_all(at(1));
    assert!(fixture.gate.may_send(at(1), first));
    fixture.gate.requeue(at(2), first);
    assert!(!fixture.gate.may_send(at(2), first));
    assert_eq!(fixture.start_all(at(2))[0].ticket, first);
}

#[test]
fn a_workspace_without_units_does_not_block_others() {
    let mut fixture = Fixture::new(1, 8, &[(1, 0), (1, 100)]);
    fixture
        .gate
        .submit(at(0), submission(&fixture, 0, at(9_000)))
        .unwrap();
    fixture
        .gate
        .submit(at(0), submission(&fixture, 1, at(9_000)))
        .unwrap();
    assert_eq!(fixture.start_all(at(0)).len(), 1);
    let workspace = fixture.workspaces[0];
    fixture.gate.holder_mut().set_floor(workspace, 1);
    assert_eq!(fixture.start_all(at(0)).len(), 1);
}

#[test]
fn urgent_requests_start_first_without_starving_normal_ones() {
    let mut fixture = Fixture::new(1, 1, &[(1, 100)]);
    let normal = submission(&fixture, 0, at(90_000));
    let mut urgent = normal;
    urgent.class = Class::Urgent;
    let normal = fixture.gate.submit(at(0), normal).unwrap();
    let mut order = Vec::new();
    for round in 0..20 {
        fixture.gate.submit(at(round), urgent).unwrap();
        for start in fixture.start_all(at(round)) {
            order.push(start.ticket);
            fixture.gate.finish(at(round), start.ticket, ANSWER);
        }
    }
    let position = order.iter().position(|&ticket| ticket == normal);
    assert!((1..=8).contains(&position.unwrap()), "{position:?}");
}

#[test]
fn an_eighth_of_a_queue_is_reserved_for_urgent_requests() {
    let mut fixture = Fixture::new(1, 1, &[(1, 100)]);
    fixture.set_max_waiting(16);
    fixture.reconfigure();
    let normal = submission(&fixture, 0, at(9_000));
    let mut urgent = normal;
    urgent.class = Class::Urgent;
    let mut admitted = |submission| {
        let submissions = std::iter::repeat_n(submission, 20);
        submissions
            .filter(|&submission| fixture.gate.submit(at(0), submission).is_ok())
            .count()
    };
    assert_eq!((admitted(normal), admitted(urgent)), (14, 2));
}

#[test]
fn cancelling_frees_slots_and_units() {
    let mut fixture = Fixture::new(1, 1, &[(1, 100)]);
    let submission = submission(&fixture, 0, at(9_000));
    let tickets = [(); 3].map(|()| fixture.gate.submit(at(0), submission).unwrap());
    fixture.start_all(at(0));
    fixture.gate.cancel(at(1), tickets[1]);
    fixture.gate.cancel(at(1), tickets[0]);
    assert_eq!(fixture.start_all(at(1))[0].ticket, tickets[2]);
    fixture.gate.cancel(at(1), tickets[2]);
    assert!(fixture.gate.is_empty());
    assert_eq!(fixture.gate.next_wake(), None);
    assert_eq!(fixture.gate.holder().running(fixture.workspaces[0]), 0);
}

#[test]
fn rejects_requests_that_can_not_start_in_time() {
    let mut fixture = Fixture::new(1, 1, &[(1, 100)]);
    let ticket = fixture
        .gate
        .submit(at(0), submission(&fixture, 0, at(9_000)))
        .unwrap();
    fixture.start_all(at(0));
    let latency = Duration::from_secs(1);
    let status = Status::Success;
    let answer = Outcome::Answered { status, latency };
    fixture.gate.finish(at(1_000), ticket, answer);
    let mut admitted = 0;
    for _ in 0..20 {
        let submission = submission(&fixture, 0, Instant::from_millis(6_000));
        admitted += u32::from(fixture.gate.submit(at(1_000), submission).is_ok());
    }
    assert_eq!(admitted, 6, "six requests can start within five seconds");
}
