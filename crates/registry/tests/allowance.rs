//! Entry hosts that exchange allowance units through a store that fails and loses
//! responses.

#[path = "support/flaky.rs"]
mod flaky;

use std::collections::BTreeSet;
use std::time::Duration;

use flaky::{FlakyStore, StoreState};
use rhubarbrill_core::allowance::{
    Allocator, AllowanceSettings, Demand, Holder, Lease, Membership, PlanInput, Shard,
};
use rhubarbrill_core::fleet::{DisconnectedPolicy, Fleet, Workspace};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::time::Instant;
use rhubarbrill_edge::record;
use rhubarbrill_registry::allowance::{AllowanceClient, HolderAccess, Report, key};
use rstest::rstest;

const WORKSPACES: [&str; 3] = ["quotes", "orders", "reports"];
const LIMIT: u32 = 12;

struct HolderState {
    holder: Holder,
    fleet: Fleet,
    demand: Demand,
    membership: Membership,
    now: Instant,
}

impl HolderAccess for HolderState {
    fn with_holder<R>(
        &mut self,
        operation: impl FnOnce(&mut Holder, PlanInput<'_>) -> R,
    ) -> R {
        let Self {
            fleet,
            demand,
            membership,
            now,
            ..
        } = self;
        let input = PlanInput {
            fleet,
            demand,
            membership,
            now: *now,
        };
        operation(&mut self.holder, input)
    }
}

struct Process {
    client: AllowanceClient,
    state: HolderState,
}

impl Process {
    fn new(entry: u64, entries: u64) -> Self {
        let member = |entry: u64| Member {
            entry: format!("e{entry}"),
            zone: "z1".into(),
            incarnation: entry + 1,
        };
        let mut fleet = Fleet {
            revision: 1,
            ..Fleet::default()
        };
        for name in WORKSPACES {
            let when_disconnected = DisconnectedPolicy::Serve;
            fleet.workspaces.upsert(
                name,
                Workspace {
                    share: 1,
                    limit: LIMIT,
                    when_disconnected,
                },
            );
        }
        let members: BTreeSet<Member> = (0..entries).map(member).collect();
        let settings = AllowanceSettings::default().hold_time(Duration::from_secs(2));
        Self {
            client: AllowanceClient::new(Allocator::new(member(entry), settings)),
            state: HolderState {
                holder: Holder::default(),
                fleet,
                demand: Demand::default(),
                membership: Membership {
                    revision: 1,
                    members,
                },
                now: Instant::ZERO,
            },
        }
    }

    /// Advances the clock by one second and runs a step, with `waiting` queued requests
    /// per workspace.
    fn step(&mut self, store: &FlakyStore, waiting: u32) -> Report {
        self.state.now = self.state.now + Duration::from_secs(1);
        if store.is(StoreState::Up) {
            let valid_for = Duration::from_millis(2_500);
            let lease = Lease {
                id: 1,
                renewed: self.state.now,
                valid_for,
            };
            self.state.holder.set_lease(lease, self.state.now);
        }
        for (key, _, _) in self.state.fleet.workspaces.iter() {
            self.state.demand.set(key, waiting);
        }
        self.client.step(store, &mut self.state)
    }

    fn usable(&self) -> [u32; 3] {
        WORKSPACES.map(|name| {
            let key = self.state.fleet.workspaces.find(name).unwrap();
            self.state.holder.usable_units(key, self.state.now)
        })
    }
}

fn step_all(
    processes: &mut [Process],
    store: &FlakyStore,
    waiting: &[u32],
    times: usize,
) {
    for _ in 0..times {
        for (process, &waiting) in processes.iter_mut().zip(waiting) {
            process.step(store, waiting);
        }
        let sum = |workspace: usize| {
            processes.iter().map(|p| p.usable()[workspace]).sum::<u32>()
        };
        assert!((0..3).all(|workspace| sum(workspace) <= LIMIT));
    }
}

#[test]
fn units_move_to_the_busy_host_and_return() {
    let store = FlakyStore::default();
    let mut processes = [Process::new(0, 2), Process::new(1, 2)];
    step_all(&mut processes, &store, &[0, 0], 3);
    assert_eq!([processes[0].usable(), processes[1].usable()], [[3; 3]; 2]);
    step_all(&mut processes, &store, &[20, 0], 6);
    assert_eq!(
        [processes[0].usable(), processes[1].usable()],
        [[9; 3], [3; 3]]
    );
    step_all(&mut processes, &store, &[0, 20], 9);
    assert_eq!(
        [processes[0].usable(), processes[1].usable()],
        [[3; 3], [9; 3]]
    );
}

#[test]
fn outage_ends_loans_but_keeps_the_floor() {
    let store = FlakyStore::default();
    let mut processes = [Process::new(0, 2), Process::new(1, 2)];
    step_all(&mut processes, &store, &[20, 0], 6);
    store.set(StoreState::Down);
    step_all(&mut processes, &store, &[20, 20], 3);
    let report = processes[0].step(&store, 0);
    assert!(report.swaps == 0 && report.unknown == 0);
    assert_eq!([processes[0].usable(), processes[1].usable()], [[3; 3]; 2]);
    store.set(StoreState::Up);
    step_all(&mut processes, &store, &[20, 0], 12);
    assert_eq!(processes[0].usable(), [9; 3]);
}

#[rstest]
#[case::increase_is_not_counted(0, 20, [3, 3])]
#[case::decrease_stays_deducted(20, 0, [9, 3])]
fn lost_response_never_adds_units(
    #[case] before: u32,
    #[case] after: u32,
    #[case] max_usable: [u32; 2],
) {
    let store = FlakyStore::default();
    let mut processes = [Process::new(0, 2), Process::new(1, 2)];
    step_all(&mut processes, &store, &[before, 0], 6);
    store.set(StoreState::LosesResponses);
    let report = (0..4).map(|_| processes[0].step(&store, after));
    assert!(report.into_iter().any(|report| report.unknown > 0));
    let usable_after_loss = processes[0].usable();
    assert!(
        usable_after_loss
            .iter()
            .all(|&units| units <= max_usable[0]),
        "{usable_after_loss:?}"
    );
    store.set(StoreState::Up);
    step_all(&mut processes, &store, &[after, 0], 12);
    let expected = if after > 0 { 9 } else { 3 };
    assert_eq!(processes[0].usable(), [expected; 3]);
}

#[test]
fn concurrent_entry_hosts_stay_within_the_limit() {
    let store = FlakyStore::default();
    std::thread::scope(|scope| {
        for entry in 0..8 {
            let store = &store;
            scope.spawn(move || {
                let mut process = Process::new(entry, 8);
                for round in 0..40 {
                    process
                        .step(store, (round / 5 + u32::try_from(entry).unwrap()) % 4 * 4);
                }
            });
        }
    });
    for name in WORKSPACES {
        let shard = Shard::of(name);
        let ledger: rhubarbrill_core::allowance::Ledger =
            record::read(&store.inner, &key(shard))
                .unwrap()
                .unwrap()
                .value;
        assert!(ledger.held(name) <= LIMIT && ledger.held(name) >= LIMIT / 2);
    }
}
