//! Runs entry hosts with jobs whose steps repeat very often.

use rhubarbrill_standin::users::UserPlatform;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;

mod support;

use support::daemon::Folder;
use support::jobs::{Entry, job_id, two_step_job, wait_until};

/// Number of jobs that run beside the schedule, before and after a change of leader.
const JOBS: usize = 6;

/// Number of the scheduled job.
const SCHEDULE: usize = 99;

/// Returns a job that repeats one small task four billion times, most of them due long ago.
fn schedule(label: &str) -> Value {
    json!({
        "spec": "s", "times": 4_000_000_000_u32, "interval-ms": 1, "start-at-ms": 0,
        "steps": [{"count": 1, "cpu": 100, "mem-mb": 64, "estimate-ms": 200, "requires": label}],
    })
}

fn submit(entry: &Entry, number: usize, job: &Value) -> u16 {
    entry.call("POST", &job_id(number), "k", job).status
}

/// Guards against one scheduled job that takes entry host after entry host, as all that is due
/// was opened at once (LOST).
#[rstest]
#[case::doable("a")]
#[case::impossible("missing")]
fn jobs_beside_billions_of_due_times_complete(#[case] label: &str) {
    let folder = Folder::new();
    let mut users = UserPlatform::start();
    for _ in 0..4 {
        users.add_endpoint("a", Duration::from_millis(200));
    }
    users.configure(1, "a", &["k"]);
    let start = |name: &str| Entry::start(&folder, &users, name);
    let mut entries = vec![start("entry-0"), start("entry-1")];
    wait_until("there is a leader", || users.leader().is_some());
    assert_eq!(submit(&entries[0], SCHEDULE, &schedule(label)), 200);
    let complete = |entry: &Entry, numbers: std::ops::Range<usize>| {
        for number in numbers.clone() {
            assert_eq!(submit(entry, number, &two_step_job(2)), 200);
        }
        for number in numbers {
            wait_until("the job is completed", || {
                entry.state(&job_id(number)) == "completed"
            });
        }
    };
    complete(&entries[0], 0..JOBS);
    let name = users.leader().expect("there was a leader");
    let position = entries.iter().position(|entry| entry.name == name);
    entries
        .remove(position.expect("the leader is an entry host"))
        .kill();
    complete(&entries[0], JOBS..2 * JOBS);
    assert_eq!(users.violations(), Vec::<String>::new());
}

/// Guards against jobs that are accepted although the store can't hold their progress.
#[test]
fn job_that_no_record_can_hold_is_rejected_with_a_reason() {
    let folder = Folder::new();
    let users = UserPlatform::start();
    users.configure(1, "a", &["k"]);
    let entry = Entry::start(&folder, &users, "entry-0");
    let steps = json!([{"count": 20_001, "cpu": 1, "mem-mb": 1, "estimate-ms": 1}]);
    let answer = entry.call(
        "POST",
        &job_id(0),
        "k",
        &json!({"spec": "s", "steps": steps}),
    );
    assert_eq!(answer.status, 400);
    let error = answer.body["error"].as_str().unwrap_or("");
    assert!(error.contains("20001 tasks"), "{error}");
}
