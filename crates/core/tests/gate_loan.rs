//! Loans of slots between entry hosts.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use rhubarbrill_core::gate::{
    Gate, Loan, Members, Options, Outcome, Status, Ticket, Usage,
};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::time::Instant;
use support::{Fixture, at, submission};

const SLOTS: u32 = 4;

/// Three entry hosts that serve one fleet.
struct Cluster {
    fixture: Fixture,
    gates: Vec<Gate>,
    members: Vec<Member>,
    running: Vec<Vec<Ticket>>,
}

impl Cluster {
    fn new() -> Self {
        let fixture = Fixture::new(3, SLOTS, &[(1, 1_000)]);
        let member = |index| Member {
            entry: format!("e{index}"),
            zone: format!("z{index}"),
            incarnation: 1,
        };
        let members: Vec<Member> = (0..3).map(member).collect();
        let gate = |this: &Member| {
            let mut gate = Gate::new(Options::default());
            gate.reconfigure(&fixture.fleet, &fixture.placement, at(0));
            let (this, live) = (this.clone(), members.clone());
            gate.set_members(Members { this, live });
            gate.holder_mut().set_floor(fixture.workspaces[0], 1_000);
            gate
        };
        Self {
            gates: members.iter().map(gate).collect(),
            running: vec![Vec::new(); 3],
            members,
            fixture,
        }
    }

    fn submit(&mut self, now: Instant, gate: usize, count: usize) {
        let submission = submission(&self.fixture, 0, now + Duration::from_secs(60));
        for _ in 0..count {
            self.gates[gate].submit(now, submission).unwrap();
        }
    }

    fn start_all(&mut self, now: Instant) {
        for (gate, running) in self.gates.iter_mut().zip(&mut self.running) {
            let starts = std::iter::from_fn(|| gate.next_start(now));
            running.extend(starts.map(|start| start.ticket));
        }
    }

    fn finish(&mut self, now: Instant, gate: usize, count: usize) {
        let count = count.min(self.running[gate].len());
        for ticket in self.running[gate].drain(..count) {
            self.gates[gate].finish(now, ticket, Outcome::Cancelled);
        }
    }

    /// Sends a usage report and loans to the entry hosts to which delivery succeeds.
    fn report(&mut self, now: Instant, from: usize, delivered: [bool; 3]) {
        let usage: Vec<Usage> = self.gates[from].usage();
        let loans: Vec<Loan> = self.gates[from].lend(now);
        for to in (0..3).filter(|&to| to != from && delivered[to]) {
            let name = &self.members[to].entry;
            let mine = loans.iter().filter(|loan| loan.to == *name);
            let mine: Vec<Loan> = mine.cloned().collect();
            let from = &self.members[from].entry;
            self.gates[to].apply_usage_report(now, from, usage.clone());
            self.gates[to].borrow(now, &mine);
        }
    }

    /// Returns the slots of each endpoint, summed over all entry hosts.
    fn slots(&self) -> Vec<u32> {
        let of_host = |host| self.gates.iter().map(|gate| gate.units(host)).sum();
        self.fixture.hosts().into_iter().map(of_host).collect()
    }
}

#[test]
fn a_busy_entry_host_borrows_free_slots_for_a_term() {
    let mut cluster = Cluster::new();
    cluster.submit(at(0), 0, 20);
    cluster.start_all(at(0));
    assert_eq!(cluster.running[0].len(), 4, "its part of the division");
    (0..3).for_each(|from| cluster.report(at(0), from, [true; 3]));
    cluster.start_all(at(0));
    assert_eq!(
        cluster.running[0].len(),
        10,
        "each lender keeps one free slot"
    );
    assert_eq!(cluster.slots(), [SLOTS; 3]);
    cluster.finish(at(2_000), 0, 10);
    cluster.start_all(at(2_000));
    assert_eq!(cluster.running[0].len(), 4, "the loans have ended");
    cluster.start_all(at(9_000));
    assert_eq!(cluster.slots(), [SLOTS; 3]);
}

/// Guards against slots that neither entry host uses: a lender that serves no requests
/// itself knew no run time and kept lent slots idle for two seconds after each loan.
#[test]
fn lent_slots_return_by_the_run_time_of_the_borrower() {
    const RUN_TIME_MS: u64 = 150;
    let mut cluster = Cluster::new();
    cluster.submit(at(0), 0, 200);
    for round in 0..30 {
        let now = at(round * RUN_TIME_MS);
        for ticket in std::mem::take(&mut cluster.running[0]) {
            let latency = Duration::from_millis(RUN_TIME_MS);
            let status = Status::Success;
            let answered = Outcome::Answered { status, latency };
            cluster.gates[0].finish(now, ticket, answered);
        }
        cluster.start_all(now);
    }
    let lent_at = 30 * RUN_TIME_MS;
    (0..3).for_each(|from| cluster.report(at(lent_at), from, [true; 3]));
    let lender = |cluster: &Cluster| -> u32 {
        let hosts = cluster.fixture.hosts();
        hosts.iter().map(|&host| cluster.gates[1].units(host)).sum()
    };
    assert_eq!(lender(&cluster), 1, "the lender keeps one slot");
    let returned = at(lent_at + 1_250 + 3 * RUN_TIME_MS);
    cluster.start_all(returned);
    assert_eq!(lender(&cluster), SLOTS, "the slots are back");
}

/// Counts the slots in use if the lender kept using the slots that it lent.
#[test]
fn lending_without_giving_up_slots_oversubscribes() {
    let mut cluster = Cluster::new();
    cluster.submit(at(0), 0, 20);
    cluster.start_all(at(0));
    cluster.report(at(0), 0, [true; 3]);
    let before: u32 = cluster
        .fixture
        .hosts()
        .iter()
        .map(|&host| cluster.gates[1].units(host))
        .sum();
    let loans = cluster.gates[1].lend(at(0));
    cluster.gates[0].borrow(at(0), &loans);
    let after: u32 = cluster
        .fixture
        .hosts()
        .iter()
        .map(|&host| cluster.gates[1].units(host))
        .sum();
    let naive: u32 = cluster.slots().iter().sum::<u32>() + before - after;
    assert!(naive > 3 * SLOTS);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    #[test]
    fn loans_never_oversubscribe_an_endpoint(
        steps in prop::collection::vec(
            (0..3_usize, 0..8_usize, 0..8_usize, any::<[bool; 3]>(), 0..700_u64),
            1..60,
        ),
    ) {
        let mut cluster = Cluster::new();
        let mut now = at(0);
        for (gate, submitted, finished, delivered, pause) in steps {
            cluster.submit(now, gate, submitted);
            cluster.finish(now, (gate + 1) % 3, finished);
            cluster.report(now, gate, delivered);
            cluster.start_all(now);
            prop_assert!(cluster.slots().iter().all(|&slots| slots <= SLOTS));
            for gate in &cluster.gates {
                let row = gate.usage().first().map_or(0, |row| row.running);
                prop_assert!(row <= 3 * SLOTS);
            }
            now = now + Duration::from_millis(pause);
        }
        now = now + Duration::from_secs(10);
        cluster.start_all(now);
        prop_assert_eq!(cluster.slots(), vec![SLOTS; 3], "a slot was lost");
    }
}
