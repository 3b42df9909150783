//! Starts of tasks around an outage of the store that affects every entry host.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rhubarbrill_standin::link::{Link, NewConnections};
use rhubarbrill_standin::users::{StoreFault, UserPlatform};
use rstest::rstest;
use serde_json::json;

mod support;

use support::daemon::Folder;
use support::jobs::{Entry, agent, free_addresses, job_id, two_step_job, wait_until};

const RUN_TIME: Duration = Duration::from_millis(200);

/// Length of the outage. The leader's lease lasts 1.4 s.
const OUTAGE: Duration = Duration::from_millis(4_900);

/// TTL of leases that can't expire before a wait of these tests fails.
const LONG_LEASE: Duration = Duration::from_secs(60);

/// Number of entry hosts, all of which run for election when there is no leader.
const ENTRIES: usize = 6;

/// Jobs of 80 tasks each, enough to keep all endpoints busy throughout.
const JOBS: usize = 40;

/// Number of tasks of each job.
const TASKS: usize = 80;

/// Held by each test, so that their processes don't compete for processor time.
static ALONE: Mutex<()> = Mutex::new(());

fn run_alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns how many events of this name the entry hosts have logged.
fn count_events(folder: &Folder, entries: &[Entry], name: &str) -> usize {
    let logs = entries.iter().map(|entry| entry.read_log(folder));
    logs.map(|log| log.lines().filter(|line| line.contains(name)).count())
        .sum()
}

/// Guards against another term after an outage in which the leader's lease expired, and
/// against starts that don't resume. How soon they resume is checked on the virtual clock
/// by `starts_reach_the_full_rate_when_the_store_returns` in `core/tests/job_store.rs`: the
/// first start within 0.3 s, the full rate from 0.5 s on.
#[rstest]
#[case::refuses(StoreFault::Unavailable, "no")]
#[case::silent(StoreFault::Silent, "no")]
// The leader asks entry hosts that don't reach the store either, and keeps its term.
#[case::refuses_with_hand_over(StoreFault::Unavailable, "yes")]
#[case::silent_with_hand_over(StoreFault::Silent, "yes")]
fn same_term_continues_after_an_outage(
    #[case] fault: StoreFault,
    #[case] hand_over: &str,
) {
    let _alone = run_alone();
    let folder = Folder::new();
    folder.write(
        "features.ini",
        &format!("[features]\nhand-over = {hand_over}\n"),
    );
    let mut users = UserPlatform::start();
    for _ in 0..4 {
        users.add_endpoint("a", RUN_TIME);
    }
    users.configure(1, "a", &["k"]);
    let start = |number| Entry::start(&folder, &users, &format!("entry-{number}"));
    let entries: Vec<Entry> = (0..ENTRIES).map(start).collect();
    let step = json!({"count": TASKS, "cpu": 2_000, "mem-mb": 100, "estimate-ms": 200});
    let job = json!({"spec": "s", "steps": [step]});
    for number in 0..JOBS {
        let answer = entries[number % ENTRIES].call("POST", &job_id(number), "k", &job);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    wait_until("tasks run", || users.started_runs().len() > 64);
    let term = users.value("rhubarbrill/shared/term");
    let leader = users.leader().unwrap();
    let fence = users.started_runs().last().unwrap().fence;
    let lease = users.leader_lease();
    let terms = count_events(&folder, &entries, "TermBegan");
    users.set_store_fault(fault);
    std::thread::sleep(OUTAGE);
    let before = users.started_runs().len();
    users.set_store_fault(StoreFault::None);
    for number in 0..JOBS {
        wait_until("the job is completed", || {
            entries[0].state(&job_id(number)) == "completed"
        });
    }
    let own = entries.iter().find(|entry| entry.name == leader).unwrap();
    let log = own.read_log(&folder);
    assert_eq!(users.value("rhubarbrill/shared/term"), term, "{log}");
    assert_eq!(count_events(&folder, &entries, "TermBegan"), terms, "{log}");
    assert!(log.contains("TermReclaimed"), "{log}");
    assert_ne!(users.leader_lease(), lease, "the lease didn't expire");
    assert_eq!(users.leader(), Some(leader));
    let runs = users.started_runs();
    assert!(runs.len() > before, "nothing started after the outage");
    let other = runs[before..].iter().find(|run| run.fence != fence);
    assert_eq!(other, None, "a start of another leader");
    let tasks: BTreeSet<&str> = runs.iter().map(|run| run.task.as_str()).collect();
    assert_eq!(tasks.len(), JOBS * TASKS);
    assert_eq!(
        users.max_concurrent_runs(),
        1,
        "a task ran twice concurrently"
    );
    assert_eq!(users.violations(), Vec::<String>::new());
}

/// Versions of the configuration that are written while the entry host can't reach the
/// store.
const MISSED_VERSIONS: u64 = 20;

/// Longest answer to a watch that arrives completely, in bytes. One version of the
/// configuration takes less, all that were missed take more.
const MAX_WATCH_BYTES: usize = 4_000;

/// Guards against an entry host that serves by an old configuration for as long as the store
/// keeps history: the changes that it missed in an outage take longer to receive than a
/// call may last, and each watch asks for all of them again.
#[test]
fn missed_changes_that_are_too_long_for_a_watch_are_listed() {
    let _alone = run_alone();
    let folder = Folder::new();
    let users = UserPlatform::start();
    users.configure(1, "a", &["k"]);
    let entry = Entry::start(&folder, &users, "entry-0");
    users.set_store_fault(StoreFault::Unavailable);
    wait_until("the outage is noticed", || {
        entry.read_log(&folder).matches("StoreUnreachable").count() >= 2
    });
    for version in 2..=MISSED_VERSIONS {
        users.configure(version, "a", &["k"]);
    }
    users.configure(MISSED_VERSIONS + 1, "a", &["k", "new"]);
    users.set_store_fault(StoreFault::LongWatchesCut(MAX_WATCH_BYTES));
    wait_until("the newest configuration is in force", || {
        let answer = entry.call("POST", &job_id(0), "new", &two_step_job(1));
        answer.status == 200
    });
}

/// Guards against a leader that loses its lease to a late request about an earlier record.
#[test]
fn request_to_end_an_earlier_lease_is_ignored() {
    let _alone = run_alone();
    let folder = Folder::new();
    folder.write("features.ini", "[features]\nhand-over = yes\n");
    let users = UserPlatform::start();
    users.configure(1, "a", &["k"]);
    let entry = Entry::start(&folder, &users, "entry-0");
    wait_until("entry-0 leads", || users.leader().is_some());
    let lease = json!({"lease": users.leader_lease(), "fence": 1});
    let url = format!("http://{}/end-term", entry.metrics);
    let mut answer = agent().post(url).send(lease.to_string()).unwrap();
    assert_eq!(answer.status(), 200);
    let body = answer.body_mut().read_to_string().unwrap();
    assert_eq!(body, r#"{"ended":false}"#);
    assert!(users.leader().is_some());
}

/// Guards against a lease that is ended by request although the hand-over is switched off.
#[test]
fn hand_over_requests_are_unknown_while_it_is_switched_off() {
    let _alone = run_alone();
    let folder = Folder::new();
    let users = UserPlatform::start();
    users.configure(1, "a", &["k"]);
    let entry = Entry::start(&folder, &users, "entry-0");
    for path in ["store-reachable", "end-term"] {
        let url = format!("http://{}/{path}", entry.metrics);
        let answer = agent().post(url).send("{}").unwrap();
        assert_eq!(answer.status(), 404, "{path}");
    }
}

/// Guards against a term that ends because the store refuses to write the leader's record
/// again, although nothing was done and the next attempt succeeds.
#[test]
fn refused_write_of_the_leaders_record_is_tried_again() {
    let _alone = run_alone();
    let folder = Folder::new();
    let users = UserPlatform::start();
    users.configure(1, "a", &["k"]);
    let entries = [Entry::start(&folder, &users, "entry-0")];
    wait_until("entry-0 leads", || users.leader().is_some());
    let term = users.value("rhubarbrill/shared/term");
    users.set_store_fault(StoreFault::WritesUnavailable);
    users.revoke_lease(users.leader_lease());
    wait_until("several writes are refused", || {
        users.rejected_elections() >= 4
    });
    users.set_store_fault(StoreFault::None);
    wait_until("a process leads", || users.leader().is_some());
    wait_until("the term continues or ends", || {
        count_events(&folder, &entries, "TermReclaimed") > 0
            || count_events(&folder, &entries, "TermEnded") > 0
    });
    let log = entries[0].read_log(&folder);
    assert!(!log.contains("TermEnded"), "{log}");
    assert_eq!(users.value("rhubarbrill/shared/term"), term, "{log}");
}

/// The leader alone loses the store. Guards against a fleet without a leader until the
/// lease expires, while the other entry hosts reach the store.
#[rstest]
#[case::cut(|link: &Link| link.cut())]
#[case::silent(|link: &Link| link.freeze(NewConnections::Freeze))]
fn leader_that_alone_loses_the_store_hands_over(#[case] fault: fn(&Link)) {
    let _alone = run_alone();
    let folder = Folder::new();
    folder.write("features.ini", "[features]\nhand-over = yes\n");
    let mut users = UserPlatform::start();
    for _ in 0..4 {
        users.add_endpoint("a", RUN_TIME);
    }
    users.configure(1, "a", &["k"]);
    users.set_min_lease_ttl(LONG_LEASE);
    let link = Link::start(users.store());
    let first =
        Entry::launch(&folder, &users, link.address(), "entry-0", free_addresses());
    wait_until("entry-0 leads", || users.leader().is_some());
    let others = [1, 2].map(|n| Entry::start(&folder, &users, &format!("entry-{n}")));
    for name in ["entry-0", "entry-1", "entry-2"] {
        let key = format!("rhubarbrill/shared/entry/{name}");
        wait_until("its address is in the store", || {
            users.value(&key).is_some()
        });
    }
    // The leader receives changes in order, so once it has logged this record, which it
    // can't decode, it knows the addresses.
    users.put_bytes("rhubarbrill/shared/entry/undecodable", b"{");
    wait_until("the leader knows the other entry hosts", || {
        first.read_log(&folder).contains("ItemUnreadable")
    });
    for number in 0..10 {
        let answer = others[0].call("POST", &job_id(number), "k", &two_step_job(20));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    wait_until("tasks run", || users.started_runs().len() > 64);
    let lease = users.leader_lease();
    fault(&link);
    wait_until("another entry host leads", || {
        users.leader().is_some_and(|leader| leader != "entry-0")
    });
    assert!(users.is_revoked(lease), "the lease expired");
    // The old leader logs this before it asks for the end of its lease.
    let log = first.read_log(&folder);
    let handed_over = log.lines().any(|line| {
        line.contains("HandOverChecked") && line.contains("\"handed_over\":true")
    });
    assert!(handed_over, "{log}");
    for number in 0..10 {
        wait_until("the job is completed", || {
            others[1].state(&job_id(number)) == "completed"
        });
    }
    assert_eq!(
        users.max_concurrent_runs(),
        1,
        "a task ran twice concurrently"
    );
    assert_eq!(users.violations(), Vec::<String>::new());
}
