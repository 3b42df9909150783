//! Entry hosts that move units through a store, which fails and loses answers.

#[path = "support/flaky.rs"]
mod flaky;

use std::collections::BTreeSet;
use std::time::Duration;

use flaky::{Flaky, State};
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

struct Site {
    holder: Holder,
    fleet: Fleet,
    demand: Demand,
    membership: Membership,
    now: Instant,
}

impl HolderAccess for Site {
    fn with_holder<R>(
        &mut self,
        visit: impl FnOnce(&mut Holder, PlanInput<'_>) -> R,
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
        visit(&mut self.holder, input)
    }
}

struct Process {
    client: AllowanceClient,
    site: Site,
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
            site: Site {
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

    /// Steps a second later, with so many requests waiting for each workspace.
    fn step(&mut self, store: &Flaky, waiting: u32) -> Report {
        self.site.now = self.site.now + Duration::from_secs(1);
        if store.is(State::Up) {
            let valid_for = Duration::from_millis(2_500);
            let lease = Lease {
                id: 1,
                renewed: self.site.now,
                valid_for,
            };
            self.site.holder.set_lease(lease, self.site.now);
        }
        for (key, _, _) in self.site.fleet.workspaces.iter() {
            self.site.demand.set(key, waiting);
        }
        self.client.step(store, &mut self.site)
    }

    fn usable(&self) -> [u32; 3] {
        WORKSPACES.map(|name| {
            let key = self.site.fleet.workspaces.find(name).unwrap();
            self.site.holder.usable_units(key, self.site.now)
        })
    }
}

fn steps(processes: &mut [Process], store: &Flaky, waiting: &[u32], times: usize) {
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
fn units_follow_a_burst_and_come_back() {
    let store = Flaky::default();
    let mut processes = [Process::new(0, 2), Process::new(1, 2)];
    steps(&mut processes, &store, &[0, 0], 3);
    assert_eq!([processes[0].usable(), processes[1].usable()], [[3; 3]; 2]);
    steps(&mut processes, &store, &[20, 0], 6);
    assert_eq!(
        [processes[0].usable(), processes[1].usable()],
        [[9; 3], [3; 3]]
    );
    steps(&mut processes, &store, &[0, 20], 9);
    assert_eq!(
        [processes[0].usable(), processes[1].usable()],
        [[3; 3], [9; 3]]
    );
}

#[test]
fn an_outage_costs_loans_and_no_floor() {
    let store = Flaky::default();
    let mut processes = [Process::new(0, 2), Process::new(1, 2)];
    steps(&mut processes, &store, &[20, 0], 6);
    store.set(State::Down);
    steps(&mut processes, &store, &[20, 20], 3);
    let report = processes[0].step(&store, 0);
    assert!(report.swaps == 0 && report.unknown == 0);
    assert_eq!([processes[0].usable(), processes[1].usable()], [[3; 3]; 2]);
    store.set(State::Up);
    steps(&mut processes, &store, &[20, 0], 12);
    assert_eq!(processes[0].usable(), [9; 3]);
}

#[rstest]
#[case::a_raise_isnt_added(0, 20, [3, 3])]
#[case::a_lowering_stays_deducted(20, 0, [9, 3])]
fn a_lost_answer_never_adds(
    #[case] before: u32,
    #[case] after: u32,
    #[case] most: [u32; 2],
) {
    let store = Flaky::default();
    let mut processes = [Process::new(0, 2), Process::new(1, 2)];
    steps(&mut processes, &store, &[before, 0], 6);
    store.set(State::LosesAnswers);
    let report = (0..4).map(|_| processes[0].step(&store, after));
    assert!(report.into_iter().any(|report| report.unknown > 0));
    let lost = processes[0].usable();
    assert!(lost.iter().all(|&units| units <= most[0]), "{lost:?}");
    store.set(State::Up);
    steps(&mut processes, &store, &[after, 0], 12);
    let settled = if after > 0 { 9 } else { 3 };
    assert_eq!(processes[0].usable(), [settled; 3]);
}

#[test]
fn racing_entry_hosts_keep_the_sum() {
    let store = Flaky::default();
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
            record::read(&store.store, &key(shard))
                .unwrap()
                .unwrap()
                .value;
        assert!(ledger.held(name) <= LIMIT && ledger.held(name) >= LIMIT / 2);
    }
}
