//! Tests which peers are live, which entry host is the relay or the planner, and which
//! heartbeats are ignored.

use std::collections::BTreeSet;
use std::time::Duration;

use rhubarbrill_core::member::{Member, Peer, Roster};
use rhubarbrill_core::time::Instant;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(1);

fn member(entry: &str, zone: &str, incarnation: u64) -> Member {
    Member {
        entry: entry.into(),
        zone: zone.into(),
        incarnation,
    }
}

fn peer(entry: &str, zone: &str, last_heard_ms: u64) -> Peer {
    Peer {
        member: member(entry, zone, 1),
        address: "127.0.0.1:9".parse().unwrap(),
        revision: 1,
        ledger: 1,
        store_reachable: true,
        draining: false,
        residents: BTreeSet::new(),
        ejected: BTreeSet::new(),
        last_heard: Instant::from_millis(last_heard_ms),
    }
}

#[rstest]
#[case::alone(vec![], true, true)]
#[case::first_by_name(vec![peer("c", "z1", 1_000)], true, true)]
#[case::second_by_name(vec![peer("a", "z1", 1_000)], true, false)]
#[case::other_zone_is_ignored(vec![peer("a", "z2", 1_000)], true, true)]
#[case::silent_is_ignored(vec![peer("a", "z1", 0)], true, true)]
#[case::draining_is_ignored(
    vec![Peer { draining: true, ..peer("a", "z1", 1_000) }], true, true)]
#[case::first_is_disconnected_from_store(
    vec![Peer { store_reachable: false, ..peer("a", "z1", 1_000) }], true, true)]
#[case::disconnected_itself(vec![peer("c", "z1", 1_000)], false, false)]
#[case::all_disconnected(
    vec![Peer { store_reachable: false, ..peer("c", "z1", 1_000) }], false, true)]
fn elects_relay(
    #[case] peers: Vec<Peer>,
    #[case] reaches_store: bool,
    #[case] expected: bool,
) {
    let mut roster = Roster::new(member("b", "z1", 1), TIMEOUT);
    for peer in peers {
        roster.record_heartbeat(peer);
    }
    assert_eq!(
        roster.is_relay(Instant::from_millis(1_500), reaches_store),
        expected
    );
}

#[rstest]
#[case::newer_run(2, 2_000, 2)]
#[case::older_run_is_ignored(0, 2_000, 1)]
#[case::late_message_is_ignored(1, 500, 1)]
fn newest_incarnation_wins(
    #[case] incarnation: u64,
    #[case] last_heard_ms: u64,
    #[case] expected: u64,
) {
    let mut roster = Roster::new(member("b", "z1", 1), TIMEOUT);
    roster.record_heartbeat(peer("a", "z1", 1_000));
    let next = Peer {
        member: member("a", "z1", incarnation),
        ..peer("a", "z1", last_heard_ms)
    };
    roster.record_heartbeat(Peer {
        revision: 9,
        ..next
    });
    let known = roster.peer("a").unwrap();
    assert_eq!(known.member.incarnation, expected);
    assert_eq!(
        known.revision == 9,
        last_heard_ms == 2_000 && incarnation == 2
    );
}

#[test]
fn own_messages_are_ignored() {
    let mut roster = Roster::new(member("b", "z1", 2), TIMEOUT);
    roster.record_heartbeat(peer("b", "z1", 1_000));
    assert_eq!(roster.peers().count(), 0);
}

#[rstest]
#[case::alone(vec![], true, true)]
#[case::disconnected_itself(vec![], false, false)]
#[case::first_zone(vec![peer("a", "z2", 1_000)], true, true)]
#[case::later_zone(vec![peer("c", "z0", 1_000)], true, false)]
#[case::second_by_name(vec![peer("a", "z1", 1_000)], true, false)]
#[case::silent_is_ignored(vec![peer("a", "z1", 0)], true, true)]
#[case::draining_is_ignored(
    vec![Peer { draining: true, ..peer("a", "z1", 1_000) }], true, true)]
#[case::disconnected_is_ignored(
    vec![Peer { store_reachable: false, ..peer("a", "z1", 1_000) }], true, true)]
fn elects_planner(
    #[case] peers: Vec<Peer>,
    #[case] reaches_store: bool,
    #[case] expected: bool,
) {
    let mut roster = Roster::new(member("b", "z1", 1), TIMEOUT);
    for peer in peers {
        roster.record_heartbeat(peer);
    }
    let now = Instant::from_millis(1_500);
    assert_eq!(roster.is_planner(now, reaches_store), expected);
}
