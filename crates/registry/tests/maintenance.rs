//! The ledger's record under lost answers, stale reads, races and frozen senders.

#[path = "../../core/tests/maintenance_support/mod.rs"]
mod fleets;
mod maintenance_support;

use std::sync::Arc;

use fleets::{budget, command, fleet};
use maintenance_support::{Fault, Faulty, WAITS, before_next_swap, check};
use proptest::prelude::*;
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Command, Decision, Ledger, Phase, Refusal, Step};
use rhubarbrill_core::wave::{Estimate, Planner};
use rhubarbrill_registry::maintenance::{self, ChangeOutcome, Written};
use rstest::rstest;

fn send(store: &Faulty, fleet: &Fleet, seen: u64, script: &str) -> ChangeOutcome {
    let commands: Vec<_> = script.split_whitespace().map(command).collect();
    maintenance::change(store, WAITS, fleet, seen, &commands).expect("store answers")
}

/// Commands that each take effect, one after another.
fn given(store: &Faulty, fleet: &Fleet, script: &str) {
    for text in script.split_whitespace() {
        let seen = maintenance::read(store)
            .expect("store answers")
            .generation();
        let answer = send(store, fleet, seen, text);
        assert!(
            matches!(answer.written, Written::Ledger(_)),
            "{text} {answer:?}"
        );
    }
}

/// One drain sent through faults of the store; it must take effect exactly once.
#[rstest]
#[case::fine(&[], &[])]
#[case::answer_lost(&[], &[Fault::LostAfter])]
#[case::answers_lost(&[], &[Fault::LostAfter, Fault::LostAfter])]
#[case::request_lost(&[], &[Fault::LostBefore])]
#[case::down(&[Fault::Down], &[Fault::Down, Fault::Down])]
#[case::lost_then_down(&[], &[Fault::LostAfter, Fault::Down])]
#[case::stale_read(&[Fault::Stale], &[])]
#[case::stale_read_and_lost(&[Fault::Stale], &[Fault::None, Fault::LostAfter])]
fn takes_effect_once(#[case] reads: &[Fault], #[case] swaps: &[Fault]) {
    let fleet = fleet(1, 6, 3, budget(2, 2, 1));
    let store = Faulty::new();
    given(&store, &fleet, "wave:w:p0 failed:p0-h1 recovered:p0-h1");
    store.fail(reads, swaps);
    let answer = send(&store, &fleet, 2, "drain:p0-h0:w");
    assert!(matches!(answer.written, Written::Ledger(_)), "{answer:?}");
    assert_eq!(answer.decisions, [Ok(Decision::Changed(4))]);
    assert_eq!(store.history().len(), 4);
    assert_eq!(check(&fleet, &store.history()), Ok(()));
}

#[test]
fn unknown_may_be_sent_again() {
    let fleet = fleet(1, 6, 3, budget(1, 1, 1));
    let store = Faulty::new();
    given(&store, &fleet, "wave:w:p0");
    store.fail(
        &[],
        &[&[Fault::LostAfter], &[Fault::LostBefore; 6][..]].concat(),
    );
    let answer = send(&store, &fleet, 1, "drain:p0-h0:w");
    assert!(matches!(answer.written, Written::Unknown(_)), "{answer:?}");
    let answer = send(&store, &fleet, 1, "drain:p0-h0:w");
    assert_eq!(answer.decisions, [Ok(Decision::Unchanged)]);
    assert_eq!(store.history().len(), 2);
}

/// Planner B acts between A's read and A's swap; what A's command then gets.
#[rstest]
#[case::same_budget("drain:p0-h1:w", "drain:p0-h0:w", Err(Refusal::BudgetPool("p0".into())))]
#[case::same_host("drain:p0-h0:w", "drain:p0-h0:w", Ok(Decision::Unchanged))]
#[case::two_moves_of_one_host(
    "move:p0-h0:p1",
    "move:p0-h0:spare",
    Err(Refusal::StaleGeneration { seen: 1, changed: 2 })
)]
#[case::other_pool("failed:p1-h0", "drain:p0-h0:w", Ok(Decision::Changed(3)))]
#[case::paused("pause:w", "drain:p0-h0:w", Err(Refusal::WaveNotRunning("w".into())))]
fn racing_planners(
    #[case] other: &'static str,
    #[case] ours: &str,
    #[case] expected: Result<Decision, Refusal>,
) {
    let fleet = fleet(2, 6, 3, budget(1, 1, 1));
    let store = Arc::new(Faulty::new());
    given(&store, &fleet, "wave:w:p0");
    let (theirs, declared) = (Arc::clone(&store), fleet.clone());
    before_next_swap(move || {
        send(&theirs, &declared, 1, other);
    });
    let answer = send(&store, &fleet, 1, ours);
    assert_eq!(answer.decisions, [expected]);
    assert_eq!(check(&fleet, &store.history()), Ok(()));
}

/// A planner froze before it sent; others went on meanwhile.
#[rstest]
#[case::drained_again("move:p0-h0:p1", "move:p0-h0:p1 cancel:p0-h0 serve:p0-h0")]
#[case::moved_again(
    "to:p0-h0:p1",
    "move:p0-h0:p1 cancel:p0-h0 serve:p0-h0 move:p0-h0:p1 drained:p0-h0"
)]
#[case::rebooted_again(
    "reboot:p0-h0",
    "drain:p0-h0:w drained:p0-h0 cancel:p0-h0 serve:p0-h0"
)]
fn woken_planner_is_refused(#[case] held: &str, #[case] meanwhile: &str) {
    let fleet = fleet(2, 6, 3, budget(1, 1, 1));
    let store = Faulty::new();
    given(&store, &fleet, &format!("wave:w:p0 {meanwhile}"));
    let before = store.history().len();
    let answer = send(&store, &fleet, 1, held);
    let is_stale =
        |answer: &Result<_, _>| matches!(answer, Err(Refusal::StaleGeneration { .. }));
    assert!(answer.decisions.iter().all(is_stale), "{answer:?}");
    assert_eq!(store.history().len(), before);
}

/// One thing that happens while two planners are at work.
#[derive(Clone, Debug)]
enum Event {
    /// A planner reads and decides, and sends later.
    Plan { planner: usize, read: Fault },
    /// A planner sends what it decided on, however long ago.
    Send { planner: usize, swap: Fault },
    /// Every host goes one step on.
    Advance,
    /// A host fails.
    Fail { host: usize },
    /// A whole rack fails.
    FailRack,
}

fn event() -> impl Strategy<Value = Event> {
    let read = prop_oneof![4 => Just(Fault::None), 1 => Just(Fault::Stale)];
    let swap = prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::LostAfter),
        1 => Just(Fault::LostBefore),
        1 => Just(Fault::Down),
    ];
    prop_oneof![
        6 => (0_usize..2, read).prop_map(|(planner, read)| Event::Plan { planner, read }),
        6 => (0_usize..2, swap).prop_map(|(planner, swap)| Event::Send { planner, swap }),
        5 => Just(Event::Advance),
        1 => (0_usize..12).prop_map(|host| Event::Fail { host }),
        1 => Just(Event::FailRack),
    ]
}

fn advance(ledger: &Ledger) -> Vec<Command> {
    let verb = |step: Step| match step {
        Step::Leaving { .. } => Some("drained"),
        Step::Rebooting | Step::Moving => Some("returned"),
        Step::Returning => Some("serve"),
        Step::Failed => Some("recovered"),
        Step::Drained | Step::Serving => None,
    };
    let next = |(host, step)| Some(command(&format!("{}:{host}", verb(step)?)));
    let out = ledger.records().map(|(host, record)| (host, record.step));
    out.filter_map(next).collect()
}

fn rack(fleet: &Fleet) -> Vec<Command> {
    let zone = fleet.zones.find("z0");
    let hosts = fleet
        .hosts
        .iter()
        .filter(|(_, _, host)| Some(host.zone) == zone);
    let failed = hosts.filter(|(_, _, host)| host.rack == "rack0");
    failed
        .map(|(_, name, _)| command(&format!("failed:{name}")))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    /// Two planners, each frozen between deciding and sending for any time, over a store
    /// that loses answers and reads stale, while hosts and a rack fail. Afterwards the lent
    /// host, which its pool's budget is charged for, goes home and the waves end.
    #[test]
    fn budgets_and_pools_hold_at_every_revision(
        events in prop::collection::vec(event(), 20..150),
    ) {
        let fleet = fleet(2, 12, 3, budget(2, 2, 1));
        let store = Faulty::new();
        given(&store, &fleet, "wave:v:p1 wave:w:p0 move:s0:p0 move:p0-h1:p1");
        let mut held: [(u64, Vec<Command>); 2] = Default::default();
        let change = |seen, commands: &[Command]| {
            maintenance::change(&store, WAITS, &fleet, seen, commands)
        };
        for event in events {
            match event {
                Event::Plan { planner, read } => {
                    store.fail(&[read], &[]);
                    if let Ok(ledger) = maintenance::read(&store) {
                        let plan = Planner.next(&ledger, &fleet, &Estimate::default());
                        held[planner] = (ledger.generation(), plan);
                    }
                }
                Event::Send { planner, swap } => {
                    store.fail(&[], &[swap]);
                    let (seen, commands) = &held[planner];
                    let _ = change(*seen, commands);
                }
                Event::Advance => {
                    let ledger = maintenance::read(&store).unwrap();
                    let _ = change(ledger.generation(), &advance(&ledger));
                }
                Event::Fail { host } => {
                    let seen = maintenance::read(&store).unwrap().generation();
                    let _ = change(seen, &[command(&format!("failed:p0-h{host}"))]);
                }
                Event::FailRack => {
                    let seen = maintenance::read(&store).unwrap().generation();
                    let _ = change(seen, &rack(&fleet));
                }
            }
            store.heal();
        }
        prop_assert_eq!(check(&fleet, &store.history()), Ok(()));
        for _ in 0..200 {
            let ledger = maintenance::read(&store).unwrap();
            if ledger.waves().all(|(_, wave)| wave.phase == Phase::Done) {
                break;
            }
            let mut commands = Planner.next(&ledger, &fleet, &Estimate::default());
            commands.extend(advance(&ledger));
            commands.push(command("move:p0-h1:p0"));
            let _ = change(ledger.generation(), &commands);
        }
        let ledger = maintenance::read(&store).unwrap();
        prop_assert!(ledger.waves().all(|(_, wave)| wave.phase == Phase::Done), "{ledger:?}");
        prop_assert_eq!(check(&fleet, &store.history()), Ok(()));
    }
}
