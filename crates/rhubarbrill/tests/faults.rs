//! What operators are told when the store fails, operators race, or one is killed.

mod bench;

use std::time::Duration;

use rhubarbrill_standin::platform::Down;
use rstest::rstest;
use serde_json::Value;

use bench::{Bench, Run, play, step};

#[rstest]
fn trouble_has_its_own_exit_codes() {
    let bench = Bench::start("trouble");
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
            .before(|bench| bench.store.lose_responses(2)),
        step("plan", 4, &["!store failed"])
            .before(|bench| bench.store.set_down(Some(Down::Refuse))),
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
    play(&bench, &steps);
}

#[rstest]
fn two_operators_race_and_one_is_told_of_the_other() {
    let bench = Bench::start("race");
    assert_eq!(bench.run("apply").code, 0);
    bench.edit("teams/counter.ini", "limit = 24", "limit = 30");
    bench.store.set_delay(Duration::from_millis(100));
    let runs: Vec<Run> = std::thread::scope(|scope| {
        let start = || scope.spawn(|| bench.run("apply --base 1 --json"));
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
fn a_killed_operator_holds_nobody_up() {
    const ROUNDS: u64 = 16;
    const STEP: Duration = Duration::from_millis(15);
    let bench = Bench::start("kill");
    assert_eq!(bench.run("apply").code, 0);
    bench.store.set_delay(Duration::from_millis(15));
    let limit = |limit: u64| format!("limit = {limit}\n");
    bench.edit("teams/counter.ini", "limit = 24\n", &limit(0));
    for round in 0..ROUNDS {
        let (killed, next) = (2 * round + 1, 2 * round + 2);
        bench.edit("teams/counter.ini", &limit(2 * round), &limit(killed));
        bench.kill("apply", STEP * u32::try_from(round).unwrap());
        bench.edit("teams/counter.ini", &limit(killed), &limit(next));
        let first = bench.run("apply");
        let is_accepted = match first.code {
            0 => true,
            3 => bench.run("apply").code == 0,
            _ => false,
        };
        assert!(is_accepted, "round {round}: {first:#?}");
        let plan = bench.run("plan");
        assert!(
            plan.out.starts_with("no changes"),
            "round {round}: {plan:#?}"
        );
    }
}

#[rstest]
fn a_lagging_store_leads_to_no_false_report() {
    let bench = Bench::start("stale");
    const RIVAL: &str = "conflict: revision 2 by ann came first";
    let steps = [
        step("apply", 0, &["accepted as revision 1"]),
        step("apply", 0, &["accepted as revision 2"])
            .before(|bench| bench.edit("teams/counter.ini", "limit = 24", "limit = 30")),
        step("apply", 3, &[RIVAL]).before(|bench| {
            bench.edit("teams/counter.ini", "limit = 30", "limit = 24");
            bench.store.set_stale(2);
        }),
        step("apply", 3, &[RIVAL])
            .before(|bench| bench.edit("teams/counter.ini", "limit = 24", "limit = 31")),
        step(
            "key grant counter till --apply",
            0,
            &["!accepted as revision 3"],
        )
        .before(|bench| {
            bench.entries.iter().for_each(|entry| entry.show(4));
            bench.store.set_stale(0);
        }),
        step(
            "key withdraw counter till",
            3,
            &["revision 3 by ann came first"],
        )
        .before(|bench| bench.store.set_stale(2)),
        step("key withdraw counter till", 0, &["accepted as revision 4"])
            .before(|bench| bench.store.set_stale(0)),
    ];
    play(&bench, &steps);
}
