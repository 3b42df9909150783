//! Output and exit codes when the store fails, when operators race, and when an
//! operator's process is killed.

mod support;

use std::time::Duration;

use rhubarbrill_standin::platform::Down;
use rstest::rstest;
use serde_json::Value;

use support::{CommandOutput, TestEnv, run_steps, step};

#[rstest]
fn each_kind_of_failure_has_its_own_exit_code() {
    let env = TestEnv::start("trouble");
    let steps = [
        step("aply", 2, &["!Unrecognized argument: aply"]),
        step(
            "--settings none.ini status",
            1,
            &["!none.ini: can't be read"],
        ),
        step(
            "events 210",
            0,
            &[
                "210 StoreUnreachable (alarm)",
                "What to do: Check the store.",
            ],
        ),
        step("events 9", 1, &["!no event has the number 9"]),
        step("apply", 0, &["accepted as revision 1"])
            .before(|env| env.store.lose_responses(2)),
        step("plan", 4, &["!store failed"])
            .before(|env| env.store.set_down(Some(Down::Refuse))),
        step("wave pause w1", 4, &["!store"]),
        step(
            "status",
            4,
            &[
                "accepted revision: the store gives no answer",
                "entry e1 in north-1",
            ],
        ),
    ];
    run_steps(&env, &steps);
}

#[rstest]
fn loser_of_a_race_is_told_the_winning_revision() {
    let env = TestEnv::start("race");
    assert_eq!(env.run("apply").code, 0);
    env.edit("teams/counter.ini", "limit = 24", "limit = 30");
    env.store.set_delay(Duration::from_millis(100));
    let runs: Vec<CommandOutput> = std::thread::scope(|scope| {
        let start = || scope.spawn(|| env.run("apply --base 1 --json"));
        let running = [start(), start()];
        running.map(|run| run.join().unwrap()).into()
    });
    let mut codes: Vec<i32> = runs.iter().map(|run| run.code).collect();
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{runs:#?}");
    let loser = runs.iter().find(|run| run.code == 3).unwrap();
    let loser: Value = serde_json::from_str(&loser.out).unwrap();
    assert_eq!(loser["outcome"], "conflict");
    assert_eq!(loser["reason"], "revision 2 by ann came first");
}

#[rstest]
fn killed_operator_does_not_block_others() {
    const ROUNDS: u64 = 16;
    const KILL_DELAY_STEP: Duration = Duration::from_millis(15);
    let env = TestEnv::start("kill");
    assert_eq!(env.run("apply").code, 0);
    env.store.set_delay(Duration::from_millis(15));
    let limit = |limit: u64| format!("limit = {limit}\n");
    env.edit("teams/counter.ini", "limit = 24\n", &limit(0));
    for round in 0..ROUNDS {
        let (killed, next) = (2 * round + 1, 2 * round + 2);
        env.edit("teams/counter.ini", &limit(2 * round), &limit(killed));
        env.run_and_kill("apply", KILL_DELAY_STEP * u32::try_from(round).unwrap());
        env.edit("teams/counter.ini", &limit(killed), &limit(next));
        let first = env.run("apply");
        let is_accepted = match first.code {
            0 => true,
            3 => env.run("apply").code == 0,
            _ => false,
        };
        assert!(is_accepted, "round {round}: {first:#?}");
        let plan = env.run("plan");
        assert!(
            plan.out.starts_with("no changes"),
            "round {round}: {plan:#?}"
        );
    }
}

#[rstest]
fn stale_reads_cause_no_false_report() {
    let env = TestEnv::start("stale");
    const CONFLICT_MESSAGE: &str = "conflict: revision 2 by ann came first";
    let steps = [
        step("apply", 0, &["accepted as revision 1"]),
        step("apply", 0, &["accepted as revision 2"])
            .before(|env| env.edit("teams/counter.ini", "limit = 24", "limit = 30")),
        step("apply", 3, &[CONFLICT_MESSAGE]).before(|env| {
            env.edit("teams/counter.ini", "limit = 30", "limit = 24");
            env.store.set_stale(2);
        }),
        step("apply", 3, &[CONFLICT_MESSAGE])
            .before(|env| env.edit("teams/counter.ini", "limit = 24", "limit = 31")),
        step(
            "key grant counter till --apply",
            0,
            &["!accepted as revision 3"],
        )
        .before(|env| {
            env.entries.iter().for_each(|entry| entry.set_revision(4));
            env.store.set_stale(0);
        }),
        step(
            "key withdraw counter till",
            3,
            &["revision 3 by ann came first"],
        )
        .before(|env| env.store.set_stale(2)),
        step("key withdraw counter till", 0, &["accepted as revision 4"])
            .before(|env| env.store.set_stale(0)),
    ];
    run_steps(&env, &steps);
}
