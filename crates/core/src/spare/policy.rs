//! Which spare host moves where.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::gauge::{Demand, Gauge, Scale};
use crate::fleet::{Fleet, HostKey, PoolKey, ZoneKey};
use crate::maintenance::{Command, Ledger, Reason, Record, Step};
use crate::time::Instant;

/// What a move costs, and how long demand is remembered.
#[derive(Clone, Copy, Debug)]
pub struct MoveCost {
    /// Slots of one spare host.
    pub host_slots: u32,
    /// Time for which a host serves nobody while it moves to a pool.
    pub out: Duration,
    /// Time for which it serves nobody while it moves back.
    pub back: Duration,
    /// Time after which demand is forgotten to 37%.
    pub memory: Duration,
    /// Wait of a request that counts as much as a second of work.
    pub patience: Duration,
    /// Share of the price in percent from which a host that stands by moves to a pool: it
    /// serves nobody meanwhile, but did so before.
    pub lend_percent: u32,
    /// Share of the price in percent below which a borrowed host goes back.
    pub keep_percent: u32,
}

impl Default for MoveCost {
    fn default() -> Self {
        Self {
            host_slots: 8,
            out: Duration::from_secs(120),
            back: Duration::from_secs(180),
            memory: Duration::from_secs(600),
            patience: Duration::from_secs(30),
            lend_percent: 60,
            keep_percent: 40,
        }
    }
}

impl MoveCost {
    /// Returns the slot-seconds that a move to a pool and back costs.
    fn slot_seconds(&self) -> f64 {
        f64::from(self.host_slots) * (self.out + self.back).as_secs_f64()
    }

    /// Returns the part of the price from which a host that stands by moves.
    fn lend(&self) -> f64 {
        self.slot_seconds() * f64::from(self.lend_percent) / 100.0
    }

    /// Returns the part of the price below which a borrowed host goes back.
    fn keep(&self) -> f64 {
        self.slot_seconds() * f64::from(self.keep_percent) / 100.0
    }
}

/// Decides on moves of spare hosts.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    price: MoveCost,
    gauges: SecondaryMap<PoolKey, Gauge>,
}

/// A host that could move to a pool.
struct Offer<'a> {
    host: &'a str,
    zone: ZoneKey,
    lent: bool,
    /// What a pool must want to get the host.
    price: f64,
    /// Slot-seconds that the pool it is with would miss.
    missed: f64,
}

impl Policy {
    /// Returns a policy that has seen no demand.
    pub fn new(price: MoveCost) -> Self {
        Self {
            price,
            gauges: SecondaryMap::new(),
        }
    }

    /// Takes in a pool's demand at `now`.
    pub fn observe(&mut self, now: Instant, pool: PoolKey, demand: Demand) {
        let scale = Scale {
            host_slots: self.price.host_slots,
            memory: self.price.memory,
            patience: self.price.patience,
        };
        if let Some(entry) = self.gauges.entry(pool) {
            entry.or_default().observe(now, demand, scale);
        }
    }

    /// Returns the moves that pay, to be applied with the generation of `ledger`.
    ///
    /// One host moves to a pool at a time; the pool that misses most comes first.
    pub fn next(&self, ledger: &Ledger, fleet: &Fleet) -> Vec<Command> {
        let mut offers = self.offers(ledger, fleet);
        let mut commands = Vec::new();
        let wanting = self.wanting(ledger, fleet);
        if wanting.is_empty() && offers.iter().all(|offer| !offer.lent) {
            return Vec::new();
        }
        let counts = ZoneCount::new(ledger, fleet);
        for (pool, want) in wanting {
            if let Some(index) = best(&counts, pool, want, &offers) {
                let offer = offers.swap_remove(index);
                commands.extend(drain(fleet, offer.host, pool));
            }
        }
        let keep = self.price.keep();
        let idle = offers
            .iter()
            .filter(|offer| offer.lent && offer.missed < keep);
        commands.extend(idle.filter_map(|offer| send_home(fleet, offer.host)));
        commands
    }

    /// Returns the pools that one more host would pay for, the neediest first.
    fn wanting(&self, ledger: &Ledger, fleet: &Fleet) -> Vec<(PoolKey, f64)> {
        let price = self.price.lend();
        let mut wanting: Vec<_> = self
            .gauges
            .iter()
            .map(|(pool, gauge)| (pool, gauge.want))
            .filter(|(pool, want)| *want >= price && !is_awaiting(ledger, fleet, *pool))
            .collect();
        wanting.sort_by(|a, b| b.1.total_cmp(&a.1));
        wanting
    }

    /// Returns the hosts declared for a spare pool that take work or stand by.
    fn offers<'a>(&self, ledger: &'a Ledger, fleet: &'a Fleet) -> Vec<Offer<'a>> {
        let is_spare =
            |pool: PoolKey| fleet.pools.get(pool).is_some_and(|pool| pool.spare);
        fleet
            .hosts
            .iter()
            .filter(|(_, _, host)| is_spare(host.pool))
            .filter_map(|(key, name, host)| {
                let missed = self.missed(ledger, fleet, key, name)?;
                let lent = ledger.record(name).is_some();
                Some(Offer {
                    host: name,
                    zone: host.zone,
                    lent,
                    price: match lent {
                        true => missed + self.price.slot_seconds(),
                        false => self.price.lend(),
                    },
                    missed,
                })
            })
            .collect()
    }

    /// Returns what the pool that a spare host is with would miss; `None` while it moves.
    fn missed(
        &self,
        ledger: &Ledger,
        fleet: &Fleet,
        key: HostKey,
        name: &str,
    ) -> Option<f64> {
        match ledger.record(name) {
            None => Some(0.0),
            Some(record) if record.step == Step::Serving => {
                let pool = ledger.pool(fleet, key)?;
                self.gauges.get(pool).map(|gauge| gauge.worth)
            }
            Some(_) => None,
        }
    }
}

/// Number of each pool's hosts in each zone.
struct ZoneCount(BTreeMap<(PoolKey, ZoneKey), usize>);

impl ZoneCount {
    fn new(ledger: &Ledger, fleet: &Fleet) -> Self {
        let mut counts = BTreeMap::new();
        for (key, _, host) in fleet.hosts.iter() {
            if let Some(pool) = ledger.pool(fleet, key) {
                *counts.entry((pool, host.zone)).or_default() += 1;
            }
        }
        Self(counts)
    }

    fn hosts(&self, pool: PoolKey, zone: ZoneKey) -> usize {
        self.0.get(&(pool, zone)).copied().unwrap_or_default()
    }
}

/// Returns the cheapest offer that the pool wants enough; among equals the one in the zone
/// where the pool has the fewest hosts.
fn best(
    counts: &ZoneCount,
    pool: PoolKey,
    want: f64,
    offers: &[Offer<'_>],
) -> Option<usize> {
    let hosts = |zone| counts.hosts(pool, zone);
    let rank = |index: &usize| (offers[*index].price, hosts(offers[*index].zone));
    (0..offers.len())
        .filter(|&index| offers[index].price <= want)
        .min_by(|a, b| {
            let ((a, near), (b, far)) = (rank(a), rank(b));
            a.total_cmp(&b).then(near.cmp(&far))
        })
}

/// Returns whether a host is on its way to the pool.
fn is_awaiting(ledger: &Ledger, fleet: &Fleet, pool: PoolKey) -> bool {
    let name = fleet.pools.name(pool);
    let comes = |record: &Record| match &record.reason {
        Reason::Move { to } => Some(to.as_str()) == name && !record.step.accepts(),
        _ => false,
    };
    ledger.records().any(|(_, record)| comes(record))
}

fn drain(fleet: &Fleet, host: &str, to: PoolKey) -> Option<Command> {
    let to = fleet.pools.name(to)?.to_owned();
    Some(Command::BeginDrain {
        host: host.to_owned(),
        reason: Reason::Move { to },
    })
}

fn send_home(fleet: &Fleet, host: &str) -> Option<Command> {
    let key = fleet.hosts.find(host)?;
    drain(fleet, host, fleet.hosts.get(key)?.pool)
}
