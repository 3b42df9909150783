//! Jobs through real entry hosts, against a stand-in of the users' platform.

use std::time::Duration;

use rhubarbrill_standin::link::{Link, NewConnections};
use rhubarbrill_standin::users::{StoreFault, UserPlatform};
use rstest::rstest;
use serde_json::{Value, json};

mod support;

use support::daemon::Folder;
use support::jobs::{Entry, free_addresses, id, two_steps, until};

const RUN_TIME: Duration = Duration::from_millis(200);

/// A platform with endpoints, and entry hosts on it.
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
        let answer = entry.call("POST", &id(number), "k", &two_steps(2));
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    fn leader(&self) -> usize {
        until("there is a leader", || self.users.leader().is_some());
        let name = self.users.leader().unwrap();
        self.entries
            .iter()
            .position(|entry| entry.name == name)
            .unwrap()
    }

    /// Waits until every job is shown as completed by every entry host.
    fn until_completed(&self, jobs: usize) {
        for number in 0..jobs {
            for entry in &self.entries {
                until(&format!("job {number} completed"), || {
                    entry.state(&id(number)) == "completed"
                });
            }
        }
        assert_eq!(
            self.users.max_concurrent_runs(),
            1,
            "a task ran twice at once"
        );
    }
}

#[test]
fn jobs_are_completed_once() {
    let deployment = deploy(2, RUN_TIME);
    for number in 0..10 {
        deployment.submit(number);
    }
    // The same job again is still one job.
    deployment.submit(3);
    deployment.until_completed(10);
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
fn of_a_finished_job_only_its_state_is_kept() {
    let mut deployment = deploy(2, RUN_TIME);
    deployment.submit(0);
    deployment.until_completed(1);
    for kept in ["job", "kept/progress"] {
        let key = format!("rhubarbrill/{kept}/{}", id(0));
        assert_eq!(deployment.users.value(&key), None, "{key}");
    }
    // A process that was not there knows it too, and it stays one job.
    let started = Entry::start(&deployment.folder, &deployment.users, "entry-2");
    deployment.entries.push(started);
    for entry in &deployment.entries {
        assert_eq!(entry.state(&id(0)), "completed");
        let again = entry.call("POST", &id(0), "k", &two_steps(2));
        assert_eq!(again.status, 200);
    }
    deployment.submit(1);
    deployment.until_completed(2);
    assert_eq!(
        deployment.users.started_runs().len(),
        8,
        "each task ran once"
    );
}

#[test]
fn jobs_that_wait_are_counted_by_every_entry_host() {
    let deployment = deploy(2, RUN_TIME);
    // No endpoint has so much room.
    let job = json!({"spec": "s", "steps": [{"count": 1, "cpu": 64_000}]});
    for number in 0..3 {
        let answer = deployment.entries[0].call("POST", &id(number), "k", &job);
        assert_eq!(answer.status, 200);
    }
    for entry in &deployment.entries {
        until("all three are pending", || {
            entry.call("GET", "", "k", &Value::Null).body["pending"] == 3
        });
        assert_eq!(entry.state(&id(2)), "queued");
    }
}

#[test]
fn a_new_leader_counts_anew_what_waits() {
    let mut deployment = deploy(2, RUN_TIME);
    // No endpoint has so much room.
    let job = json!({"spec": "s", "steps": [{"count": 1, "cpu": 64_000}]});
    let leader = deployment.leader();
    let other = deployment.entries.remove(1 - leader);
    for number in 0..3 {
        let answer = other.call("POST", &id(number), "k", &job);
        assert_eq!(answer.status, 200);
    }
    let pending = || other.call("GET", "", "k", &Value::Null).body["pending"].clone();
    until("all three are pending", || pending() == 3);
    deployment.entries.clear();
    for number in 0..3 {
        let answer = other.call("DELETE", &id(number), "k", &Value::Null);
        assert_eq!(answer.status, 200);
    }
    until("none is pending", || pending() == 0);
}

#[test]
fn a_killed_leader_is_followed() {
    let mut deployment = deploy(3, Duration::from_millis(1_500));
    for number in 0..6 {
        deployment.submit(number);
    }
    until("tasks run", || deployment.users.started_runs().len() >= 12);
    let leader = deployment.leader();
    deployment.entries[leader].kill();
    deployment.entries.remove(leader);
    deployment.until_completed(6);
    assert_eq!(
        deployment.users.started_runs().len(),
        24,
        "what ran went on"
    );
}

#[test]
fn a_frozen_leader_does_no_harm_when_it_wakes() {
    let deployment = deploy(2, Duration::from_millis(1_000));
    deployment.submit(0);
    let leader = deployment.leader();
    deployment.entries[leader].signal("STOP");
    let name = deployment.entries[leader].name.clone();
    until("another leads", || {
        deployment.users.leader().is_some_and(|now| now != name)
    });
    let other = &deployment.entries[1 - leader];
    assert_eq!(other.call("POST", &id(1), "k", &two_steps(2)).status, 200);
    deployment.entries[leader].signal("CONT");
    deployment.until_completed(2);
    assert_eq!(deployment.users.started_runs().len(), 8);
}

#[test]
fn a_stopped_leader_hands_over_at_once() {
    let mut deployment = deploy(2, RUN_TIME);
    let leader = deployment.leader();
    deployment.entries[leader].signal("TERM");
    let name = deployment.entries[leader].name.clone();
    until("another leads", || {
        deployment.users.leader().is_some_and(|now| now != name)
    });
    assert!(deployment.entries[leader].wait().success());
    deployment.entries.remove(leader);
    deployment.submit(0);
    deployment.until_completed(1);
}

#[rstest]
#[case::turned_away(StoreFault::Unavailable, &[503])]
#[case::answers_lost(StoreFault::WritesUnanswered, &[504])]
fn a_store_in_trouble_loses_nothing(
    #[case] trouble: StoreFault,
    #[case] statuses: &[u16],
) {
    let deployment = deploy(1, RUN_TIME);
    deployment.submit(0);
    deployment.until_completed(1);
    deployment.users.set_store_fault(trouble);
    let answer = deployment.entries[0].call("POST", &id(1), "k", &two_steps(2));
    assert!(statuses.contains(&answer.status), "{answer:?}");
    assert_eq!(answer.retry_after.is_some(), answer.status == 503);
    deployment.users.set_store_fault(StoreFault::None);
    deployment.submit(1);
    deployment.until_completed(2);
    let refused = answer.status == 503;
    assert!(
        refused || deployment.users.started_runs().len() == 8,
        "accepted once"
    );
}

#[test]
fn a_slow_store_slows_jobs_and_loses_no_leader() {
    let deployment = deploy(1, RUN_TIME);
    deployment.submit(0);
    deployment.until_completed(1);
    let term = deployment.users.value("rhubarbrill/term");
    deployment.users.set_store_fault(StoreFault::Delayed(300));
    let entry = &deployment.entries[0];
    std::thread::scope(|scope| {
        for number in 1..25 {
            scope.spawn(move || {
                let answer = entry.call("POST", &id(number), "k", &two_steps(2));
                assert_eq!(answer.status, 200, "{answer:?}");
            });
        }
    });
    deployment.until_completed(25);
    assert_eq!(
        deployment.users.value("rhubarbrill/term"),
        term,
        "the same leader"
    );
}

#[test]
fn dropped_history_is_read_again() {
    let deployment = deploy(2, RUN_TIME);
    for number in 0..4 {
        deployment.submit(number);
        deployment.users.compact();
    }
    deployment.until_completed(4);
}

#[test]
fn an_endpoint_that_is_cut_off_loses_its_tasks_after_its_lease() {
    let deployment = deploy(1, Duration::from_millis(300));
    deployment.submit(0);
    deployment.until_completed(1);
    for endpoint in ["i-0", "i-1"] {
        deployment.users.set_unreachable(endpoint, true);
    }
    for number in 1..4 {
        deployment.submit(number);
    }
    deployment.until_completed(4);
    deployment.users.set_unreachable("i-0", false);
}

#[test]
fn a_cancelled_job_is_shown_as_cancelled_and_stops() {
    let deployment = deploy(2, Duration::from_secs(60));
    deployment.submit(0);
    until("tasks run", || deployment.users.started_runs().len() >= 2);
    let answer = deployment.entries[1].call("DELETE", &id(0), "k", &Value::Null);
    assert_eq!(answer.status, 200);
    for entry in &deployment.entries {
        until("it is shown", || entry.state(&id(0)) == "cancelled");
    }
}

/// A request and the status that answers it.
struct Request {
    method: &'static str,
    id: &'static str,
    key: &'static str,
    body: Value,
    status: u16,
}

#[rstest]
#[case::unknown_key(Request { method: "POST", id: "00000000000000aa", key: "x", body: two_steps(1), status: 401 })]
#[case::no_identity(Request { method: "POST", id: "zz", key: "k", body: two_steps(1), status: 404 })]
#[case::no_steps(Request { method: "POST", id: "00000000000000aa", key: "k", body: json!({"spec": "s", "steps": []}), status: 400 })]
#[case::no_object(Request { method: "POST", id: "00000000000000aa", key: "k", body: json!(7), status: 400 })]
#[case::waits_for_itself(Request { method: "POST", id: "00000000000000aa", key: "k", body: json!({"spec": "s", "steps": [{"count": 1, "after": [0]}]}), status: 400 })]
#[case::payload_too_long(Request { method: "POST", id: "00000000000000aa", key: "k", body: json!({"spec": "x".repeat(4_001), "steps": [{"count": 1}]}), status: 400 })]
#[case::body_too_large(Request { method: "POST", id: "00000000000000aa", key: "k", body: json!({"spec": "x".repeat(5_000), "steps": [{"count": 1}]}), status: 413 })]
#[case::state_of_unknown_job(Request { method: "GET", id: "00000000000000ab", key: "k", body: Value::Null, status: 410 })]
#[case::cancel_of_unknown_job(Request { method: "DELETE", id: "00000000000000ab", key: "k", body: Value::Null, status: 410 })]
#[case::pending(Request { method: "GET", id: "", key: "k", body: Value::Null, status: 200 })]
#[case::unknown_method(Request { method: "PUT", id: "00000000000000aa", key: "k", body: two_steps(1), status: 405 })]
fn bad_requests_get_a_clear_answer(#[case] request: Request) {
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
    deployment.until_completed(1);
}

#[test]
fn items_that_cannot_be_read_do_no_harm() {
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
    deployment.until_completed(1);
    let log = deployment.entries[0].read_log(&deployment.folder);
    assert_eq!(log.matches("ItemUnreadable").count(), 3, "{log}");
}

#[test]
fn a_withdrawn_key_stops_working() {
    let deployment = deploy(2, RUN_TIME);
    deployment.users.configure(5, "a", &["other"]);
    // A version that is older than the one in force changes nothing.
    deployment.users.configure(4, "a", &["k"]);
    for entry in &deployment.entries {
        until("the key is refused", || {
            entry.call("POST", &id(9), "k", &two_steps(1)).status == 401
        });
        assert_eq!(
            entry.call("POST", &id(8), "other", &two_steps(1)).status,
            200
        );
    }
}

#[test]
fn tasks_run_where_the_placement_policy_allows() {
    let deployment = deploy(2, RUN_TIME);
    deployment.users.set_allowed_endpoints(&["i-1"]);
    deployment.users.configure(2, "a", &["k"]);
    for entry in &deployment.entries {
        until("the configuration is in force", || {
            entry
                .read_log(&deployment.folder)
                .contains(r#""version":2"#)
        });
    }
    for number in 0..4 {
        deployment.submit(number);
    }
    deployment.until_completed(4);
    let ran = deployment.users.started_runs();
    assert_eq!(ran.len(), 16, "each task ran once");
    assert!(ran.iter().all(|ran| ran.endpoint == "i-1"));
}

/// What becomes of the way from one entry host to the store, which serves the others.
#[rstest]
#[case::cut(|link: &Link| link.cut())]
#[case::silent(|link: &Link| link.freeze(NewConnections::Freeze))]
fn an_entry_host_without_the_store_hands_jobs_on(#[case] harm: fn(&Link)) {
    let mut deployment = deploy(2, RUN_TIME);
    // One of these leads; the one without the store couldn't hand on to itself.
    deployment.leader();
    let link = Link::start(deployment.users.store());
    let addresses = free_addresses();
    let (folder, users) = (&deployment.folder, &deployment.users);
    let apart = Entry::launch(folder, users, link.address(), "entry-2", addresses);
    until("the entry host knows the leader", || {
        apart.read_log(folder).contains("LeaderSeen")
    });
    harm(&link);
    // Until it knows that the store is lost, it may not tell what became of a job.
    std::thread::sleep(Duration::from_secs(2));
    for number in 0..3 {
        let answer = apart.call("POST", &id(number), "k", &two_steps(1));
        let log = apart.read_log(folder);
        assert_eq!(answer.status, 200, "{answer:?}, log: {log}");
    }
    for number in 0..3 {
        until("the job is shown as completed", || {
            apart.state(&id(number)) == "completed"
        });
    }
    let unknown = apart.call("GET", &id(9), "k", &Value::Null);
    assert_eq!(unknown.status, 410);
    let refused = apart.call("POST", &id(4), "x", &two_steps(1));
    assert_eq!(refused.status, 401);
    deployment.until_completed(3);
    assert_eq!(
        deployment.users.started_runs().len(),
        6,
        "each task ran once"
    );
    deployment.entries.push(apart);
}

#[test]
fn a_key_that_the_leader_does_not_know_is_not_handed_on() {
    let deployment = deploy(2, RUN_TIME);
    // One of these leads; the one without the store couldn't hand on to itself.
    deployment.leader();
    let link = Link::start(deployment.users.store());
    let addresses = free_addresses();
    let (folder, users) = (&deployment.folder, &deployment.users);
    let apart = Entry::launch(folder, users, link.address(), "entry-2", addresses);
    until("the entry host knows the leader", || {
        apart.read_log(folder).contains("LeaderSeen")
    });
    link.cut();
    deployment.users.configure(2, "a", &["other"]);
    for entry in &deployment.entries {
        until("the key is withdrawn", || {
            entry.call("GET", &id(0), "k", &Value::Null).status == 401
        });
    }
    std::thread::sleep(Duration::from_secs(2));
    let answer = apart.call("POST", &id(0), "k", &two_steps(1));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(deployment.users.started_runs().is_empty());
}

/// Load: bursts with pauses, so that hosts come and go, while leaders change.
#[test]
fn no_host_gets_orders_from_two_leaders_shortly_after_each_other() {
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
            let id = id(round * 6 + number);
            // A process that has just woken up refuses until it has heard of the store.
            until("the job is accepted", || {
                entry.call("POST", &id, "k", &two_steps(60)).status == 200
            });
        }
        std::thread::sleep(Duration::from_millis(900));
        let leader = deployment.leader();
        if round % 2 == 0 {
            // Longer than its lease: another leads when it wakes.
            deployment.entries[leader].signal("STOP");
            std::thread::sleep(Duration::from_millis(1_900));
            deployment.entries[leader].signal("CONT");
        } else {
            deployment.entries[leader].signal("TERM");
            deployment.entries[leader].wait();
            deployment.entries.remove(leader);
        }
    }
    deployment.until_completed(24);
    assert!(deployment.users.moved_hosts() >= 4);
    assert_eq!(deployment.users.violations(), Vec::<String>::new());
}
