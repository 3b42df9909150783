//! Runs more tasks on one endpoint than its reports list ends of, while nothing can be
//! acknowledged.

use std::collections::BTreeSet;
use std::time::Duration;

use rhubarbrill_standin::users::{StoreFault, UserPlatform};
use rstest::rstest;
use serde_json::{Value, json};

mod support;

use support::daemon::Folder;
use support::jobs::{Entry, job_id, wait_until};

/// Number of jobs, of [`WIDTH`] tasks each. An endpoint lists 500 ends in a report.
const JOBS: usize = 25;

const WIDTH: usize = 24;

const RUN_TIME: Duration = Duration::from_secs(4);

/// Time for which nothing is acknowledged, in which all tasks end.
const TROUBLE_TIME: Duration = Duration::from_millis(4_500);

/// What keeps ends from being acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    /// The store doesn't answer.
    StoreSilent,
    /// The store doesn't answer, and the leader is killed before it does again.
    LeaderKilled,
}

fn job() -> Value {
    json!({"spec": "s", "steps": [
        {"count": WIDTH, "cpu": 50, "mem-mb": 64, "estimate-ms": 4_000},
    ]})
}

/// Guards against tasks that run twice after the store was away while more than 500 of them
/// ended on one endpoint (TWICE): those that a report left out counted as gone.
#[rstest]
#[case::store_silent(Trouble::StoreSilent)]
#[case::leader_killed(Trouble::LeaderKilled)]
fn tasks_run_once_if_more_end_than_a_report_lists(#[case] trouble: Trouble) {
    let folder = Folder::new();
    let mut users = UserPlatform::start();
    users.add_endpoint("a", RUN_TIME);
    users.configure(1, "a", &["k"]);
    let start = |name: &str| Entry::start(&folder, &users, name);
    let mut entries = vec![start("entry-0"), start("entry-1")];
    wait_until("there is a leader", || users.leader().is_some());
    for number in 0..JOBS {
        let answer = entries[0].call("POST", &job_id(number), "k", &job());
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    wait_until("all tasks have started", || {
        users.started_runs().len() == JOBS * WIDTH
    });
    users.set_store_fault(StoreFault::Silent);
    std::thread::sleep(TROUBLE_TIME);
    if trouble == Trouble::LeaderKilled {
        let name = users.leader().expect("there was a leader");
        let position = entries.iter().position(|entry| entry.name == name);
        let mut leader = entries.remove(position.expect("the leader is an entry host"));
        leader.kill();
    }
    users.set_store_fault(StoreFault::None);
    for number in 0..JOBS {
        wait_until("the job is completed", || {
            entries[0].state(&job_id(number)) == "completed"
        });
    }
    assert_eq!(users.violations(), Vec::<String>::new());
    let started = users.started_runs();
    let tasks: BTreeSet<&str> = started.iter().map(|run| run.task.as_str()).collect();
    assert_eq!(tasks.len(), JOBS * WIDTH);
    assert_eq!(started.len(), JOBS * WIDTH, "tasks started again");
}
