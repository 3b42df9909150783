//! Runs jobs through entry host processes against a stand-in for the users' platform.

use std::time::Duration;

use rhubarbrill_standin::link::{Link, NewConnections};
use rhubarbrill_standin::users::{StoreFault, UserPlatform};
use rstest::rstest;
use serde_json::{Value, json};

mod support;

use support::daemon::Folder;
use support::jobs::{Entry, free_addresses, job_id, two_step_job, wait_until};

const RUN_TIME: Duration = Duration::from_millis(200);

/// The stand-in platform with its endpoints, and the entry hosts that use it.
struct Deployment {
    folder: Folder,
    users: UserPlatform,
    entries: Vec<Entry>,
}

fn deploy(entries: usize, run_time: Duration) -> Deployment {
    let folder = Folder::new();
    let mut users = UserPlatform::start();
    for _ in 0..3 {
        users.add_endpoint("a", run_time);
    }
    users.configure(1, "a", &["k"]);
    let start = |number| Entry::start(&folder, &users, &format!("entry-{number}"));
    let entries = (0..entries).map(start).collect();
    Deployment {
        folder,
        users,
        entries,
    }
}

impl Deployment {
    fn submit(&self, number: usize) {
        let entry = &self.entries[number % self.entries.len()];
        let answer = entry.call("POST", &job_id(number), "k", &two_step_job(2));
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    fn leader(&self) -> usize {
        wait_until("there is a leader", || self.users.leader().is_some());
        let name = self.users.leader().unwrap();
        self.entries
            .iter()
            .position(|entry| entry.name == name)
            .unwrap()
    }

    /// Waits until every entry host reports jobs `0..jobs` as completed, and asserts that
    /// no task ran twice concurrently.
    fn wait_until_completed(&self, jobs: usize) {
        for number in 0..jobs {
            for entry in &self.entries {
                wait_until(&format!("job {number} completed"), || {
                    entry.state(&job_id(number)) == "completed"
                });
            }
        }
        assert_eq!(
            self.users.max_concurrent_runs(),
            1,
            "a task ran twice concurrently"
        );
    }
}

#[test]
fn jobs_are_completed_once() {
    let deployment = deploy(2, RUN_TIME);
    for number in 0..10 {
        deployment.submit(number);
    }
    // Submitting the same job again does not create a second one.
    deployment.submit(3);
    deployment.wait_until_completed(10);
    let ran = deployment.users.started_runs();
    assert_eq!(ran.len(), 40, "each task ran once");
    assert!(ran.iter().all(|ran| ran.run == 1));
    let metrics = deployment.entries[0].read_metrics();
    assert!(
        metrics.contains("rhubarbrill_job_request_latency"),
        "{metrics}"
    );
}

#[test]
fn only_the_state_of_a_finished_job_is_retained() {
    let mut deployment = deploy(2, RUN_TIME);
    deployment.submit(0);
    deployment.wait_until_completed(1);
    for record in ["job", "kept/progress"] {
        let key = format!("rhubarbrill/{record}/{}", job_id(0));
        assert_eq!(deployment.users.value(&key), None, "{key}");
    }
    // An entry host that starts later knows the job too, and submitting it again does not
    // run it again.
    let late_entry = Entry::start(&deployment.folder, &deployment.users, "entry-2");
    deployment.entries.push(late_entry);
    for entry in &deployment.entries {
        assert_eq!(entry.state(&job_id(0)), "completed");
        let again = entry.call("POST", &job_id(0), "k", &two_step_job(2));
        assert_eq!(again.status, 200);
    }
    deployment.submit(1);
    deployment.wait_until_completed(2);
    assert_eq!(
        deployment.users.started_runs().len(),
        8,
        "each task ran once"
    );
}

#[test]
fn every_entry_host_reports_pending_jobs() {
    let deployment = deploy(2, RUN_TIME);
    // No endpoint has this much CPU, so the jobs stay queued.
    let job = json!({"spec": "s", "steps": [{"count": 1, "cpu": 64_000}]});
    for number in 0..3 {
        let answer = deployment.entries[0].call("POST", &job_id(number), "k", &job);
        assert_eq!(answer.status, 200);
    }
    for entry in &deployment.entries {
        wait_until("all three are pending", || {
            entry.call("GET", "", "k", &Value::Null).body["pending"] == 3
        });
        assert_eq!(entry.state(&job_id(2)), "queued");
    }
}

#[test]
fn a_new_leader_recounts_pending_jobs() {
    let mut deployment = deploy(2, RUN_TIME);
    // No endpoint has this much CPU, so the jobs stay queued.
    let job = json!({"spec": "s", "steps": [{"count": 1, "cpu": 64_000}]});
    let leader = deployment.leader();
    let other = deployment.entries.remove(1 - leader);
    for number in 0..3 {
        let answer = other.call("POST", &job_id(number), "k", &job);
        assert_eq!(answer.status, 200);
    }
    let pending = || other.call("GET", "", "k", &Value::Null).body["pending"].clone();
    wait_until("all three are pending", || pending() == 3);
    deployment.entries.clear();
    for number in 0..3 {
        let answer = other.call("DELETE", &job_id(number), "k", &Value::Null);
        assert_eq!(answer.status, 200);
    }
    wait_until("none is pending", || pending() == 0);
}

#[test]
fn jobs_continue_after_the_leader_is_killed() {
    let mut deployment = deploy(3, Duration::from_millis(1_500));
    for number in 0..6 {
        deployment.submit(number);
    }
    wait_until("tasks run", || deployment.users.started_runs().len() >= 12);
    let leader = deployment.leader();
    deployment.entries[leader].kill();
    deployment.entries.remove(leader);
    deployment.wait_until_completed(6);
    assert_eq!(
        deployment.users.started_runs().len(),
        24,
        "tasks that were running continued under the new leader"
    );
}

#[test]
fn a_paused_leader_that_resumes_runs_no_task_twice() {
    let deployment = deploy(2, Duration::from_millis(1_000));
    deployment.submit(0);
    let leader = deployment.leader();
    deployment.entries[leader].signal("STOP");
    let name = deployment.entries[leader].name.clone();
    wait_until("another entry host leads", || {
        deployment.users.leader().is_some_and(|now| now != name)
    });
    let other = &deployment.entries[1 - leader];
    assert_eq!(
        other.call("POST", &job_id(1), "k", &two_step_job(2)).status,
        200
    );
    deployment.entries[leader].signal("CONT");
    deployment.wait_until_completed(2);
    assert_eq!(deployment.users.started_runs().len(), 8);
}

#[test]
fn a_stopped_leader_hands_over() {
    let mut deployment = deploy(2, RUN_TIME);
    let leader = deployment.leader();
    deployment.entries[leader].signal("TERM");
    let name = deployment.entries[leader].name.clone();
    wait_until("another entry host leads", || {
        deployment.users.leader().is_some_and(|now| now != name)
    });
    assert!(deployment.entries[leader].wait().success());
    deployment.entries.remove(leader);
    deployment.submit(0);
    deployment.wait_until_completed(1);
}

#[rstest]
#[case::store_busy(StoreFault::Unavailable, &[503])]
#[case::write_responses_lost(StoreFault::WritesUnanswered, &[504])]
fn a_failing_store_loses_no_job(#[case] trouble: StoreFault, #[case] statuses: &[u16]) {
    let deployment = deploy(1, RUN_TIME);
    deployment.submit(0);
    deployment.wait_until_completed(1);
    deployment.users.set_store_fault(trouble);
    let answer = deployment.entries[0].call("POST", &job_id(1), "k", &two_step_job(2));
    assert!(statuses.contains(&answer.status), "{answer:?}");
    assert_eq!(answer.retry_after.is_some(), answer.status == 503);
    deployment.users.set_store_fault(StoreFault::None);
    deployment.submit(1);
    deployment.wait_until_completed(2);
    let refused = answer.status == 503;
    assert!(
        refused || deployment.users.started_runs().len() == 8,
        "the accepted job did not run exactly once"
    );
}

#[test]
fn a_slow_store_does_not_change_the_leader() {
    let deployment = deploy(1, RUN_TIME);
    deployment.submit(0);
    deployment.wait_until_completed(1);
    let term = deployment.users.value("rhubarbrill/term");
    deployment.users.set_store_fault(StoreFault::Delayed(300));
    let entry = &deployment.entries[0];
    std::thread::scope(|scope| {
        for number in 1..25 {
            scope.spawn(move || {
                let answer = entry.call("POST", &job_id(number), "k", &two_step_job(2));
                assert_eq!(answer.status, 200, "{answer:?}");
            });
        }
    });
    deployment.wait_until_completed(25);
    assert_eq!(
        deployment.users.value("rhubarbrill/term"),
        term,
        "the leader changed"
    );
}

#[test]
fn compacted_history_is_read_again() {
    let deployment = deploy(2, RUN_TIME);
    for number in 0..4 {
        deployment.submit(number);
        deployment.users.compact();
    }
    deployment.wait_until_completed(4);
}

/// Fault: the store's history is compacted, and watches receive nothing for longer than
/// the test. The end of the first job is the leader's own write that its watch doesn't
/// deliver.
///
/// A leader that relies on its watches starts no new job until they resume.
#[test]
fn jobs_start_while_watches_are_silent() {
    let deployment = deploy(2, RUN_TIME);
    deployment.submit(0);
    wait_until("the first job starts", || {
        !deployment.users.started_runs().is_empty()
    });
    deployment.users.set_store_fault(StoreFault::WatchesSilent);
    deployment.users.compact();
    deployment.submit(1);
    wait_until("all tasks start", || {
        deployment.users.started_runs().len() == 8
    });
    let leader = &deployment.entries[deployment.leader()];
    assert!(leader.read_log(&deployment.folder).contains("WatchStalled"));
    deployment.users.set_store_fault(StoreFault::None);
    deployment.wait_until_completed(2);
}

#[test]
fn tasks_move_from_a_cut_off_endpoint_after_its_lease() {
    let deployment = deploy(1, Duration::from_millis(300));
    deployment.submit(0);
    deployment.wait_until_completed(1);
    for endpoint in ["i-0", "i-1"] {
        deployment.users.set_unreachable(endpoint, true);
    }
    for number in 1..4 {
        deployment.submit(number);
    }
    deployment.wait_until_completed(4);
    deployment.users.set_unreachable("i-0", false);
}

#[test]
fn a_cancelled_job_is_reported_as_cancelled() {
    let deployment = deploy(2, Duration::from_secs(60));
    deployment.submit(0);
    wait_until("tasks run", || deployment.users.started_runs().len() >= 2);
    let answer = deployment.entries[1].call("DELETE", &job_id(0), "k", &Value::Null);
    assert_eq!(answer.status, 200);
    for entry in &deployment.entries {
        wait_until("the job is reported as cancelled", || {
            entry.state(&job_id(0)) == "cancelled"
        });
    }
}

/// A request and the status that it is expected to get.
struct Request {
    method: &'static str,
    id: &'static str,
    key: &'static str,
    body: Value,
    status: u16,
}

#[rstest]
#[case::unknown_key(Request { method: "POST", id: "00000000000000aa", key: "x", body: two_step_job(1), status: 401 })]
#[case::malformed_job_id(Request { method: "POST", id: "zz", key: "k", body: two_step_job(1), status: 404 })]
#[case::no_steps(Request { method: "POST", id: "00000000000000aa", key: "k", body: json!({"spec": "s", "steps": []}), status: 400 })]
#[case::body_not_an_object(Request { method: "POST", id: "00000000000000aa", key: "k", body: json!(7), status: 400 })]
#[case::step_depends_on_itself(Request { method: "POST", id: "00000000000000aa", key: "k", body: json!({"spec": "s", "steps": [{"count": 1, "after": [0]}]}), status: 400 })]
#[case::payload_too_long(Request { method: "POST", id: "00000000000000aa", key: "k", body: json!({"spec": "x".repeat(4_001), "steps": [{"count": 1}]}), status: 400 })]
#[case::body_too_large(Request { method: "POST", id: "00000000000000aa", key: "k", body: json!({"spec": "x".repeat(5_000), "steps": [{"count": 1}]}), status: 413 })]
#[case::state_of_unknown_job(Request { method: "GET", id: "00000000000000ab", key: "k", body: Value::Null, status: 410 })]
#[case::cancel_of_unknown_job(Request { method: "DELETE", id: "00000000000000ab", key: "k", body: Value::Null, status: 410 })]
#[case::pending(Request { method: "GET", id: "", key: "k", body: Value::Null, status: 200 })]
#[case::unknown_method(Request { method: "PUT", id: "00000000000000aa", key: "k", body: two_step_job(1), status: 405 })]
fn request_gets_expected_status(#[case] request: Request) {
    let deployment = deploy(1, RUN_TIME);
    let Request {
        method,
        id: job,
        key,
        body,
        status,
    } = request;
    let answer = deployment.entries[0].call(method, job, key, &body);
    assert_eq!(answer.status, status, "{answer:?}");
    if status >= 400 {
        assert!(answer.body["error"].is_string(), "{answer:?}");
    }
    deployment.submit(0);
    deployment.wait_until_completed(1);
}

#[test]
fn unreadable_items_are_logged_and_ignored() {
    let deployment = deploy(1, RUN_TIME);
    deployment
        .users
        .put_bytes("servers/i-x", b"\xff\x00 not json");
    deployment
        .users
        .put("servers/i-y", &json!({"service": 7, "state": "odd"}));
    deployment
        .users
        .put("op/wave/1", &json!({"machines": "none"}));
    deployment.submit(0);
    deployment.wait_until_completed(1);
    let log = deployment.entries[0].read_log(&deployment.folder);
    assert_eq!(log.matches("ItemUnreadable").count(), 3, "{log}");
}

#[test]
fn a_withdrawn_key_stops_working() {
    let deployment = deploy(2, RUN_TIME);
    deployment.users.configure(5, "a", &["other"]);
    // A configuration older than the one in force is ignored.
    deployment.users.configure(4, "a", &["k"]);
    for entry in &deployment.entries {
        wait_until("the key is refused", || {
            entry.call("POST", &job_id(9), "k", &two_step_job(1)).status == 401
        });
        assert_eq!(
            entry
                .call("POST", &job_id(8), "other", &two_step_job(1))
                .status,
            200
        );
    }
}

#[test]
fn tasks_run_only_where_the_placement_policy_allows() {
    let deployment = deploy(2, RUN_TIME);
    deployment.users.set_allowed_endpoints(&["i-1"]);
    deployment.users.configure(2, "a", &["k"]);
    for entry in &deployment.entries {
        wait_until("the configuration is in force", || {
            entry
                .read_log(&deployment.folder)
                .contains(r#""version":2"#)
        });
    }
    for number in 0..4 {
        deployment.submit(number);
    }
    deployment.wait_until_completed(4);
    let ran = deployment.users.started_runs();
    assert_eq!(ran.len(), 16, "each task ran once");
    assert!(ran.iter().all(|ran| ran.endpoint == "i-1"));
}

/// Breaks the link between one entry host and the store, which still serves the others.
#[rstest]
#[case::cut(|link: &Link| link.cut())]
#[case::unresponsive(|link: &Link| link.freeze(NewConnections::Freeze))]
fn an_entry_host_without_the_store_forwards_jobs(#[case] fault: fn(&Link)) {
    let mut deployment = deploy(2, RUN_TIME);
    // Wait until one of these two leads: the entry host without the store forwards jobs
    // to the leader, so it must not be the leader itself.
    deployment.leader();
    let link = Link::start(deployment.users.store());
    let addresses = free_addresses();
    let (folder, users) = (&deployment.folder, &deployment.users);
    let disconnected = Entry::launch(folder, users, link.address(), "entry-2", addresses);
    wait_until("the entry host knows the leader", || {
        disconnected.read_log(folder).contains("LeaderSeen")
    });
    fault(&link);
    // Until the entry host has detected the loss of the store, it may fail to report the
    // outcome of a submission.
    std::thread::sleep(Duration::from_secs(2));
    for number in 0..3 {
        let answer = disconnected.call("POST", &job_id(number), "k", &two_step_job(1));
        let log = disconnected.read_log(folder);
        assert_eq!(answer.status, 200, "{answer:?}, log: {log}");
    }
    for number in 0..3 {
        wait_until("the job is reported as completed", || {
            disconnected.state(&job_id(number)) == "completed"
        });
    }
    let unknown = disconnected.call("GET", &job_id(9), "k", &Value::Null);
    assert_eq!(unknown.status, 410);
    let refused = disconnected.call("POST", &job_id(4), "x", &two_step_job(1));
    assert_eq!(refused.status, 401);
    deployment.wait_until_completed(3);
    assert_eq!(
        deployment.users.started_runs().len(),
        6,
        "each task ran once"
    );
    deployment.entries.push(disconnected);
}

#[test]
fn a_key_unknown_to_the_leader_is_not_forwarded() {
    let deployment = deploy(2, RUN_TIME);
    // Wait until one of these two leads: the entry host without the store forwards jobs
    // to the leader, so it must not be the leader itself.
    deployment.leader();
    let link = Link::start(deployment.users.store());
    let addresses = free_addresses();
    let (folder, users) = (&deployment.folder, &deployment.users);
    let disconnected = Entry::launch(folder, users, link.address(), "entry-2", addresses);
    wait_until("the entry host knows the leader", || {
        disconnected.read_log(folder).contains("LeaderSeen")
    });
    link.cut();
    deployment.users.configure(2, "a", &["other"]);
    for entry in &deployment.entries {
        wait_until("the key is withdrawn", || {
            entry.call("GET", &job_id(0), "k", &Value::Null).status == 401
        });
    }
    std::thread::sleep(Duration::from_secs(2));
    let answer = disconnected.call("POST", &job_id(0), "k", &two_step_job(1));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(deployment.users.started_runs().is_empty());
}

/// Submits jobs in bursts with pauses, so that hosts move in and out of the pool, while
/// the leader is alternately paused past its lease and stopped.
#[test]
fn no_host_gets_commands_from_two_leaders_in_short_succession() {
    let mut deployment = deploy(3, Duration::from_millis(150));
    deployment.users.allow_host_moves();
    for _ in 0..5 {
        deployment
            .users
            .add_endpoint("a", Duration::from_millis(150));
    }
    deployment.users.configure(2, "a", &["k"]);
    for round in 0..4 {
        for number in 0..6 {
            let entry = &deployment.entries[number % deployment.entries.len()];
            let id = job_id(round * 6 + number);
            // A process that has just been resumed refuses jobs until it has heard from
            // the store.
            wait_until("the job is accepted", || {
                entry.call("POST", &id, "k", &two_step_job(60)).status == 200
            });
        }
        std::thread::sleep(Duration::from_millis(900));
        let leader = deployment.leader();
        if round % 2 == 0 {
            // Longer than its lease, so another entry host leads when it resumes.
            deployment.entries[leader].signal("STOP");
            std::thread::sleep(Duration::from_millis(1_900));
            deployment.entries[leader].signal("CONT");
        } else {
            deployment.entries[leader].signal("TERM");
            deployment.entries[leader].wait();
            deployment.entries.remove(leader);
        }
    }
    deployment.wait_until_completed(24);
    assert!(deployment.users.moved_hosts() >= 4);
    assert_eq!(deployment.users.violations(), Vec::<String>::new());
}
