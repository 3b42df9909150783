//! `rhubarbrill zone` against a stand-in for the users' platform: output, exit codes and
//! what the store holds afterwards.

use std::process::Command;
use std::time::Duration;

use rhubarbrill_standin::users::{StoreFault, UserPlatform};
use rstest::rstest;
use serde_json::{Value, json};

const REQUEST: &str = "op/evacuate/z0";

const REPORT: &str = "rhubarbrill/shared/evacuation/z0";

/// Runs the command on zone `z0` and returns its exit code and JSON output.
fn run(users: &UserPlatform, command: &str, wait: bool) -> (i32, Value) {
    let mut process = Command::new(env!("CARGO_BIN_EXE_rhubarbrill"));
    process.args(["zone", command, "z0", "--json", "--store"]);
    process.arg(users.store().to_string());
    if wait {
        process.arg("--wait");
    }
    let output = process.output().unwrap();
    let out = serde_json::from_slice(&output.stdout).unwrap_or_default();
    (output.status.code().unwrap(), out)
}

fn report(users: &UserPlatform, state: &str, tasks: u32) {
    let value = json!({"state": state, "tasks": tasks, "long_running": 1});
    users.put(REPORT, &value);
}

/// The whole course. A report of an earlier evacuation must not be shown as that of the
/// present one, and a repeated request must not replace the first.
#[test]
fn zone_is_evacuated_and_returned() {
    let users = UserPlatform::start();
    let state = |name: &str| (0, json!({"zone": "z0", "state": name}));
    assert_eq!(run(&users, "status", false), state("in-use"));
    report(&users, "evacuated", 0);
    assert_eq!(run(&users, "status", false), state("returning"));
    assert_eq!(run(&users, "evacuate", false), state("requested"));
    assert_eq!(users.value(REQUEST).as_deref(), Some(&b"{}"[..]));
    report(&users, "evacuating", 3);
    let evacuating =
        json!({"zone": "z0", "state": "evacuating", "tasks": 3, "long_running": 1});
    assert_eq!(run(&users, "evacuate", false), (0, evacuating));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(700));
            report(&users, "evacuated", 0);
        });
        let (code, out) = run(&users, "evacuate", true);
        assert_eq!((code, &out["state"]), (0, &json!("evacuated")));
    });
    assert_eq!(run(&users, "return", false), state("returning"));
    assert_eq!(users.value(REQUEST), None);
    users.remove(REPORT);
    assert_eq!(run(&users, "return", true), state("in-use"));
}

/// A write without a response is repeated until one arrives; a store that refuses
/// everything leads to exit code 4.
#[rstest]
#[case::refused(StoreFault::Unavailable, 4, false)]
#[case::unanswered(StoreFault::WritesUnanswered, 4, true)]
#[case::slow(StoreFault::Delayed(300), 0, true)]
fn store_faults_are_reported(
    #[case] fault: StoreFault,
    #[case] code: i32,
    #[case] is_written: bool,
) {
    let users = UserPlatform::start();
    users.set_store_fault(fault);
    assert_eq!(run(&users, "evacuate", false).0, code);
    assert_eq!(users.value(REQUEST).is_some(), is_written);
}

#[rstest]
#[case::no_store("zone evacuate z0", 2)]
#[case::no_address("zone evacuate z0 --store store", 2)]
#[case::slash("zone evacuate z/0 --store 127.0.0.1:1", 1)]
#[case::empty("zone status  --store 127.0.0.1:1", 1)]
#[case::nobody_listens("zone status z0 --store 127.0.0.1:1", 4)]
fn mistakes_have_their_exit_codes(#[case] line: &str, #[case] code: i32) {
    let output = Command::new(env!("CARGO_BIN_EXE_rhubarbrill"))
        .args(line.split(' '))
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}
