//! The command line's contract with operators: the output and exit code of each command.

mod support;

use std::fs;

use rstest::rstest;
use serde_json::Value;

use support::{TestEnv, run_steps, step};

#[rstest]
fn declarations_are_put_in_force() {
    let env = TestEnv::start("apply");
    let steps = [
        step(
            "check",
            0,
            &["no mistakes: zone 2, team 2, pool 2, host 6, queue 2, key 2"],
        ),
        step(
            "plan",
            0,
            &[
                "16 changes to revision 0",
                "+ [team counter]",
                "    limit = 24",
            ],
        ),
        step("apply --base 0", 0, &["accepted as revision 1"]),
        step("apply", 0, &["revision 1 is in force, nothing to change"]),
        step(
            "plan",
            0,
            &[
                "1 changes to revision 1",
                "~ [team counter]",
                "    limit = 24 -> 30",
            ],
        )
        .before(|env| env.edit("teams/counter.ini", "limit = 24", "limit = 30")),
        step(
            "apply --base 0",
            3,
            &["conflict: revision 1 by ann came first"],
        ),
        step(
            "apply --wait",
            5,
            &[
                "revision 2",
                "in force at: e1",
                "not confirmed by e2: has revision 1",
            ],
        )
        .before(|env| {
            env.entries[0].set_revision(2);
            env.entries[1].set_revision(1);
        }),
        step("apply --wait", 0, &["in force at: e1, e2"])
            .before(|env| env.entries[1].set_revision(2)),
        step(
            "status",
            0,
            &[
                "accepted revision: 2",
                "entry e1 in north-1: revision 2\n",
                "team counter: running 6 of 24, waiting 2, share 3, units 20 owned and 4 lent",
            ],
        ),
        step(
            "apply",
            1,
            &["!fleet/teams/counter.ini:2: [team counter] shares: unknown key"],
        )
        .before(|env| env.edit("teams/counter.ini", "share", "shares")),
        step("status", 0, &["accepted revision: 2"]),
    ];
    run_steps(&env, &steps);
}

#[rstest]
fn keys_are_granted_and_withdrawn() {
    let env = TestEnv::start("key");
    let steps = [
        step("apply", 0, &["accepted as revision 1"]),
        step("key grant counter Till", 1, &["!\"Till\" is not a name"]),
        step(
            "key grant nobody till --apply",
            1,
            &["!undeclared name: key nobody/till: team nobody"],
        ),
        step(
            "key grant counter till --apply",
            0,
            &[
                "[key counter/till]",
                "!accepted as revision 2",
                "!rb_counter_till_",
            ],
        )
        .before(|env| env.entries.iter().for_each(|entry| entry.set_revision(2))),
        step(
            "key withdraw counter till",
            5,
            &[
                "revision 3",
                "not confirmed by e1: has revision 2",
                "!remove [key counter/till] from the declarations too",
            ],
        ),
        step(
            "key withdraw counter till",
            1,
            &["![key counter/till] is not in force"],
        ),
        step("plan", 0, &["no changes to revision 3"]),
    ];
    run_steps(&env, &steps);
}

#[rstest]
fn questionnaire_generates_declarations() {
    let env = TestEnv::start("questionnaire");
    let blank = env.run("questionnaire");
    assert_eq!(blank.code, 0);
    let filled = blank
        .out
        .replacen("name = ", "name = workshop", 1)
        .replacen("busiest-rate = ", "busiest-rate = 30", 1)
        .replacen("mean-run-time = ", "mean-run-time = 2s", 1);
    fs::write(env.folder.join("answers.ini"), filled).unwrap();
    let steps = [
        step(
            "questionnaire answers.ini --with fleet",
            0,
            &["[team workshop]", "limit = 90", "!rb_workshop_first_"],
        ),
        step(
            "questionnaire answers.ini --with fleet",
            1,
            &["!(generated):1: [team workshop] declared already"],
        )
        .before(|env| {
            let run = env.run("questionnaire answers.ini");
            fs::write(env.folder.join("fleet/workshop.ini"), run.out).unwrap();
        }),
        step("apply", 0, &["accepted as revision 1"]),
    ];
    run_steps(&env, &steps);
}

#[rstest]
fn waves_are_started_paused_and_resumed() {
    let env = TestEnv::start("wave");
    let steps = [
        step("apply", 0, &["accepted as revision 1"]),
        step(
            "wave start w1 --pool none",
            1,
            &["!no pool none is declared"],
        ),
        step(
            "wave start w1",
            1,
            &["!name either --pool or hosts by --host"],
        ),
        step(
            "wave start w1 --pool quotes --within 8",
            1,
            &["!has no unit"],
        ),
        step(
            "wave start w1 --pool quotes",
            0,
            &["wave w1: recorded; status shows"],
        ),
        step(
            "wave start w1 --pool quotes",
            0,
            &["wave w1: recorded already"],
        ),
        step(
            "wave start w1 --host spare-1",
            1,
            &["!wave w1 already exists"],
        ),
        step(
            "wave start w2 --host spare-1 --host spare-2 --within 8h",
            0,
            &["recorded;"],
        ),
        step("wave pause w1", 0, &["wave w1: recorded;"])
            .before(|env| env.store.lose_responses(1)),
        step("wave pause w1", 0, &["wave w1: recorded already"]),
        step("wave resume w1", 0, &["wave w1: recorded;"]),
        step("wave resume w9", 1, &["!no wave w9"]),
    ];
    run_steps(&env, &steps);
}

/// A JSON pointer, and a predicate for the type of the value that it refers to.
type JsonMember = (&'static str, fn(&Value) -> bool);

struct JsonOutput {
    line: &'static str,
    members: &'static [JsonMember],
}

#[rstest]
fn json_output_keeps_its_members() {
    let env = TestEnv::start("json");
    fs::write(env.folder.join("bad.ini"), "[team x]\nshare = 1\n").unwrap();
    let outputs = [
        JsonOutput {
            line: "check --json",
            members: &[
                ("/digest", Value::is_string),
                ("/mistakes", Value::is_array),
                ("/sections/0/count", Value::is_u64),
            ],
        },
        JsonOutput {
            line: "check bad.ini --json",
            members: &[
                ("/mistakes/0/file", Value::is_string),
                ("/mistakes/0/line", Value::is_u64),
                ("/mistakes/0/section", Value::is_string),
                ("/mistakes/0/key", Value::is_string),
                ("/mistakes/0/hint", Value::is_string),
            ],
        },
        JsonOutput {
            line: "plan --json",
            members: &[
                ("/base", Value::is_u64),
                ("/changes/0/action", Value::is_string),
                ("/changes/0/kind", Value::is_string),
                ("/changes/0/properties/0/to", Value::is_string),
            ],
        },
        JsonOutput {
            line: "apply --json --wait",
            members: &[
                ("/outcome", Value::is_string),
                ("/revision", Value::is_u64),
                ("/unconfirmed/0/entry", Value::is_string),
                ("/unconfirmed/0/reason", Value::is_string),
            ],
        },
        JsonOutput {
            line: "status --json",
            members: &[
                ("/accepted", Value::is_u64),
                ("/entries/0/operators", Value::is_string),
                ("/entries/0/status/revision", Value::is_u64),
                ("/teams/0/loan", Value::is_u64),
                ("/waves", Value::is_array),
            ],
        },
        JsonOutput {
            line: "wave start w1 --pool quotes --json",
            members: &[
                ("/outcome", Value::is_string),
                ("/generation", Value::is_u64),
            ],
        },
        JsonOutput {
            line: "key grant counter till --json",
            members: &[("/ini", Value::is_string), ("/token", Value::is_string)],
        },
        JsonOutput {
            line: "events --json",
            members: &[("/events/0/number", Value::is_u64)],
        },
        JsonOutput {
            line: "questionnaire --json",
            members: &[("/ini", Value::is_string)],
        },
    ];
    for output in outputs {
        let run = env.run(output.line);
        let json: Value = serde_json::from_str(&run.out).unwrap();
        for (pointer, is_expected) in output.members {
            let found = json.pointer(pointer);
            assert!(
                found.is_some_and(is_expected),
                "{} {pointer}: {json:#}",
                output.line
            );
        }
        assert!(run.err.is_empty(), "{}: {}", output.line, run.err);
    }
}
