//! End-to-end tests of maintenance waves: entry host processes, a store, endpoints under
//! load, and the operators' command line.

mod support;

use std::time::{Duration, Instant};

use rhubarbrill_core::maintenance::{Ledger, Phase, Record, Step};
use rhubarbrill_core::maintenance::{PROPAGATION_BOUND, Pause};
use rhubarbrill_standin::endpoint::{Endpoint, Fault};
use rhubarbrill_standin::platform::Hosts;
use rhubarbrill_wire::hosts::State;
use rstest::rstest;
use support::call::Call;
use support::cluster::Cluster;
use support::fleet::{Fleet, Workspace};
use support::history::{History, Version};
use support::load::{CallRecord, Load};

const WORKSPACES: [Workspace; 1] = [Workspace {
    name: "counter",
    share: 1,
    limit: 24,
}];

const ZONES: [&str; 2] = ["z1", "z2"];
const HOSTS_IN_ZONE: u32 = 3;
const MAX_OUT: usize = 2;
const MAX_OUT_IN_ZONE: usize = 1;

/// Run time of one request; longer than several steps of the planner.
const WORK: Duration = Duration::from_millis(700);

const CALLERS: usize = 12;

/// Longest time that a wave may take in these tests, with allowance for other load on the
/// machine.
const WAVE_LIMIT: Duration = Duration::from_secs(90);

/// Longest delay between a change in the store and its entry in [`History`].
const MAX_HISTORY_DELAY: Duration = Duration::from_millis(100);

/// How long a test checks that a paused wave makes no progress.
const PAUSE_OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// A cluster under load, and the recorded history of its maintenance ledger.
struct Fixture {
    cluster: Cluster,
    history: History,
    load: Load,
}

fn start(settings: &str) -> Fixture {
    let mut fleet = Fleet::start(&WORKSPACES, &ZONES, HOSTS_IN_ZONE);
    fleet.declarations = fleet
        .declarations
        .replace("max-out = 1\n", &format!("max-out = {MAX_OUT}\n"))
        .replace("max-run-time = 5s", "max-run-time = 2s");
    let cluster = Cluster::start_with(fleet, &ZONES, 2, settings);
    cluster.wait_for_units();
    let history = History::record(cluster.store.memory());
    // The first entry host runs the planner and is killed or paused by some tests, so no
    // caller uses it.
    let daemons = cluster.daemons[1..].iter();
    let addresses: Vec<_> = daemons.map(|daemon| daemon.callers).collect();
    let call = Call::keyed(&cluster.fleet.tokens[0]).work(WORK);
    let load = Load::start(CALLERS, &addresses, "/quotes", &call);
    Fixture {
        cluster,
        history,
        load,
    }
}

/// Starts a cluster that reads the platform's host list, which reports every host as
/// live.
fn start_with_host_list() -> (Hosts, Fixture) {
    let list = Hosts::start();
    let settings = format!("[hosts]\nurl = {}\ninterval = 200ms\n", list.url());
    let fixture = start(&settings);
    for endpoint in &fixture.cluster.fleet.endpoints {
        list.set(endpoint.name(), endpoint.address(), State::Live);
    }
    (list, fixture)
}

impl Fixture {
    fn run(&self, arguments: &[&str]) {
        let output = self.cluster.run_cli(arguments);
        assert!(output.status.success(), "{arguments:?}: {output:?}");
    }

    fn wait_for(&self, what: &str, holds: impl Fn(&Ledger) -> bool) {
        self.history.wait_for(what, WAVE_LIMIT, holds);
    }

    fn endpoint(&self, host: &str) -> &Endpoint {
        let mut endpoints = self.cluster.fleet.endpoints.iter();
        endpoints.find(|endpoint| endpoint.name() == host).unwrap()
    }

    /// Stops the load, checks the invariants that hold in every test, and returns the
    /// results of all requests.
    fn stop_and_check(self) -> Vec<CallRecord> {
        let (cluster, history) = (self.cluster, self.history);
        let records = self.load.stop();
        check_budgets(&history.versions());
        check_work(&cluster.fleet.endpoints, &history);
        let answered = records.iter().filter(|record| is_answered(record)).count();
        assert!(answered > CALLERS, "{answered}");
        records
    }
}

fn is_answered(record: &CallRecord) -> bool {
    record
        .result
        .as_ref()
        .is_ok_and(|answer| answer.status == 200)
}

fn is_done(ledger: &Ledger) -> bool {
    ledger
        .wave("w1")
        .is_some_and(|wave| wave.phase == Phase::Done)
}

fn is_out(ledger: &Ledger) -> bool {
    ledger.records().count() > 0
}

/// Asserts that, whenever a host starts to leave for the wave, the number of hosts out of
/// service, including that host, is within the budgets.
fn check_budgets(versions: &[Version]) {
    let mut before = Ledger::default();
    for Version { ledger, .. } in versions {
        let is_new = |(host, record): &(&str, &Record)| {
            let leaving = matches!(record.step, Step::Leaving { .. });
            leaving && before.leaving_since(host).is_none()
        };
        if ledger.records().any(|pair| is_new(&pair)) {
            let out = |zone: &str| {
                let records = ledger.records();
                records
                    .filter(|(host, record)| {
                        host.starts_with(zone) && !record.step.accepts()
                    })
                    .count()
            };
            assert!(out("") <= MAX_OUT, "{ledger:#?}");
            for zone in ZONES {
                assert!(out(zone) <= MAX_OUT_IN_ZONE, "{ledger:#?}");
            }
        }
        before.clone_from(ledger);
    }
}

/// Asserts that a host receives no request later than [`PROPAGATION_BOUND`] after it
/// started to leave, that no request is still running when it is drained, and that it
/// receives none until it is back in service.
fn check_work(endpoints: &[Endpoint], history: &History) {
    for outage in history.outages() {
        let closed = outage.left_at + PROPAGATION_BOUND;
        let closed = outage
            .drained_at
            .map_or(closed, |drained| drained.min(closed));
        let open = outage.back_at.map(|back| back - MAX_HISTORY_DELAY);
        let endpoint = endpoints.iter().find(|one| one.name() == outage.host);
        for run in endpoint.unwrap().runs() {
            let is_late = run.at > closed && open.is_none_or(|open| run.at < open);
            assert!(!is_late, "request during an outage: {run:?} {outage:?}");
            let Some(drained) = outage.drained_at else {
                continue;
            };
            let runs_on = run.ended.is_none_or(|ended| ended > drained);
            assert!(
                !(run.at < drained && runs_on),
                "request still running on a drained host: {run:?} {outage:?}"
            );
        }
    }
}

/// A fault that is injected in the middle of a wave.
struct Disruption {
    inject: fn(&mut Fixture),
    /// Whether callers may see failed requests.
    may_fail_requests: bool,
}

const NO_DISRUPTION: Disruption = Disruption {
    inject: |_| (),
    may_fail_requests: false,
};

#[rstest]
#[case::no_fault(NO_DISRUPTION)]
#[case::planner_killed(Disruption {
    inject: |fixture| fixture.cluster.daemons[0].kill(), ..NO_DISRUPTION })]
#[case::planner_frozen(Disruption { inject: freeze_planner, ..NO_DISRUPTION })]
#[case::store_responses_lost(Disruption {
    inject: |fixture| fixture.cluster.store.lose_responses(4), ..NO_DISRUPTION })]
#[case::store_responses_timed_out(Disruption {
    inject: |fixture| fixture.cluster.store.time_out_changes(4), ..NO_DISRUPTION })]
#[case::endpoint_fails(Disruption { inject: fail_pending_endpoint, may_fail_requests: true })]
fn wave_finishes_despite_disruption(#[case] disruption: Disruption) {
    let mut fixture = start("");
    fixture.run(&["wave", "start", "w1", "--pool", "bench"]);
    fixture.wait_for("the first host to leave", is_out);
    (disruption.inject)(&mut fixture);
    fixture.wait_for("the end of the wave", is_done);
    let finished = fixture.history.last().wave("w1").unwrap().finished;
    assert_eq!(finished, HOSTS_IN_ZONE * 2);
    fixture.wait_for("every host to return", |ledger| !is_out(ledger));
    for record in fixture.stop_and_check() {
        assert!(
            is_answered(&record) || disruption.may_fail_requests,
            "{record:?}"
        );
    }
}

/// Pauses the planner's process between two hosts for longer than its peers wait for it.
fn freeze_planner(fixture: &mut Fixture) {
    let planner = &fixture.cluster.daemons[0];
    planner.signal("STOP");
    std::thread::sleep(Duration::from_secs(3));
    planner.signal("CONT");
}

/// Makes an endpoint whose host is still pending in the wave refuse connections for a
/// while.
fn fail_pending_endpoint(fixture: &mut Fixture) {
    let ledger = fixture.history.last();
    let wave = ledger.wave("w1").unwrap();
    let mut endpoints = fixture.cluster.fleet.endpoints.iter();
    let waits = |one: &&Endpoint| {
        wave.is_pending(one.name()) && ledger.record(one.name()).is_none()
    };
    let endpoint = endpoints.find(waits).unwrap();
    endpoint.set_fault(Fault::Refuse);
    // Either the endpoint is marked as failed first, or the wave reaches its host first
    // and waits for it to come back.
    fixture.wait_for("the failure", |ledger| {
        let record = ledger.record(endpoint.name());
        record.is_some_and(|one| matches!(one.step, Step::Failed | Step::Rebooting))
    });
    std::thread::sleep(Duration::from_secs(1));
    endpoint.set_fault(Fault::None);
}

#[test]
fn operator_pauses_and_resumes() {
    let fixture = start("");
    fixture.run(&["wave", "start", "w1", "--pool", "bench"]);
    fixture.wait_for("the first host to leave", is_out);
    fixture.run(&["wave", "pause", "w1"]);
    fixture.wait_for("the hosts that had already left", |ledger| !is_out(ledger));
    let paused = fixture.history.last();
    let by_operator = Phase::Paused(Pause::Operator);
    assert_eq!(paused.wave("w1").unwrap().phase, by_operator);
    assert!(paused.wave("w1").unwrap().remaining() > 0);
    let status = fixture.cluster.run_cli(&["status"]);
    let text = String::from_utf8(status.stdout).unwrap();
    assert!(text.contains("wave w1: paused by an operator"), "{text}");
    std::thread::sleep(PAUSE_OBSERVATION_TIME);
    assert_eq!(
        fixture.history.last(),
        paused,
        "a paused wave made progress"
    );
    fixture.run(&["wave", "resume", "w1"]);
    fixture.wait_for("the end of the wave", is_done);
    for daemon in &fixture.cluster.daemons {
        daemon.wait_for("the end of the wave", |status| {
            status["waves"][0]["state"] == "done"
        });
    }
    let status = fixture.cluster.run_cli(&["status"]);
    let text = String::from_utf8(status.stdout).unwrap();
    assert!(text.contains("wave w1: done, 6 of 6 hosts"), "{text}");
    for record in fixture.stop_and_check() {
        assert!(is_answered(&record), "{record:?}");
    }
}

/// An endpoint that every entry host ejects is taken out of service, and returns once it
/// responds again.
#[test]
fn failed_endpoint_returns() {
    let fixture = start("");
    let endpoint = fixture.endpoint("z1-h2");
    endpoint.set_fault(Fault::Refuse);
    fixture.wait_for("the failure", |ledger| {
        let record = ledger.record("z1-h2");
        record.is_some_and(|record| record.step == Step::Failed)
    });
    endpoint.set_fault(Fault::None);
    fixture.wait_for("the host to return", |ledger| !is_out(ledger));
    fixture.stop_and_check();
}

/// A host leaves and returns to service solely because the platform's host list reports
/// it as leaving and later as live.
#[test]
fn platform_list_takes_host_out_of_service() {
    let (list, fixture) = start_with_host_list();
    let endpoint = fixture.endpoint("z2-h1");
    list.set("z2-h1", endpoint.address(), State::Leaving);
    let reported_at = Instant::now();
    fixture.wait_for("the host to be drained", |ledger| {
        let record = ledger.record("z2-h1");
        record.is_some_and(|record| record.step == Step::Drained)
    });
    std::thread::sleep(PROPAGATION_BOUND.saturating_sub(reported_at.elapsed()));
    let arrivals = endpoint.counters().arrivals;
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        endpoint.counters().arrivals,
        arrivals,
        "the host received requests after the propagation bound"
    );
    list.set("z2-h1", endpoint.address(), State::Live);
    fixture.wait_for("the host to return", |ledger| !is_out(ledger));
    for record in fixture.stop_and_check() {
        assert!(is_answered(&record), "{record:?}");
    }
}

/// With a host list, the reboot of a drained host counts as finished only after the list
/// has reported the host as gone and then as live again.
#[test]
fn reboot_requires_host_to_be_gone_and_live_again() {
    let (list, fixture) = start_with_host_list();
    fixture.run(&["wave", "start", "w1", "--host", "z1-h1"]);
    let is_rebooting = |ledger: &Ledger| {
        let record = ledger.record("z1-h1");
        record.is_some_and(|record| record.step == Step::Rebooting)
    };
    fixture.wait_for("the reboot", is_rebooting);
    std::thread::sleep(Duration::from_secs(1));
    assert!(
        is_rebooting(&fixture.history.last()),
        "the reboot finished although the host was never gone"
    );
    let address = fixture.endpoint("z1-h1").address();
    list.set("z1-h1", address, State::Gone);
    std::thread::sleep(Duration::from_secs(1));
    assert!(
        is_rebooting(&fixture.history.last()),
        "the reboot finished although the host is still gone"
    );
    list.set("z1-h1", address, State::Live);
    fixture.wait_for("the end of the wave", is_done);
    for record in fixture.stop_and_check() {
        assert!(is_answered(&record), "{record:?}");
    }
}
