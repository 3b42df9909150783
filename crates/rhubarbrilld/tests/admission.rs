//! Checks which jobs an entry host rejects by the leader's estimate.

mod support;

use std::time::Duration;

use rhubarbrill_standin::users::UserPlatform;
use rstest::rstest;
use serde_json::{Value, json};
use support::daemon::Folder;
use support::jobs::{Entry, FEATURES_FILE, job_id, two_step_job, wait_until};

const RUN_TIME: Duration = Duration::from_millis(200);

/// Key of the leader's estimate.
const ESTIMATE: &str = "rhubarbrill/shared/estimate";

/// An entry host with the stand-in platform that it uses.
struct Deployment {
    users: UserPlatform,
    entry: Entry,
    folder: Folder,
}

impl Deployment {
    fn start(features: &str, endpoints: usize) -> Self {
        let folder = Folder::new();
        folder.write(FEATURES_FILE, features);
        let mut users = UserPlatform::start();
        for _ in 0..endpoints {
            users.add_endpoint("a", RUN_TIME);
        }
        users.configure(1, "a", &["k"]);
        let entry = Entry::start(&folder, &users, "entry-0");
        wait_until("there is a leader", || users.leader().is_some());
        // The leader writes its own estimate once, since nothing changes afterwards.
        std::thread::sleep(Duration::from_millis(1_200));
        Self {
            users,
            entry,
            folder,
        }
    }

    fn submit(&self, number: usize) -> support::jobs::Answer {
        let job = two_step_job(1);
        self.entry.call("POST", &job_id(number), "k", &job)
    }
}

fn estimate(term: u64, wait_ms: u64) -> Value {
    json!({"term": term, "pools": {"a": {"wait_ms": wait_ms, "room": 1}}})
}

/// A job that can't end while it is of use is rejected, and never runs. Without the switch,
/// with an estimate of an earlier term or one that can't be decoded, it is accepted.
#[rstest]
#[case::rejected("admission = yes", estimate(1_000, 600_000), 503)]
#[case::no_wait("admission = yes", estimate(1_000, 0), 200)]
#[case::earlier_term("admission = yes", estimate(0, 600_000), 200)]
#[case::unreadable("admission = yes", json!({"term": "x"}), 200)]
#[case::switched_off("admission = no", estimate(1_000, 600_000), 200)]
fn estimate_decides(#[case] switch: &str, #[case] value: Value, #[case] status: u16) {
    let deployment = Deployment::start(&format!("[features]\n{switch}\n"), 1);
    deployment.users.put(ESTIMATE, &value);
    std::thread::sleep(Duration::from_millis(300));
    let answer = deployment.submit(0);
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.retry_after.is_some(), status == 503, "{answer:?}");
    if status == 503 {
        assert_eq!(deployment.entry.state(&job_id(0)), "", "nothing is stored");
        let metrics = deployment.entry.read_metrics();
        assert!(metrics.contains("rhubarbrill_rejected_jobs"), "{metrics}");
    }
}

/// An estimate that isn't renewed, for example because there is no leader, rejects nothing
/// after 1.5 s.
#[test]
fn old_estimate_rejects_nothing() {
    let deployment = Deployment::start("[features]\nadmission = yes\n", 1);
    deployment.users.put(ESTIMATE, &estimate(1_000, 600_000));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(deployment.submit(0).status, 503);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(deployment.submit(0).status, 200);
}

/// A job that one entry host accepted isn't reported as rejected when it is sent again to
/// another one, which doesn't know of it. Without endpoints the job waits, and the leader
/// doesn't replace the estimate.
#[test]
fn accepted_job_is_not_rejected_later() {
    let deployment = Deployment::start("[features]\nadmission = yes\n", 0);
    assert_eq!(deployment.submit(0).status, 200);
    let other = Entry::start(&deployment.folder, &deployment.users, "entry-1");
    deployment.users.put(ESTIMATE, &estimate(1_000, 600_000));
    std::thread::sleep(Duration::from_millis(300));
    let answer = other.call("POST", &job_id(0), "k", &two_step_job(1));
    assert_eq!(answer.status, 200, "{answer:?}");
    let answer = other.call("POST", &job_id(1), "k", &two_step_job(1));
    assert_eq!(answer.status, 503, "{answer:?}");
}
