//! Cancellations of jobs whose submissions are still under way, through entry host processes.

use std::time::{Duration, Instant};

use rhubarbrill_standin::link::Link;
use rhubarbrill_standin::users::UserPlatform;
use rstest::rstest;
use serde_json::Value;
use ureq::Agent;

mod support;

use support::daemon::Folder;
use support::jobs::{Entry, call, free_addresses, job_id, two_step_job, wait_until};

/// Time after which the caller leaves without an answer to its submission.
const PATIENCE: Duration = Duration::from_millis(120);

/// Time after which a lost write is executed late. By then, an entry host has given up.
const LATE: Duration = Duration::from_secs(3);

/// Time in which a job that was accepted would have started.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Number of the cancelled job.
const CANCELLED: usize = 100;

/// How the write that accepts a job is lost, and what happens after its cancellation.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Time after which the store executes the write; `None` if it never does, so that the
    /// entry host makes it again.
    executed_after: Option<Duration>,
    /// Whether the entry host can't reach the store, so that the leader makes the write.
    is_forwarded: bool,
    /// Whether the leader is killed a second after the cancellation.
    kills_leader: bool,
}

const LATE_WRITE: Case = Case {
    executed_after: Some(LATE),
    is_forwarded: false,
    kills_leader: false,
};

/// The stand-in platform and the entry hosts that use it.
struct Deployment {
    folder: Folder,
    users: UserPlatform,
    entries: Vec<Entry>,
}

fn deploy(entries: usize) -> Deployment {
    let folder = Folder::new();
    let mut users = UserPlatform::start();
    for _ in 0..3 {
        users.add_endpoint("a", Duration::from_millis(200));
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
    fn leader(&self) -> usize {
        wait_until("there is a leader", || self.users.leader().is_some());
        let leader = self.users.leader().unwrap();
        let mut names = self.entries.iter().map(|entry| &entry.name);
        names.position(|name| *name == leader).unwrap()
    }

    /// Starts an entry host that knows the leader and has then lost the store.
    fn start_without_store(&self) -> Entry {
        let link = Link::start(self.users.store());
        let addresses = free_addresses();
        let (folder, users) = (&self.folder, &self.users);
        let entry = Entry::launch(folder, users, link.address(), "cut-off", addresses);
        wait_until("the entry host knows the leader", || {
            entry.read_log(folder).contains("LeaderSeen")
        });
        link.cut();
        // Until it has noticed the loss, it tries the store itself.
        std::thread::sleep(Duration::from_secs(2));
        entry
    }

    /// Returns how often tasks of a job have started.
    fn starts(&self, number: usize) -> usize {
        let id = job_id(number);
        let runs = self.users.started_runs();
        runs.iter().filter(|run| run.task.starts_with(&id)).count()
    }
}

/// Returns a client that leaves without an answer.
fn impatient_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .proxy(None)
        .build()
        .into()
}

fn job_key(number: usize) -> String {
    format!("rhubarbrill/job/{}", job_id(number))
}

/// Guards against a job that starts after its cancellation was answered (UNASKED): the write that
/// accepts it is executed late or made again, as nothing in the store kept it from that.
#[rstest]
#[case::late(LATE_WRITE)]
#[case::made_again(Case { executed_after: None, ..LATE_WRITE })]
#[case::late_and_forwarded(Case { is_forwarded: true, ..LATE_WRITE })]
#[case::late_and_leader_killed(Case { kills_leader: true, ..LATE_WRITE })]
fn cancelled_job_is_never_accepted(#[case] case: Case) {
    let mut deployment = deploy(3);
    let leader = deployment.leader();
    let cut_off = case.is_forwarded.then(|| deployment.start_without_store());
    let other = (leader + 1) % 3;
    let entry = cut_off.as_ref().unwrap_or(&deployment.entries[other]);
    let (id, job) = (job_id(CANCELLED), two_step_job(2));
    deployment
        .users
        .lose_write(&job_key(CANCELLED), case.executed_after);
    let submitted = call(&impatient_agent(), entry.callers, "POST", &id, "k", &job);
    assert!(submitted.is_none(), "{submitted:?}");
    wait_until("the write is lost", || {
        deployment.users.writes_to_lose() == 0
    });
    let canceller = (leader + 2) % 3;
    let cancelled = deployment.entries[canceller].call("DELETE", &id, "k", &Value::Null);
    assert_eq!(cancelled.status, 410, "{cancelled:?}");
    if case.kills_leader {
        std::thread::sleep(Duration::from_secs(1));
        deployment.entries[leader].kill();
    }
    std::thread::sleep(LATE + START_TIME);
    assert_eq!(deployment.starts(CANCELLED), 0, "{case:?}");
    for (number, entry) in deployment.entries.iter().enumerate() {
        if case.kills_leader && number == leader {
            continue;
        }
        let state = entry.call("GET", &id, "k", &Value::Null);
        assert_eq!(state.status, 410, "{state:?}");
        // The cancellation is final, and may be repeated.
        let again = entry.call("POST", &id, "k", &job);
        assert_eq!((again.status, again.retry_after), (503, None));
        let repeated = entry.call("DELETE", &id, "k", &Value::Null);
        assert_eq!(repeated.status, 410, "{repeated:?}");
    }
    let next = deployment.entries[other].call("POST", &job_id(1), "k", &job);
    assert_eq!(next.status, 200, "{next:?}");
    wait_until("another job runs", || deployment.starts(1) == 4);
    assert_eq!(deployment.starts(CANCELLED), 0, "{case:?}");
}

/// Guards against a cancellation that is acknowledged although its write got no answer, and against
/// harm by that write when it is executed late.
#[test]
fn late_cancellation_does_not_harm_an_accepted_job() {
    let deployment = deploy(2);
    let (id, job) = (job_id(CANCELLED), two_step_job(2));
    deployment.users.lose_write(&job_key(CANCELLED), Some(LATE));
    let [first, second] = &deployment.entries[..] else {
        panic!("there are two entry hosts");
    };
    let cancelled = call(
        &impatient_agent(),
        first.callers,
        "DELETE",
        &id,
        "k",
        &Value::Null,
    );
    assert!(cancelled.is_none(), "{cancelled:?}");
    wait_until("the write is lost", || {
        deployment.users.writes_to_lose() == 0
    });
    let accepted = second.call("POST", &id, "k", &job).status == 200;
    std::thread::sleep(LATE + START_TIME);
    // The entry host writes again. Whichever came first stays.
    let state = second.call("GET", &id, "k", &Value::Null);
    let expected = if accepted { 200 } else { 410 };
    assert_eq!(state.status, expected, "{state:?}");
    let starts = deployment.starts(CANCELLED);
    assert!(accepted || starts == 0, "{starts} starts");
}

/// Guards against cancellations of unknown jobs that use up the writes which submissions need, or
/// fill the store.
#[test]
fn flood_of_unknown_cancellations_is_bounded() {
    /// Most tombstones of one workspace per second, in each process: half of 5 % of the 400 writes
    /// that the store is assumed to take, divided among the eight entry hosts assumed, rounded up.
    const PER_SECOND: usize = 2;
    /// Most tombstones that it may write at once: those of 10 s, rounded up.
    const BURST: usize = 13;
    const CANCELLATIONS: usize = 3_000;
    let deployment = deploy(2);
    let began = Instant::now();
    let (callers, job) = (
        deployment.entries.iter().map(|entry| entry.callers),
        two_step_job(1),
    );
    let flood = |callers, offset: usize| {
        move || {
            let agent = support::jobs::agent();
            let cancel = |number| {
                let id = job_id(offset + number);
                let answer = call(&agent, callers, "DELETE", &id, "k", &Value::Null);
                answer.unwrap()
            };
            (0..CANCELLATIONS / 2).map(cancel).collect::<Vec<_>>()
        }
    };
    let floods: Vec<_> = callers
        .enumerate()
        .map(|(entry, callers)| std::thread::spawn(flood(callers, 100_000 * (entry + 1))))
        .collect();
    let mut slowest = Duration::ZERO;
    for number in 0..20 {
        let sent = Instant::now();
        let answer =
            deployment.entries[number % 2].call("POST", &job_id(number), "k", &job);
        slowest = slowest.max(sent.elapsed());
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let answers: Vec<_> = floods
        .into_iter()
        .flat_map(|flood| flood.join().unwrap())
        .collect();
    let seconds = usize::try_from(began.elapsed().as_secs()).unwrap() + 1;
    let written = answers.iter().filter(|answer| answer.status == 410).count();
    let refused = answers.iter().filter(|answer| answer.status == 503);
    assert_eq!(refused.clone().count() + written, CANCELLATIONS);
    assert!(
        refused
            .clone()
            .all(|answer| answer.retry_after.as_deref() == Some("1")),
        "refusals tell when to come back"
    );
    let most = 2 * (BURST + PER_SECOND * seconds);
    assert!((2..=most).contains(&written), "{written} written");
    let unknown = deployment.users.keys("rhubarbrill/job/").into_iter();
    let tombstones = unknown.filter(|key| !(0..20).any(|job| *key == job_key(job)));
    assert_eq!(tombstones.count(), written);
    for number in 0..20 {
        wait_until("the jobs run", || deployment.starts(number) == 2);
    }
    println!(
        "{written} of {CANCELLATIONS} written in {seconds} s, slowest submission {slowest:?}"
    );
}
