//! Policy of spare hosts: sustained demand moves a host, bursts don't.

mod maintenance_support;

use maintenance_support::{budget, command, fleet, run};
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Command, Ledger, Reason};
use rhubarbrill_core::spare::{Demand, MoveCost, Policy};
use rhubarbrill_core::time::Instant;
use rstest::rstest;

const SLOTS: u32 = 32;
const LENT: &str = "move:s0:p0 drained:s0 to:s0:p0 returned:s0 serve:s0";

/// Load of one pool: `requests` requests are there during the first `busy_secs` of every
/// `cycle_secs`.
#[derive(Clone, Copy)]
struct Load {
    requests: u32,
    busy_secs: u64,
    cycle_secs: u64,
}

impl Load {
    const NONE: Self = Self::steady(0);

    const fn steady(requests: u32) -> Self {
        Self {
            requests,
            busy_secs: 1,
            cycle_secs: 1,
        }
    }

    fn at(self, secs: u64) -> u32 {
        let busy = secs % self.cycle_secs < self.busy_secs;
        if busy { self.requests } else { 0 }
    }
}

/// Feeds the policy `secs` seconds of each pool's load and returns its moves as
/// `host:pool`.
fn moves(ledger: &Ledger, fleet: &Fleet, loads: [Load; 2], secs: u64) -> Vec<String> {
    let mut policy = Policy::new(MoveCost::default());
    for now in 0..secs {
        for (index, load) in loads.iter().enumerate() {
            let pool = fleet.pools.find(&format!("p{index}")).expect("declared");
            let borrowed = u32::from(index == 0 && ledger.record("s0").is_some());
            let slots = SLOTS + borrowed * 8;
            let demand = Demand {
                running: load.at(now).min(slots),
                waiting: load.at(now).saturating_sub(slots),
                slots,
                borrowed,
            };
            policy.observe(Instant::from_millis(now * 1_000), pool, demand);
        }
    }
    let target = |command: &Command| match command {
        Command::BeginDrain {
            host,
            reason: Reason::Move { to },
        } => format!("{host}:{to}"),
        other => panic!("unexpected command: {other:?}"),
    };
    policy.next(ledger, fleet).iter().map(target).collect()
}

#[rstest]
#[case::quiet("", [Load::steady(20), Load::NONE], 3_600, &[])]
#[case::one_burst("", [Load { requests: 160, busy_secs: 20, cycle_secs: 3_600 }, Load::NONE], 30, &[])]
#[case::recurring_bursts("", [Load { requests: 160, busy_secs: 20, cycle_secs: 100 }, Load::NONE], 3_600, &[])]
#[case::sustained("", [Load::steady(40), Load::NONE], 600, &["s0:p0"])]
#[case::too_short("", [Load::steady(40), Load::NONE], 200, &[])]
#[case::highest_demand_first("", [Load::steady(37), Load::steady(40)], 1_200, &["s0:p1"])]
#[case::one_host_already_moving("move:s0:p0", [Load::steady(60), Load::NONE], 1_200, &[])]
#[case::kept_while_busy(LENT, [Load::steady(40), Load::NONE], 1_200, &[])]
#[case::kept_while_partly_used(LENT, [Load::steady(35), Load::NONE], 1_200, &[])]
#[case::returned(LENT, [Load::steady(32), Load::NONE], 1_200, &["s0:spare"])]
#[case::passed_to_another_pool(LENT, [Load::steady(33), Load::steady(60)], 3_600, &["s0:p1"])]
#[case::not_passed_on_for_small_gain(LENT, [Load::steady(38), Load::steady(38)], 3_600, &[])]
fn moves_hosts_when_demand_pays_for_it(
    #[case] script: &str,
    #[case] loads: [Load; 2],
    #[case] secs: u64,
    #[case] expected: &[&str],
) {
    let fleet = fleet(2, 4, 2, budget(1, 1, 1));
    let mut ledger = Ledger::default();
    run(&mut ledger, &fleet, script);
    assert_eq!(moves(&ledger, &fleet, loads, secs), expected);
}

#[test]
fn moves_are_accepted_by_the_ledger() {
    let fleet = fleet(2, 4, 2, budget(1, 1, 1));
    let mut ledger = Ledger::default();
    run(&mut ledger, &fleet, LENT);
    let return_move = command("move:s0:spare");
    assert!(
        ledger
            .apply(&fleet, ledger.generation(), &return_move)
            .is_ok()
    );
    run(
        &mut ledger,
        &fleet,
        "drained:s0 to:s0:spare returned:s0 serve:s0",
    );
    assert_eq!(ledger.records().count(), 0);
}

/// A queue that grows every second moves the host sooner than one of constant length.
#[rstest]
#[case::growing(10, 150, true)]
#[case::constant(0, 150, false)]
#[case::growing_for_20_s(10, 20, false)]
fn a_growing_queue_moves_a_host_sooner(
    #[case] per_sec: u32,
    #[case] secs: u64,
    #[case] moves: bool,
) {
    let fleet = fleet(1, 4, 2, budget(1, 1, 1));
    let pool = fleet.pools.find("p0").expect("declared");
    let mut policy = Policy::new(MoveCost::default());
    for now in 0..secs {
        let demand = Demand {
            running: SLOTS,
            waiting: 10 + per_sec * u32::try_from(now).expect("short run"),
            slots: SLOTS,
            borrowed: 0,
        };
        policy.observe(Instant::from_millis(now * 1_000), pool, demand);
    }
    assert_eq!(!policy.next(&Ledger::default(), &fleet).is_empty(), moves);
}
