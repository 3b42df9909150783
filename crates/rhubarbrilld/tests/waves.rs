//! Waves from start to end: real processes, a store, endpoints under load, and the
//! operators' command line.

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
use support::load::{Load, Seen};

const WORKSPACES: [Workspace; 1] = [Workspace {
    name: "counter",
    share: 1,
    limit: 24,
}];

const ZONES: [&str; 2] = ["z1", "z2"];
const HOSTS_IN_ZONE: u32 = 3;
const MAX_OUT: usize = 2;
const MAX_OUT_IN_ZONE: usize = 1;

/// Work of one request, longer than several steps of the planner.
const WORK: Duration = Duration::from_millis(700);

const CALLERS: usize = 12;

/// Longest time that a wave may take here, on a machine with other work.
const WAVE_LIMIT: Duration = Duration::from_secs(90);

/// Longest time between a change of the store and its record in a test's history.
const SEEN_LATE: Duration = Duration::from_millis(100);

/// Time that the operator's pause is watched for.
const PAUSE_WATCHED: Duration = Duration::from_secs(2);

/// A cluster under load, with the ledger's history.
struct Setting {
    cluster: Cluster,
    history: History,
    load: Load,
}

fn start(settings: &str) -> Setting {
    let mut fleet = Fleet::start(&WORKSPACES, &ZONES, HOSTS_IN_ZONE);
    fleet.declarations = fleet
        .declarations
        .replace("max-out = 1\n", &format!("max-out = {MAX_OUT}\n"))
        .replace("max-run-time = 5s", "max-run-time = 2s");
    let cluster = Cluster::start_with(fleet, &ZONES, 2, settings);
    cluster.wait_for_units();
    let history = History::record(cluster.store.memory());
    // The first entry host plans and is killed or frozen: nobody calls it.
    let daemons = cluster.daemons[1..].iter();
    let addresses: Vec<_> = daemons.map(|daemon| daemon.callers).collect();
    let call = Call::keyed(&cluster.fleet.tokens[0]).work(WORK);
    let load = Load::start(CALLERS, &addresses, "/quotes", &call);
    Setting {
        cluster,
        history,
        load,
    }
}

/// Starts a cluster with a platform's list that shows every host live.
fn start_listed() -> (Hosts, Setting) {
    let list = Hosts::start();
    let settings = format!("[hosts]\nurl = {}\ninterval = 200ms\n", list.url());
    let setting = start(&settings);
    for endpoint in &setting.cluster.fleet.endpoints {
        list.set(endpoint.name(), endpoint.address(), State::Live);
    }
    (list, setting)
}

impl Setting {
    fn run(&self, arguments: &[&str]) {
        let output = self.cluster.rhubarbrill(arguments);
        assert!(output.status.success(), "{arguments:?}: {output:?}");
    }

    fn wait_for(&self, what: &str, holds: impl Fn(&Ledger) -> bool) {
        self.history.wait_for(what, WAVE_LIMIT, holds);
    }

    fn endpoint(&self, host: &str) -> &Endpoint {
        let mut endpoints = self.cluster.fleet.endpoints.iter();
        endpoints.find(|endpoint| endpoint.name() == host).unwrap()
    }

    /// Ends the load and checks what holds in every case.
    fn check(self) -> Vec<Seen> {
        let (cluster, history) = (self.cluster, self.history);
        let seen = self.load.stop();
        check_budgets(&history.versions());
        check_work(&cluster.fleet.endpoints, &history);
        let answered = seen.iter().filter(|seen| is_answered(seen)).count();
        assert!(answered > CALLERS, "{answered}");
        seen
    }
}

fn is_answered(seen: &Seen) -> bool {
    seen.result
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

/// Whenever a host begins to leave for the wave, the budgets hold with it.
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

/// Nothing arrives at a host later than the bound after it began to leave, nothing runs
/// there once it is drained, and nothing arrives until it is back.
fn check_work(endpoints: &[Endpoint], history: &History) {
    for outage in history.outages() {
        let closed = outage.left + PROPAGATION_BOUND;
        let closed = outage.drained.map_or(closed, |drained| drained.min(closed));
        let open = outage.back.map(|back| back - SEEN_LATE);
        let endpoint = endpoints.iter().find(|one| one.name() == outage.host);
        for run in endpoint.unwrap().runs() {
            let is_late = run.at > closed && open.is_none_or(|open| run.at < open);
            assert!(!is_late, "new work: {run:?} {outage:?}");
            let Some(drained) = outage.drained else {
                continue;
            };
            let runs_on = run.ended.is_none_or(|ended| ended > drained);
            assert!(!(run.at < drained && runs_on), "cut: {run:?} {outage:?}");
        }
    }
}

/// What goes wrong in the middle of a wave, and whether callers may notice.
struct Trouble {
    cause: fn(&mut Setting),
    noticed: bool,
}

const NOTHING: Trouble = Trouble {
    cause: |_| (),
    noticed: false,
};

#[rstest]
#[case::none(NOTHING)]
#[case::planner_killed(Trouble {
    cause: |setting| setting.cluster.daemons[0].kill(), ..NOTHING })]
#[case::planner_frozen(Trouble { cause: freeze, ..NOTHING })]
#[case::answers_lost(Trouble {
    cause: |setting| setting.cluster.store.lose_responses(4), ..NOTHING })]
#[case::answers_timed_out(Trouble {
    cause: |setting| setting.cluster.store.time_out_changes(4), ..NOTHING })]
#[case::endpoint_fails(Trouble { cause: fail, noticed: true })]
fn wave_ends(#[case] trouble: Trouble) {
    let mut setting = start("");
    setting.run(&["wave", "start", "w1", "--pool", "bench"]);
    setting.wait_for("the first host to leave", is_out);
    (trouble.cause)(&mut setting);
    setting.wait_for("the end of the wave", is_done);
    let finished = setting.history.last().wave("w1").unwrap().finished;
    assert_eq!(finished, HOSTS_IN_ZONE * 2);
    setting.wait_for("every host", |ledger| !is_out(ledger));
    for seen in setting.check() {
        assert!(is_answered(&seen) || trouble.noticed, "{seen:?}");
    }
}

/// Stops the planner's process between two hosts, past its peers' patience.
fn freeze(setting: &mut Setting) {
    let planner = &setting.cluster.daemons[0];
    planner.signal("STOP");
    std::thread::sleep(Duration::from_secs(3));
    planner.signal("CONT");
}

/// Lets an endpoint that still waits for its turn refuse connections for a while.
fn fail(setting: &mut Setting) {
    let ledger = setting.history.last();
    let wave = ledger.wave("w1").unwrap();
    let mut endpoints = setting.cluster.fleet.endpoints.iter();
    let waits = |one: &&Endpoint| {
        wave.is_pending(one.name()) && ledger.record(one.name()).is_none()
    };
    let endpoint = endpoints.find(waits).unwrap();
    endpoint.set_fault(Fault::Refuse);
    // It fails first, or its wave reaches it first and waits for it to come back.
    setting.wait_for("the failure", |ledger| {
        let record = ledger.record(endpoint.name());
        record.is_some_and(|one| matches!(one.step, Step::Failed | Step::Rebooting))
    });
    std::thread::sleep(Duration::from_secs(1));
    endpoint.set_fault(Fault::None);
}

#[test]
fn operator_pauses_and_resumes() {
    let setting = start("");
    setting.run(&["wave", "start", "w1", "--pool", "bench"]);
    setting.wait_for("the first host to leave", is_out);
    setting.run(&["wave", "pause", "w1"]);
    setting.wait_for("hosts on their way", |ledger| !is_out(ledger));
    let paused = setting.history.last();
    let by_operator = Phase::Paused(Pause::Operator);
    assert_eq!(paused.wave("w1").unwrap().phase, by_operator);
    assert!(paused.wave("w1").unwrap().remaining() > 0);
    let status = setting.cluster.rhubarbrill(&["status"]);
    let text = String::from_utf8(status.stdout).unwrap();
    assert!(text.contains("wave w1: paused by an operator"), "{text}");
    std::thread::sleep(PAUSE_WATCHED);
    assert_eq!(setting.history.last(), paused, "a paused wave went on");
    setting.run(&["wave", "resume", "w1"]);
    setting.wait_for("the end of the wave", is_done);
    for daemon in &setting.cluster.daemons {
        daemon.wait_for("the end of the wave", |status| {
            status["waves"][0]["state"] == "done"
        });
    }
    let status = setting.cluster.rhubarbrill(&["status"]);
    let text = String::from_utf8(status.stdout).unwrap();
    assert!(text.contains("wave w1: done, 6 of 6 hosts"), "{text}");
    for seen in setting.check() {
        assert!(is_answered(&seen), "{seen:?}");
    }
}

/// An endpoint that every entry host ejects is taken out, and back when it answers.
#[test]
fn failed_endpoint_returns() {
    let setting = start("");
    let endpoint = setting.endpoint("z1-h2");
    endpoint.set_fault(Fault::Refuse);
    setting.wait_for("the failure", |ledger| {
        let record = ledger.record("z1-h2");
        record.is_some_and(|record| record.step == Step::Failed)
    });
    endpoint.set_fault(Fault::None);
    setting.wait_for("the host", |ledger| !is_out(ledger));
    setting.check();
}

/// The platform's word alone takes a host out, and brings it back.
#[test]
fn platform_says_leaving() {
    let (list, setting) = start_listed();
    let endpoint = setting.endpoint("z2-h1");
    list.set("z2-h1", endpoint.address(), State::Leaving);
    let said = Instant::now();
    setting.wait_for("the host to be drained", |ledger| {
        let record = ledger.record("z2-h1");
        record.is_some_and(|record| record.step == Step::Drained)
    });
    std::thread::sleep(PROPAGATION_BOUND.saturating_sub(said.elapsed()));
    let stopped = endpoint.counters().arrivals;
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        endpoint.counters().arrivals,
        stopped,
        "new work after the bound"
    );
    list.set("z2-h1", endpoint.address(), State::Live);
    setting.wait_for("the host", |ledger| !is_out(ledger));
    for seen in setting.check() {
        assert!(is_answered(&seen), "{seen:?}");
    }
}

/// With a list, a drained host of a wave is rebooted once it was away and is live again.
#[test]
fn platform_reboots() {
    let (list, setting) = start_listed();
    setting.run(&["wave", "start", "w1", "--host", "z1-h1"]);
    let is_rebooting = |ledger: &Ledger| {
        let record = ledger.record("z1-h1");
        record.is_some_and(|record| record.step == Step::Rebooting)
    };
    setting.wait_for("the reboot", is_rebooting);
    std::thread::sleep(Duration::from_secs(1));
    assert!(
        is_rebooting(&setting.history.last()),
        "back, but never away"
    );
    let address = setting.endpoint("z1-h1").address();
    list.set("z1-h1", address, State::Gone);
    std::thread::sleep(Duration::from_secs(1));
    assert!(
        is_rebooting(&setting.history.last()),
        "back, but still away"
    );
    list.set("z1-h1", address, State::Live);
    setting.wait_for("the end of the wave", is_done);
    for seen in setting.check() {
        assert!(is_answered(&seen), "{seen:?}");
    }
}
