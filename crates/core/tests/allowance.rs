//! Tests the rules of the ledger, the division of limits into floors, and the holder.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use rhubarbrill_core::allowance::{
    Command, Declaration, ExpiredBorrowers, FloorDivision, Holder, Lease, Ledger, Limit,
    Membership, Rejection, Shortage,
};
use rhubarbrill_core::fleet::{Arena, DisconnectedPolicy, Workspace, WorkspaceKey};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::time::Instant;
use rstest::rstest;

fn member(entry: &str, incarnation: u64) -> Member {
    let zone = "z1".into();
    Member {
        entry: entry.into(),
        zone,
        incarnation,
    }
}

fn declare(revision: u64, units: u32) -> Command {
    let limits = vec![Limit {
        workspace: "t".into(),
        units,
    }];
    Command::Declare(Declaration { revision, limits })
}

fn raise(units: u32) -> Command {
    Command::RaiseFloor {
        workspace: "t".into(),
        units,
    }
}

fn lower(units: u32) -> Command {
    Command::LowerFloor {
        workspace: "t".into(),
        units,
    }
}

fn borrow(units: u32) -> Command {
    Command::Borrow {
        workspace: "t".into(),
        units,
    }
}

fn return_loan(units: u32) -> Command {
    Command::ReturnLoan {
        workspace: "t".into(),
        units,
    }
}

struct Case {
    steps: Vec<(Member, Command)>,
    last: Result<(), Rejection>,
    held: u32,
    limit: u32,
}

#[rstest]
#[case::floor_and_loan_may_fill_the_limit(Case {
    steps: vec![(member("a", 1), raise(3)), (member("b", 2), borrow(7))],
    last: Ok(()), held: 10, limit: 10,
})]
#[case::exceeding_the_limit_is_rejected(Case {
    steps: vec![(member("a", 1), raise(4)), (member("b", 2), borrow(7))],
    last: Err(Rejection::AboveLimit), held: 4, limit: 10,
})]
#[case::lowered_limit_falls_as_units_are_returned(Case {
    steps: vec![
        (member("a", 1), borrow(9)), (member("a", 1), declare(2, 4)),
        (member("a", 1), return_loan(2)),
    ],
    last: Ok(()), held: 7, limit: 7,
})]
#[case::lowered_limit_blocks_new_loans(Case {
    steps: vec![
        (member("a", 1), borrow(9)), (member("a", 1), declare(2, 4)),
        (member("a", 1), return_loan(2)), (member("b", 2), borrow(1)),
    ],
    last: Err(Rejection::AboveLimit), held: 7, limit: 7,
})]
#[case::raised_limit_applies_at_once(Case {
    steps: vec![(member("a", 1), declare(2, 12)), (member("a", 1), borrow(12))],
    last: Ok(()), held: 12, limit: 12,
})]
#[case::older_revision_is_rejected(Case {
    steps: vec![(member("a", 1), declare(3, 4)), (member("b", 2), declare(2, 20))],
    last: Err(Rejection::Stale), held: 0, limit: 4,
})]
#[case::removed_workspace_is_pruned_once_all_units_are_returned(Case {
    steps: vec![
        (member("a", 1), borrow(2)),
        (member("a", 1), Command::Declare(Declaration { revision: 2, limits: vec![] })),
        (member("a", 1), return_loan(2)), (member("a", 1), borrow(1)),
    ],
    last: Err(Rejection::UnknownWorkspace), held: 0, limit: 0,
})]
#[case::only_the_owner_may_change_a_floor(Case {
    steps: vec![
        (member("a", 1), raise(3)), (member("a", 5), Command::Adopt),
        (member("a", 1), lower(1)),
    ],
    last: Err(Rejection::NotOwner), held: 3, limit: 10,
})]
#[case::replacement_owns_the_floor_but_not_the_loan(Case {
    steps: vec![
        (member("a", 1), raise(3)), (member("a", 1), borrow(2)),
        (member("a", 5), Command::Adopt), (member("a", 5), lower(1)),
        (member("a", 5), return_loan(1)),
    ],
    last: Err(Rejection::NotHeld), held: 4, limit: 10,
})]
#[case::release_keeps_the_floor_and_returns_loans(Case {
    steps: vec![
        (member("a", 1), raise(3)), (member("a", 1), borrow(2)),
        (member("a", 1), Command::Release),
    ],
    last: Ok(()), held: 3, limit: 10,
})]
fn ledger_enforces_its_rules(#[case] case: Case) {
    let mut ledger = Ledger::default();
    let mut last = Ok(());
    for entry in ["a", "b"] {
        let first = u64::from(entry == "b") + 1;
        ledger
            .apply(&member(entry, first), &Command::Adopt)
            .unwrap();
    }
    ledger.apply(&member("a", 1), &declare(1, 10)).unwrap();
    for (member, command) in &case.steps {
        last = ledger.apply(member, command);
    }
    assert_eq!(last, case.last);
    assert_eq!(
        (ledger.held("t"), ledger.limit("t")),
        (case.held, case.limit)
    );
    let text = serde_json::to_string(&ledger).unwrap();
    assert_eq!(serde_json::from_str::<Ledger>(&text).unwrap(), ledger);
}

#[test]
fn loans_are_reclaimed_only_from_members_absent_for_the_reuse_delay() {
    let (a, b) = (member("a", 1), member("b", 2));
    let at = Instant::from_millis;
    let wait = Duration::from_secs(10);
    let mut ledger = Ledger::default();
    ledger.apply(&a, &declare(1, 10)).unwrap();
    ledger.apply(&a, &borrow(4)).unwrap();
    let membership = |revision, members: &[&Member]| Membership {
        revision,
        members: members.iter().map(|&m| m.clone()).collect::<BTreeSet<_>>(),
    };
    let mut expired_borrowers = ExpiredBorrowers::default();
    // A membership older than the record isn't evidence.
    expired_borrowers.observe(&ledger, 8, &membership(7, &[]), at(0));
    assert_eq!(expired_borrowers.reclaimable(at(60_000), wait).count(), 0);
    expired_borrowers.observe(&ledger, 8, &membership(8, &[&b]), at(60_000));
    assert_eq!(expired_borrowers.reclaimable(at(69_999), wait).count(), 0);
    let outdated = expired_borrowers
        .reclaimable(at(70_000), wait)
        .next()
        .unwrap();
    // The member returned and confirmed its loans, which voids the older evidence.
    ledger.apply(&a, &Command::ConfirmLoans).unwrap();
    let rejected = ledger.apply(&b, &Command::Reclaim(outdated));
    assert_eq!(rejected, Err(Rejection::Confirmed));
    expired_borrowers.observe(&ledger, 9, &membership(9, &[&b]), at(70_000));
    assert_eq!(expired_borrowers.reclaimable(at(79_999), wait).count(), 0);
    let evidence = expired_borrowers
        .reclaimable(at(80_000), wait)
        .next()
        .unwrap();
    ledger.apply(&b, &Command::Reclaim(evidence)).unwrap();
    assert_eq!(ledger.held("t"), 0);
}

proptest! {
    #[test]
    fn floors_sum_to_units_and_differ_by_at_most_one_per_zone(
        zones in prop::collection::vec(1..6_usize, 1..5),
        units in 0..500_u32,
        workspace in "[a-z]{1,8}",
    ) {
        let mut division = FloorDivision::default();
        for (zone, &entries) in zones.iter().enumerate() {
            (0..entries).for_each(|e| division.add(&format!("z{zone}"), &format!("{zone}-{e}")));
        }
        let floor = |entry: &str| division.floor(&workspace, units, entry);
        prop_assert_eq!(
            division.floors(&workspace, units).map(|(_, part)| part).sum::<u32>(),
            units
        );
        for (zone, &entries) in zones.iter().enumerate() {
            let floors: Vec<u32> = (0..entries).map(|e| floor(&format!("{zone}-{e}"))).collect();
            prop_assert!(floors.iter().max().unwrap() - floors.iter().min().unwrap() <= 1);
        }
    }
}

fn workspace() -> (Arena<WorkspaceKey, Workspace>, WorkspaceKey) {
    let mut workspaces = Arena::default();
    let key = workspaces.upsert(
        "t",
        Workspace {
            share: 1,
            limit: 9,
            when_disconnected: DisconnectedPolicy::Serve,
        },
    );
    (workspaces, key)
}

#[test]
fn floor_is_unusable_after_a_long_pause_until_lease_renewal_and_record_read() {
    let (_workspaces, key) = workspace();
    let at = Instant::from_millis;
    let mut holder = Holder::default().with_longest_pause(Duration::from_millis(500));
    let lease = |renewed| Lease {
        id: 1,
        renewed,
        valid_for: Duration::from_secs(2),
    };
    holder.set_lease(lease(at(0)), at(0));
    holder.set_floor(key, 2);
    holder.try_start(key, at(400)).unwrap();
    assert!(holder.may_send(key, at(900)));
    assert!(!holder.may_send(key, at(901)), "paused too long");
    assert_eq!(
        holder.try_start(key, at(901)),
        Err(Shortage::LeaseUncertain)
    );
    holder.set_lease(lease(at(850)), at(950));
    assert!(
        !holder.may_send(key, at(950)),
        "the renewal was sent before the pause ended"
    );
    holder.set_lease(lease(at(960)), at(970));
    assert!(
        !holder.may_send(key, at(980)),
        "the record wasn't read since"
    );
}
