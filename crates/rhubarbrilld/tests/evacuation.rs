//! Evacuation of a zone by entry host processes, against a stand-in for the users'
//! platform.
//!
//! The checks compare fencing tokens and the order of log lines, so that the load of the
//! machine doesn't matter. How soon a decision follows a request or its withdrawal is
//! checked on the virtual clock, in `job_evacuation` of `rhubarbrill-core`.

use std::collections::BTreeSet;
use std::time::Duration;

use rhubarbrill_standin::users::{StartedRun, StoreFault, UserPlatform};
use rstest::rstest;
use serde_json::{Value, json};

mod support;

use support::daemon::Folder;
use support::jobs::{Entry, job_id, wait_until};

const RUN_TIME: Duration = Duration::from_millis(300);

/// Starts outside the zone that are awaited before its starts are checked: four on each
/// endpoint there.
const STARTS: usize = 16;

const JOBS: usize = 6;

const ENTRIES: usize = 3;

/// Time for which a store fault lasts after the kill of the leader.
const FAULT_DURATION: Duration = Duration::from_secs(4);

const KEY: &str = "op/evacuate/z0";

const REPORT: &str = "rhubarbrill/shared/evacuation/z0";

/// Two endpoints in each of three zones, three entry hosts, and jobs with six seconds of
/// work for all endpoints.
struct Deployment {
    /// Holds the logs until the processes have ended.
    folder: Folder,
    users: UserPlatform,
    entries: Vec<Entry>,
    /// Endpoints in zone `z0`.
    in_zone: BTreeSet<String>,
}

fn deploy() -> Deployment {
    let folder = Folder::new();
    let mut users = UserPlatform::start();
    let mut in_zone = BTreeSet::new();
    for zone in ["z0", "z1", "z2", "z0", "z1", "z2"] {
        let id = users.add_endpoint_in(zone, "a", RUN_TIME);
        if zone == "z0" {
            in_zone.insert(id);
        }
    }
    users.configure(1, "a", &["k"]);
    let start = |number| Entry::start(&folder, &users, &format!("entry-{number}"));
    let entries: Vec<Entry> = (0..ENTRIES).map(start).collect();
    let step = json!({"count": 40, "cpu": 16_000, "mem-mb": 100, "estimate-ms": 300});
    let job = json!({"spec": "s", "steps": [step]});
    for number in 0..JOBS {
        let answer = entries[0].call("POST", &job_id(number), "k", &job);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let deployment = Deployment {
        folder,
        users,
        entries,
        in_zone,
    };
    wait_until("tasks run in the zone", || {
        deployment.starts_in_zone().len() >= 4
    });
    deployment
}

impl Deployment {
    /// Returns the starts in zone `z0`.
    fn starts_in_zone(&self) -> Vec<StartedRun> {
        let mut runs = self.users.started_runs();
        runs.retain(|run| self.in_zone.contains(&run.endpoint));
        runs
    }

    /// Returns the number of starts outside zone `z0` with a larger fencing token.
    fn starts_elsewhere_above(&self, token: u64) -> usize {
        let runs = self.users.started_runs();
        let above = runs.iter().filter(|run| run.fencing_token > token);
        above
            .filter(|run| !self.in_zone.contains(&run.endpoint))
            .count()
    }

    /// Kills the leader, and returns its fencing token.
    fn kill_leader(&mut self) -> u64 {
        wait_until("there is a leader", || self.users.leader().is_some());
        let token = self.users.leader_token();
        let name = self.users.leader();
        let position = self
            .entries
            .iter()
            .position(|entry| Some(&entry.name) == name.as_ref());
        let mut leader = self
            .entries
            .remove(position.expect("the leader is an entry host"));
        leader.kill();
        token
    }

    /// Returns the messages that an entry host has logged, in order, with the endpoint
    /// that each is about. The last line of a killed process may be incomplete.
    fn logged(&self, entry: usize) -> Vec<(String, String)> {
        let log = self.folder.read(&format!("entry-{entry}.log"));
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        lines
            .map(|line| (text(&line["msg"]), text(&line["endpoint"])))
            .collect()
    }

    /// Checks that no leader has placed a run in zone `z0` from when it learned of the
    /// evacuation until it learned of the return, and that one did so elsewhere.
    fn check_placements(&self) {
        let mut elsewhere = 0;
        for entry in 0..ENTRIES {
            let mut is_evacuated = false;
            for (message, endpoint) in self.logged(entry) {
                match message.as_str() {
                    "ZoneEvacuating" => is_evacuated = true,
                    "ZoneReturned" => is_evacuated = false,
                    "RunPlaced" if is_evacuated => {
                        assert!(!self.in_zone.contains(&endpoint), "entry-{entry}");
                        elsewhere += 1;
                    }
                    _ => {}
                }
            }
        }
        assert!(elsewhere > 0, "placements during the evacuation are logged");
    }

    fn wait_until_completed(&self) {
        for number in 0..JOBS {
            wait_until(&format!("job {number} completed"), || {
                self.entries[0].state(&job_id(number)) == "completed"
            });
        }
        assert_eq!(self.users.max_concurrent_runs(), 1);
        assert_eq!(self.users.violations(), Vec::<String>::new());
    }

    fn report(&self) -> Value {
        let value = self.users.value(REPORT).unwrap_or_default();
        serde_json::from_slice(&value).unwrap_or_default()
    }
}

/// The leader is killed in the middle of an evacuation. The next one must know the zone
/// before its first start, also if its watch of the operators' keys delivers nothing.
#[rstest]
#[case::healthy_store(StoreFault::None)]
#[case::watches_silent(StoreFault::OperatorWatchesSilent)]
fn evacuation_survives_the_kill_of_the_leader(#[case] fault: StoreFault) {
    let mut deployment = deploy();
    deployment.users.set_store_fault(fault);
    deployment.users.put(KEY, &json!({}));
    let token = deployment.kill_leader();
    std::thread::sleep(FAULT_DURATION);
    deployment.users.set_store_fault(StoreFault::None);
    wait_until("the next leader starts tasks outside the zone", || {
        deployment.starts_elsewhere_above(token) >= STARTS
    });
    deployment.wait_until_completed();
    let in_zone = deployment.starts_in_zone();
    assert!(
        in_zone.iter().all(|run| run.fencing_token <= token),
        "starts by the next leader: {in_zone:?}"
    );
    deployment.check_placements();
}

/// With every zone evacuated, callers learn why their jobs wait. Jobs continue once a zone
/// is returned.
#[test]
fn callers_are_told_that_no_zone_is_left() {
    let deployment = deploy();
    let entry = &deployment.entries[0];
    for zone in ["z0", "z1", "z2"] {
        deployment
            .users
            .put(&format!("op/evacuate/{zone}"), &json!({}));
    }
    let reason = json!("every zone is being evacuated");
    let pending = || entry.call("GET", "", "k", &Value::Null).body;
    wait_until("the reason is shown", || pending()["reason"] == reason);
    let job = json!({"spec": "s", "steps": [{"count": 1, "cpu": 500, "mem-mb": 100}]});
    let answer = entry.call("POST", &job_id(JOBS), "k", &job);
    assert_eq!(answer.status, 200, "{answer:?}");
    let state = entry.call("GET", &job_id(JOBS), "k", &Value::Null);
    assert_eq!(state.body, json!({"state": "queued", "reason": reason}));
    deployment.users.remove("op/evacuate/z1");
    wait_until("the reason is gone", || pending()["reason"].is_null());
    deployment.wait_until_completed();
}

/// The whole course for an operator: the zone is left, a damaged value doesn't matter, the
/// progress is reported, and after the return the zone is used again.
#[rstest]
#[case::empty_object(b"{}")]
#[case::damaged_value(b"{")]
fn zone_is_evacuated_and_returned(#[case] value: &[u8]) {
    let deployment = deploy();
    deployment.users.put_bytes(KEY, value);
    wait_until("the zone is empty", || {
        deployment.report()
            == json!({"state": "evacuated", "tasks": 0, "long_running": 0})
    });
    let starts = deployment.starts_in_zone().len();
    let elsewhere = deployment.starts_elsewhere_above(0);
    wait_until("tasks run elsewhere", || {
        deployment.starts_elsewhere_above(0) >= elsewhere + STARTS
    });
    assert_eq!(deployment.starts_in_zone().len(), starts);
    deployment.users.remove(KEY);
    wait_until("the zone is used again", || {
        deployment.starts_in_zone().len() > starts
    });
    wait_until("the report is removed", || {
        deployment.users.value(REPORT).is_none()
    });
    deployment.wait_until_completed();
    deployment.check_placements();
}
