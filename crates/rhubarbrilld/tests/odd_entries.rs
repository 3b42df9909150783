//! Entries in the store that another writer left: values that can't be read, and keys that
//! aren't plain.

use std::time::Duration;

use rhubarbrill_standin::users::UserPlatform;
use rstest::rstest;

mod support;

use support::daemon::Folder;
use support::jobs::{Entry, job_id, two_step_job, wait_until};

/// Number of jobs that run before and after the entries appear.
const JOBS: usize = 3;

/// Number of entries that fill a page of a list, and more.
const MANY: usize = 60;

/// Returns the values, none of which names a usable endpoint.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| open.repeat(5_000) + &close.repeat(5_000);
    let with = |address: &str, cpu: &str, clock: &str| {
        format!(
            r#"{{"service":"a","address":"{address}","zone":"z","state":"ready",
            "capacity":{{"cpu":{cpu},"mem-mb":1,"gpu":0}},"clock-ms":{clock},"born":1}}"#
        )
    };
    let texts = [
        nested("[", "]"),
        nested(r#"{"a":"#, "}"),
        with("127.0.0.1:70000", "1", "1"),
        with("127.0.0.1:-1", "1", "1"),
        with("127.0.0.1:1", "18446744073709551615", "1"),
        with("127.0.0.1:1", "99999999999999999999999999", "1"),
        with("127.0.0.1:1", "1", "1e308"),
        with("127.0.0.1:1", "1", "1e999"),
        with("127.0.0.1:1", "-1", "-1"),
        "null".to_owned(),
        "{".to_owned(),
        String::new(),
    ];
    let mut values: Vec<Vec<u8>> = texts.map(String::into_bytes).into();
    values.push(vec![0xff, 0xfe, 0x00]);
    values
}

/// Prefixes of keys that entry hosts read.
const PREFIXES: [&str; 7] = [
    "servers/odd",
    "op/wave/odd",
    "op/odd",
    "rhubarbrill/job/odd",
    "rhubarbrill/kept/progress/odd",
    "rhubarbrill/shared/state/odd",
    "rhubarbrill/shared/odd",
];

fn put_odd_entries(users: &UserPlatform) {
    for prefix in PREFIXES {
        for (index, value) in odd_values().iter().enumerate() {
            users.put_bytes(&format!("{prefix}-{index}"), value);
        }
        // One of these ends a page of the list, and is named in the call for the next one.
        for index in 0..MANY {
            users.put_bytes(&format!("{prefix} &#%?+=\u{e9}/{index:02}"), b"odd");
        }
    }
}

/// When the entries appear.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum When {
    BeforeTheStart,
    WhileRunning,
}

/// Guards against one odd entry that ends processes, or makes them stop following a list.
#[rstest]
#[case::before_the_start(When::BeforeTheStart)]
#[case::while_running(When::WhileRunning)]
fn odd_entries_keep_nothing_from_running(#[case] when: When) {
    let folder = Folder::new();
    let mut users = UserPlatform::start();
    for _ in 0..2 {
        users.add_endpoint("a", Duration::from_millis(200));
    }
    users.configure(1, "a", &["k"]);
    if when == When::BeforeTheStart {
        put_odd_entries(&users);
    }
    let mut entry = Entry::start(&folder, &users, "entry-0");
    let complete = |entry: &Entry, numbers: std::ops::Range<usize>| {
        for number in numbers.clone() {
            let answer = entry.call("POST", &job_id(number), "k", &two_step_job(2));
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        for number in numbers {
            wait_until("the job is completed", || {
                entry.state(&job_id(number)) == "completed"
            });
        }
    };
    complete(&entry, 0..JOBS);
    if when == When::WhileRunning {
        put_odd_entries(&users);
        // The history is gone, so that everything is listed again.
        users.compact();
    }
    // Registered after the odd keys, by their order.
    users.add_endpoint("a", Duration::from_millis(200));
    users.configure(2, "a", &["k", "k2"]);
    complete(&entry, JOBS..2 * JOBS);
    entry.kill();
    let entry = Entry::start(&folder, &users, "entry-1");
    complete(&entry, 2 * JOBS..3 * JOBS);
}
