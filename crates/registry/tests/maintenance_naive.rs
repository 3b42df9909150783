//! Compares the maintenance ledger with simpler designs, and shows the races that make
//! them violate the disruption budget or lose a host.

#[path = "../../core/tests/maintenance_support/mod.rs"]
mod fleets;

use fleets::{budget, command, fleet};
use rhubarbrill_core::maintenance::Command;
use rhubarbrill_edge::store::{Expect, Memory, Store, Swap, Swapped};
use rhubarbrill_registry::maintenance::{self, Written};
use rstest::rstest;

const POOL_HOSTS: [&str; 3] = ["p0-h0", "p0-h1", "p0-h2"];
const MAX_OUT: usize = 1;

/// A planner's procedure to take a host out of service, in two steps between which
/// another planner may act.
trait DrainProcedure {
    /// Reads the store and decides whether the host may be taken out.
    fn decide(&mut self, store: &Memory, host: &str);
    /// Writes the decision.
    fn write(&mut self, store: &Memory);
    /// Returns the number of hosts of the pool that are out.
    fn hosts_out(store: &Memory) -> usize;
}

/// One record per host; the budget is checked before the swap, not atomically with it.
#[derive(Default)]
struct HostRecords(Option<Swap>);

impl DrainProcedure for HostRecords {
    fn decide(&mut self, store: &Memory, host: &str) {
        self.0 =
            (Self::hosts_out(store) < MAX_OUT).then(|| put(&format!("out/{host}"), host));
    }

    fn write(&mut self, store: &Memory) {
        let swapped = self
            .0
            .take()
            .map(|swap| store.swap(swap).expect("store responds"));
        assert!(!matches!(swapped, Some(Swapped::Conflict(_))));
    }

    fn hosts_out(store: &Memory) -> usize {
        store.list("out/").expect("store responds").entries.len()
    }
}

/// One ledger for all hosts, changed through [`maintenance::change`].
#[derive(Default)]
struct OneLedger(Option<(u64, Command)>);

impl DrainProcedure for OneLedger {
    fn decide(&mut self, store: &Memory, host: &str) {
        let ledger = maintenance::read(store).expect("store responds");
        let drain = command(&format!("move:{host}:p1"));
        self.0 = Some((ledger.generation(), drain));
    }

    fn write(&mut self, store: &Memory) {
        let fleet = fleet(2, POOL_HOSTS.len(), 3, budget(1, 1, 1));
        let (seen, drain) = self.0.take().expect("decide() ran before write()");
        let outcome = maintenance::change(store, [], &fleet, seen, &[drain]);
        let written = outcome.expect("store responds").written;
        assert!(!matches!(written, Written::Unknown(_)));
    }

    fn hosts_out(store: &Memory) -> usize {
        maintenance::read(store)
            .expect("store responds")
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

/// Lets every planner decide on its own host before any of them writes; returns the
/// number of hosts out.
fn race<W: Default + DrainProcedure>(planners: usize) -> usize {
    let store = Memory::new();
    let mut procedures: Vec<W> = (0..planners).map(|_| W::default()).collect();
    for (procedure, host) in procedures.iter_mut().zip(POOL_HOSTS) {
        procedure.decide(&store, host);
    }
    for procedure in &mut procedures {
        procedure.write(&store);
    }
    W::hosts_out(&store)
}

#[rstest]
#[case::host_records(race::<HostRecords>, 1, 1)]
#[case::host_records_of_two(race::<HostRecords>, 2, 2)]
#[case::host_records_of_three(race::<HostRecords>, 3, 3)]
#[case::one_ledger(race::<OneLedger>, 1, 1)]
#[case::one_ledger_of_two(race::<OneLedger>, 2, 1)]
#[case::one_ledger_of_three(race::<OneLedger>, 3, 1)]
fn hosts_out_with_a_budget_of_one(
    #[case] race: fn(usize) -> usize,
    #[case] planners: usize,
    #[case] out: usize,
) {
    assert_eq!(race(planners), out);
}

/// With one list of hosts per pool, a move takes two writes. A planner that stops between
/// them, or whose second write is lost, leaves the host in both pools or in none.
#[rstest]
#[case::added_first(true, 2)]
#[case::removed_first(false, 0)]
fn pool_lists_are_inconsistent_between_two_writes(
    #[case] added_first: bool,
    #[case] pools: usize,
) {
    let store = Memory::new();
    store.swap(put("pool/p0/h0", "h0")).expect("store responds");
    let version = store
        .get("pool/p0/h0")
        .expect("store responds")
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
    store.swap(first).expect("store responds");
    let lists = store.list("pool/").expect("store responds");
    assert_eq!(lists.entries.len(), pools);
}

/// The ledger moves a host in a single write: before it the host is in one pool, after it
/// in the other.
#[test]
fn ledger_moves_a_host_in_one_write() {
    let fleet = fleet(2, POOL_HOSTS.len(), 3, budget(1, 1, 1));
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
            .expect("store responds")
            .generation();
        let outcome = maintenance::change(&store, [], &fleet, seen, &[command(text)]);
        assert!(
            matches!(outcome.map(|a| a.written), Ok(Written::Ledger(_))),
            "{text}"
        );
        let ledger = maintenance::read(&store).expect("store responds");
        let pool = ledger
            .placement(&fleet)
            .get(key)
            .expect("the host is placed in a pool")
            .pool;
        pools.push(fleet.pools.name(pool).unwrap_or_default());
    }
    assert_eq!(pools, ["p0", "p0", "p1", "p1", "p1"]);
}
