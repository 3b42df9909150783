//! What goes wrong without one ledger and one swap: simpler ways, kept to be seen.

#[path = "../../core/tests/maintenance_support/mod.rs"]
mod fleets;

use fleets::{budget, command, fleet};
use rhubarbrill_core::maintenance::Command;
use rhubarbrill_edge::store::{Expect, Memory, Store, Swap, Swapped};
use rhubarbrill_registry::maintenance::{self, Written};
use rstest::rstest;

const POOL: [&str; 3] = ["p0-h0", "p0-h1", "p0-h2"];
const MAX_OUT: usize = 1;

/// A planner's way to take a host out, cut where another planner may come between.
trait Way {
    /// Reads what the decision needs, and decides.
    fn decide(&mut self, store: &Memory, host: &str);
    /// Writes what was decided.
    fn write(&mut self, store: &Memory);
    /// Returns how many hosts of the pool are out.
    fn out(store: &Memory) -> usize;
}

/// A record for each host, and the budget checked before the swap.
#[derive(Default)]
struct HostRecords(Option<Swap>);

impl Way for HostRecords {
    fn decide(&mut self, store: &Memory, host: &str) {
        self.0 = (Self::out(store) < MAX_OUT).then(|| put(&format!("out/{host}"), host));
    }

    fn write(&mut self, store: &Memory) {
        let swapped = self
            .0
            .take()
            .map(|swap| store.swap(swap).expect("store answers"));
        assert!(!matches!(swapped, Some(Swapped::Conflict(_))));
    }

    fn out(store: &Memory) -> usize {
        store.list("out/").expect("store answers").entries.len()
    }
}

/// The ledger, through its registry.
#[derive(Default)]
struct OneLedger(Option<(u64, Command)>);

impl Way for OneLedger {
    fn decide(&mut self, store: &Memory, host: &str) {
        let ledger = maintenance::read(store).expect("store answers");
        let drain = command(&format!("move:{host}:p1"));
        self.0 = Some((ledger.generation(), drain));
    }

    fn write(&mut self, store: &Memory) {
        let fleet = fleet(2, POOL.len(), 3, budget(1, 1, 1));
        let (seen, drain) = self.0.take().expect("decided before");
        let answer = maintenance::change(store, [], &fleet, seen, &[drain]);
        let written = answer.expect("store answers").written;
        assert!(!matches!(written, Written::Unknown(_)));
    }

    fn out(store: &Memory) -> usize {
        maintenance::read(store)
            .expect("store answers")
            .records()
            .count()
    }
}

fn put(key: &str, value: &str) -> Swap {
    Swap {
        key: key.to_owned(),
        expect: Expect::Absent,
        value: Some(value.as_bytes().to_vec()),
        lease: None,
    }
}

/// Each planner decides on its host, then each writes.
fn race<W: Default + Way>(planners: usize) -> usize {
    let store = Memory::new();
    let mut ways: Vec<W> = (0..planners).map(|_| W::default()).collect();
    for (way, host) in ways.iter_mut().zip(POOL) {
        way.decide(&store, host);
    }
    for way in &mut ways {
        way.write(&store);
    }
    W::out(&store)
}

#[rstest]
#[case::host_records(race::<HostRecords>, 1, 1)]
#[case::host_records_of_two(race::<HostRecords>, 2, 2)]
#[case::host_records_of_three(race::<HostRecords>, 3, 3)]
#[case::one_ledger(race::<OneLedger>, 1, 1)]
#[case::one_ledger_of_two(race::<OneLedger>, 2, 1)]
#[case::one_ledger_of_three(race::<OneLedger>, 3, 1)]
fn hosts_out_under_a_budget_of_one(
    #[case] race: fn(usize) -> usize,
    #[case] planners: usize,
    #[case] out: usize,
) {
    assert_eq!(race(planners), out);
}

/// A list of hosts for each pool needs two writes for a move; a planner that stops between
/// them, or whose second write is lost, leaves the host in both pools or in none.
#[rstest]
#[case::added_first(true, 2)]
#[case::removed_first(false, 0)]
fn pool_lists_break_between_two_writes(#[case] added_first: bool, #[case] pools: usize) {
    let store = Memory::new();
    store.swap(put("pool/p0/h0", "h0")).expect("store answers");
    let version = store
        .get("pool/p0/h0")
        .expect("store answers")
        .map(|e| e.version);
    let remove = Swap {
        expect: Expect::Version(version.expect("host is listed")),
        value: None,
        ..put("pool/p0/h0", "")
    };
    let first = if added_first {
        put("pool/p1/h0", "h0")
    } else {
        remove
    };
    store.swap(first).expect("store answers");
    let lists = store.list("pool/").expect("store answers");
    assert_eq!(lists.entries.len(), pools);
}

/// The ledger's move is one write: before it the host is in one pool, after it in the other.
#[test]
fn ledger_moves_in_one_write() {
    let fleet = fleet(2, POOL.len(), 3, budget(1, 1, 1));
    let store = Memory::new();
    let key = fleets::key(&fleet, "p0-h0");
    let mut pools = Vec::new();
    for text in [
        "move:p0-h0:p1",
        "drained:p0-h0",
        "to:p0-h0:p1",
        "returned:p0-h0",
        "serve:p0-h0",
    ] {
        let seen = maintenance::read(&store)
            .expect("store answers")
            .generation();
        let answer = maintenance::change(&store, [], &fleet, seen, &[command(text)]);
        assert!(
            matches!(answer.map(|a| a.written), Ok(Written::Ledger(_))),
            "{text}"
        );
        let ledger = maintenance::read(&store).expect("store answers");
        let pool = ledger.placement(&fleet).get(key).expect("placed").pool;
        pools.push(fleet.pools.name(pool).unwrap_or_default());
    }
    assert_eq!(pools, ["p0", "p0", "p1", "p1", "p1"]);
}
