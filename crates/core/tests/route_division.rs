//! The division of endpoint slots among entry hosts, and the choice of an endpoint.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use rhubarbrill_core::fleet::{Fleet, HostKey, ZoneKey};
use rhubarbrill_core::health::State;
use rhubarbrill_core::route::{
    ChoiceConstraints, DivisibleEndpoint, Peer, SlotDivider, Table,
};
use support::{Fixture, add_hosts};

struct Layout {
    endpoints: Vec<DivisibleEndpoint>,
    peers: Vec<Peer>,
}

/// Returns hosts in `host_zones`, with `slots` each, and entry hosts in `entry_zones`.
/// Zones are given by index.
fn layout(host_zones: &[usize], entry_zones: &[usize], slots: u32) -> Layout {
    let mut fleet = Fleet::default();
    let zones: Vec<ZoneKey> = (0..4)
        .map(|index| {
            let zone = rhubarbrill_core::fleet::Zone {
                region: "south".into(),
            };
            fleet.zones.upsert(&format!("z{index}"), zone)
        })
        .collect();
    add_hosts(&mut fleet, Default::default(), host_zones.len(), slots);
    let keys: Vec<HostKey> = fleet.hosts.iter().map(|(key, ..)| key).collect();
    let endpoint = |(&host, &zone): (&HostKey, &usize)| DivisibleEndpoint {
        host,
        zone: zones[zone],
        slots,
    };
    let peer = |(index, &zone): (usize, &usize)| Peer {
        entry: format!("e{index}"),
        zone: Some(zones[zone]),
    };
    Layout {
        endpoints: keys.iter().zip(host_zones).map(endpoint).collect(),
        peers: entry_zones.iter().enumerate().map(peer).collect(),
    }
}

impl Layout {
    fn divide_slots(&self, peer: usize) -> Vec<u32> {
        let this = self.peers[peer].clone();
        SlotDivider::new(this, self.peers.clone()).divide_slots(&self.endpoints, 3)
    }

    fn sums(&self, slots_by_peer: impl Fn(usize) -> Vec<u32>) -> Vec<u32> {
        let mut sums = vec![0; self.endpoints.len()];
        for peer in 0..self.peers.len() {
            for (sum, units) in sums.iter_mut().zip(slots_by_peer(peer)) {
                *sum += units;
            }
        }
        sums
    }
}

proptest! {
    #[test]
    fn every_slot_has_one_owner_and_parts_differ_by_at_most_one(
        hosts in prop::collection::vec(0..4_usize, 1..14),
        entries in prop::collection::vec(0..4_usize, 1..9),
        slots in 1..17_u32,
    ) {
        let layout = layout(&hosts, &entries, slots);
        let sums = layout.sums(|peer| layout.divide_slots(peer));
        prop_assert!(sums.iter().all(|&sum| sum == slots), "{:?}", sums);
        let totals: Vec<u32> = (0..entries.len())
            .map(|peer| layout.divide_slots(peer).iter().sum())
            .collect();
        let (least, most) = (totals.iter().min().unwrap(), totals.iter().max().unwrap());
        prop_assert!(most - least <= 1, "{:?}", totals);
    }
}

#[test]
fn slots_of_the_own_zone_are_assigned_first() {
    struct Case {
        name: &'static str,
        hosts: &'static [usize],
        entries: &'static [usize],
        far: u32,
    }
    let cases = [
        Case {
            name: "even",
            hosts: &[0, 1, 2],
            entries: &[0, 1, 2],
            far: 0,
        },
        Case {
            name: "own zone small",
            hosts: &[0, 1, 1],
            entries: &[0, 1],
            far: 4,
        },
        Case {
            name: "own zone empty",
            hosts: &[1, 1],
            entries: &[0, 1],
            far: 8,
        },
        Case {
            name: "alone",
            hosts: &[0, 1],
            entries: &[0],
            far: 8,
        },
    ];
    for case in cases {
        let layout = layout(case.hosts, case.entries, 8);
        let units = layout.divide_slots(0);
        let far = layout.endpoints.iter().zip(units);
        let far = far.filter(|(endpoint, _)| Some(endpoint.zone) != layout.peers[0].zone);
        let far: u32 = far.map(|(_, units)| units).sum();
        assert_eq!(far, case.far, "{}", case.name);
    }
}

#[test]
fn an_entry_host_has_slots_at_every_endpoint_of_its_zone() {
    let layout = layout(&[0, 0, 0, 0], &[0, 0, 0], 8);
    for peer in 0..3 {
        let units = layout.divide_slots(peer);
        assert!(
            units.iter().all(|units| (2..=3).contains(units)),
            "{units:?}"
        );
    }
}

/// Each entry host divides by the members it knows of. While views differ, slots may be
/// assigned more than once.
#[test]
fn different_member_views_oversubscribe_until_they_agree() {
    let layout = layout(&[0, 1], &[0, 1, 2], 8);
    let slots_by_peer = |peer: usize, known: &[usize]| {
        let known = known.iter().map(|&index| layout.peers[index].clone());
        let divider = SlotDivider::new(layout.peers[peer].clone(), known.collect());
        divider.divide_slots(&layout.endpoints, 3)
    };
    let isolated = layout.sums(|peer| slots_by_peer(peer, &[peer]));
    assert_eq!(
        isolated,
        [24, 24],
        "each isolated entry host takes all slots"
    );
    let agreed = layout.sums(|peer| slots_by_peer(peer, &[2, 0, 1]));
    assert_eq!(agreed, [8, 8]);
}

#[test]
fn a_slow_endpoint_is_chosen_less_often() {
    let fixture = Fixture::new(4, 8, &[(1, 100)]);
    let mut table = Table::new(7);
    table.rebuild(&fixture.fleet, &fixture.placement);
    let this = Peer {
        entry: "e0".into(),
        zone: None,
    };
    let divider = SlotDivider::new(this, Vec::new());
    table.divide_slots(&divider, None, |_| State::Healthy);
    let slow = fixture.hosts()[0];
    let (took, expected) = (Duration::from_secs(3), Duration::from_secs(1));
    (0..20).for_each(|_| table.observe(slow, took, expected));
    let mut chosen =
        || table.choose(fixture.pool, ChoiceConstraints::default()) == Some(slow);
    let count = (0..1_600).filter(|_| chosen()).count();
    assert!(
        (50..=150).contains(&count),
        "chosen {count} times of 1600; 400 would be random"
    );
}

#[test]
fn rounding_up_each_part_oversubscribes() {
    let layout = layout(&[0, 0, 1], &[0, 0, 1], 8);
    let naive = |_| vec![8_u32.div_ceil(3); 3];
    assert!(layout.sums(naive).iter().any(|&sum| sum > 8));
}
