//! End-to-end tests: a store, two entry hosts in each of two availability zones,
//! endpoints, callers, and the operators' command line.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::call::Call;
use support::cluster::Cluster;
use support::daemon::Daemon;
use support::fleet::{Fleet, Workspace};
use support::load::Load;

const WORKSPACES: [Workspace; 2] = [
    Workspace {
        name: "counter",
        share: 3,
        limit: 24,
    },
    Workspace {
        name: "appraisal",
        share: 1,
        limit: 12,
    },
];

const ZONES: [&str; 2] = ["z1", "z2"];

/// Longest time until every entry host rejects a withdrawn key.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(4);

fn start() -> Cluster {
    let fleet = Fleet::start(&WORKSPACES, &ZONES, 2);
    let cluster = Cluster::start(fleet, &ZONES, 2);
    cluster.wait_for_units();
    cluster
}

#[test]
fn every_entry_host_answers_every_workspace() {
    let cluster = start();
    for daemon in &cluster.daemons {
        for token in &cluster.fleet.tokens {
            let answer = Call::keyed(token)
                .body("a ring")
                .post(daemon.callers, "/quotes");
            assert_eq!(answer.unwrap().verdict, "answered");
        }
    }
}

/// Each case withdraws a key while a fault is present.
#[rstest]
#[case::no_fault(|_: &mut Cluster| ())]
#[case::relay_killed(|cluster: &mut Cluster| cluster.daemons[0].kill())]
#[case::store_slow(|cluster: &mut Cluster| {
    cluster.store.set_delay(Duration::from_millis(300));
})]
#[case::watches_dropped(|cluster: &mut Cluster| cluster.store.drop_watches())]
#[case::watches_silent(|cluster: &mut Cluster| cluster.store.mute_watches(true))]
#[case::store_response_lost(|cluster: &mut Cluster| cluster.store.lose_responses(1))]
fn withdrawn_key_is_rejected_everywhere(#[case] fault: fn(&mut Cluster)) {
    let mut cluster = start();
    let call = Call::keyed(&cluster.fleet.tokens[1]);
    fault(&mut cluster);
    let withdrawn = cluster.run_cli(&["key", "withdraw", "appraisal", "till"]);
    let start = Instant::now();
    assert!(
        withdrawn
            .status
            .code()
            .is_some_and(|code| code == 0 || code == 5),
        "{withdrawn:?}"
    );
    let ready: Vec<&Daemon> = cluster
        .daemons
        .iter()
        .filter(|daemon| daemon.is_ready())
        .collect();
    assert!(ready.len() >= 3);
    let refuses =
        |daemon: &&Daemon| call.post(daemon.callers, "/quotes").unwrap().status == 401;
    while !ready.iter().all(refuses) {
        assert!(
            start.elapsed() < WITHDRAWN_WITHIN,
            "a withdrawn key still works"
        );
    }
}

/// A graceful stop under load interrupts no request.
#[test]
fn graceful_stop_interrupts_no_request() {
    let mut cluster = start();
    let call = Call::keyed(&cluster.fleet.tokens[0]).work(Duration::from_millis(60));
    let address = cluster.daemons[0].callers;
    let load = Load::start(6, &[address], "/quotes", &call);
    std::thread::sleep(Duration::from_millis(500));
    cluster.daemons[0].signal("TERM");
    let status = cluster.daemons[0].wait();
    let records = load.stop();
    assert_eq!(status.code(), Some(0));
    let answered = records.iter().filter(|record| is_answered(record)).count();
    assert!(answered > 20, "{answered}");
    for record in &records {
        // After the listener is closed, connections are refused before a request is sent.
        let refused = record
            .result
            .as_ref()
            .is_err_and(|e| e.0.contains("refused"));
        assert!(is_answered(record) || refused, "{record:?}");
    }
}

/// Guards against resetting connections that were open but idle when a graceful stop
/// began: their first request still gets an answer.
#[test]
fn first_request_of_an_idle_connection_is_answered_during_stop() {
    let cluster = start();
    let mut stream = TcpStream::connect(cluster.daemons[0].callers).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    cluster.daemons[0].signal("TERM");
    // The listener closes half a second after the signal.
    std::thread::sleep(Duration::from_millis(700));
    let request = "GET /walk-in HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
    assert!(answer.contains("connection: close"), "{answer}");
}

fn is_answered(record: &support::load::CallRecord) -> bool {
    record
        .result
        .as_ref()
        .is_ok_and(|answer| answer.status == 200)
}
