//! The maintenance ledger record under lost responses, stale reads, races and suspended
//! senders.

#[path = "../../core/tests/maintenance_support/mod.rs"]
mod fleets;
mod maintenance_support;

use std::sync::Arc;

use fleets::{budget, command, fleet};
use maintenance_support::{
    Fault, FaultyStore, RETRY_DELAYS, before_next_swap, check_invariants,
};
use proptest::prelude::*;
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Command, Decision, Ledger, Phase, Refusal, Step};
use rhubarbrill_core::wave::{Estimate, Planner};
use rhubarbrill_registry::maintenance::{self, ChangeOutcome, Written};
use rstest::rstest;

fn send(store: &FaultyStore, fleet: &Fleet, seen: u64, script: &str) -> ChangeOutcome {
    let commands: Vec<_> = script.split_whitespace().map(command).collect();
    maintenance::change(store, RETRY_DELAYS, fleet, seen, &commands)
        .expect("store responds")
}

/// Applies each command of `script` in its own swap, and asserts that it takes effect.
fn apply_all(store: &FaultyStore, fleet: &Fleet, script: &str) {
    for text in script.split_whitespace() {
        let seen = maintenance::read(store)
            .expect("store responds")
            .generation();
        let outcome = send(store, fleet, seen, text);
        assert!(
            matches!(outcome.written, Written::Ledger(_)),
            "{text} {outcome:?}"
        );
    }
}

/// A drain command must take effect exactly once in spite of store faults.
#[rstest]
#[case::no_fault(&[], &[])]
#[case::response_lost(&[], &[Fault::LostResponse])]
#[case::two_responses_lost(&[], &[Fault::LostResponse, Fault::LostResponse])]
#[case::request_lost(&[], &[Fault::LostRequest])]
#[case::down(&[Fault::Down], &[Fault::Down, Fault::Down])]
#[case::lost_then_down(&[], &[Fault::LostResponse, Fault::Down])]
#[case::stale_read(&[Fault::StaleRead], &[])]
#[case::stale_read_and_lost(&[Fault::StaleRead], &[Fault::None, Fault::LostResponse])]
fn command_takes_effect_exactly_once(#[case] reads: &[Fault], #[case] swaps: &[Fault]) {
    let fleet = fleet(1, 6, 3, budget(2, 2, 1));
    let store = FaultyStore::new();
    apply_all(&store, &fleet, "wave:w:p0 failed:p0-h1 recovered:p0-h1");
    store.inject(reads, swaps);
    let outcome = send(&store, &fleet, 2, "drain:p0-h0:w");
    assert!(matches!(outcome.written, Written::Ledger(_)), "{outcome:?}");
    assert_eq!(outcome.decisions, [Ok(Decision::Changed(4))]);
    assert_eq!(store.history().len(), 4);
    assert_eq!(check_invariants(&fleet, &store.history()), Ok(()));
}

#[test]
fn command_with_unknown_outcome_can_be_resent() {
    let fleet = fleet(1, 6, 3, budget(1, 1, 1));
    let store = FaultyStore::new();
    apply_all(&store, &fleet, "wave:w:p0");
    store.inject(
        &[],
        &[&[Fault::LostResponse], &[Fault::LostRequest; 6][..]].concat(),
    );
    let outcome = send(&store, &fleet, 1, "drain:p0-h0:w");
    assert!(
        matches!(outcome.written, Written::Unknown(_)),
        "{outcome:?}"
    );
    let outcome = send(&store, &fleet, 1, "drain:p0-h0:w");
    assert_eq!(outcome.decisions, [Ok(Decision::Unchanged)]);
    assert_eq!(store.history().len(), 2);
}

/// Another planner changes the ledger between our planner's read and its swap, so our
/// command is decided on the changed ledger.
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
    #[case] other_command: &'static str,
    #[case] our_command: &str,
    #[case] expected: Result<Decision, Refusal>,
) {
    let fleet = fleet(2, 6, 3, budget(1, 1, 1));
    let store = Arc::new(FaultyStore::new());
    apply_all(&store, &fleet, "wave:w:p0");
    let (other_store, other_fleet) = (Arc::clone(&store), fleet.clone());
    before_next_swap(move || {
        send(&other_store, &other_fleet, 1, other_command);
    });
    let outcome = send(&store, &fleet, 1, our_command);
    assert_eq!(outcome.decisions, [expected]);
    assert_eq!(check_invariants(&fleet, &store.history()), Ok(()));
}

/// A planner was suspended before it sent its command, while other planners changed the
/// same host. The stale command must be refused.
#[rstest]
#[case::move_was_cancelled("move:p0-h0:p1", "move:p0-h0:p1 cancel:p0-h0 serve:p0-h0")]
#[case::move_was_restarted(
    "to:p0-h0:p1",
    "move:p0-h0:p1 cancel:p0-h0 serve:p0-h0 move:p0-h0:p1 drained:p0-h0"
)]
#[case::drain_was_cancelled(
    "reboot:p0-h0",
    "drain:p0-h0:w drained:p0-h0 cancel:p0-h0 serve:p0-h0"
)]
fn stale_command_of_a_resumed_planner_is_refused(
    #[case] pending: &str,
    #[case] intervening: &str,
) {
    let fleet = fleet(2, 6, 3, budget(1, 1, 1));
    let store = FaultyStore::new();
    apply_all(&store, &fleet, &format!("wave:w:p0 {intervening}"));
    let before = store.history().len();
    let outcome = send(&store, &fleet, 1, pending);
    let is_stale =
        |outcome: &Result<_, _>| matches!(outcome, Err(Refusal::StaleGeneration { .. }));
    assert!(outcome.decisions.iter().all(is_stale), "{outcome:?}");
    assert_eq!(store.history().len(), before);
}

/// An event in a history with two planners.
#[derive(Clone, Debug)]
enum Event {
    /// A planner reads the ledger and makes a plan, which it sends later.
    Plan { planner: usize, read: Fault },
    /// A planner sends the commands of its last plan, however old.
    Send { planner: usize, swap: Fault },
    /// Every host completes its current maintenance step.
    Advance,
    /// A single host fails.
    Fail { host: usize },
    /// All hosts of one rack fail.
    FailRack,
}

fn event() -> impl Strategy<Value = Event> {
    let read = prop_oneof![4 => Just(Fault::None), 1 => Just(Fault::StaleRead)];
    let swap = prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::LostResponse),
        1 => Just(Fault::LostRequest),
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

fn rack_failures(fleet: &Fleet) -> Vec<Command> {
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

    /// Two planners, each of which may be suspended for any time between planning and
    /// sending, use a store with lost responses and stale reads while hosts and a rack
    /// fail. Afterwards the lent host, which counts against the budget of its own pool,
    /// returns to that pool and the waves finish.
    #[test]
    fn budgets_and_pools_hold_at_every_revision(
        events in prop::collection::vec(event(), 20..150),
    ) {
        let fleet = fleet(2, 12, 3, budget(2, 2, 1));
        let store = FaultyStore::new();
        apply_all(&store, &fleet, "wave:v:p1 wave:w:p0 move:s0:p0 move:p0-h1:p1");
        let mut pending: [(u64, Vec<Command>); 2] = Default::default();
        let change = |seen, commands: &[Command]| {
            maintenance::change(&store, RETRY_DELAYS, &fleet, seen, commands)
        };
        for event in events {
            match event {
                Event::Plan { planner, read } => {
                    store.inject(&[read], &[]);
                    if let Ok(ledger) = maintenance::read(&store) {
                        let plan = Planner.next(&ledger, &fleet, &Estimate::default());
                        pending[planner] = (ledger.generation(), plan);
                    }
                }
                Event::Send { planner, swap } => {
                    store.inject(&[], &[swap]);
                    let (seen, commands) = &pending[planner];
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
                    let _ = change(seen, &rack_failures(&fleet));
                }
            }
            store.clear_faults();
        }
        prop_assert_eq!(check_invariants(&fleet, &store.history()), Ok(()));
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
        prop_assert_eq!(check_invariants(&fleet, &store.history()), Ok(()));
    }
}
