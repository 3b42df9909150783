//! The endpoints that one entry host may send to.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::division::{DivisibleEndpoint, SlotDivider};
use super::endpoint::{Endpoint, Tier};
use super::roster::Roster;
use crate::fleet::{Fleet, HostKey, PoolKey, ZoneKey};
use crate::hash::mix;
use crate::health::State;
use crate::placement::Placement;

/// Endpoints by pool, with this entry host's slots and the work that occupies them.
#[derive(Clone, Debug)]
pub struct Table {
    endpoints: SecondaryMap<HostKey, Endpoint>,
    rosters: SecondaryMap<PoolKey, Roster>,
    /// Hosts in order of name, which all entry hosts agree on; keys differ.
    order: Vec<HostKey>,
    /// Pools in order of name.
    pools: Vec<PoolKey>,
    random: u64,
}

/// What a request asks of the choice.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChoiceConstraints {
    /// An endpoint that failed the request before; taken only if there is no other.
    pub avoid: Option<HostKey>,
    /// Whether the request may probe an endpoint that was ejected.
    pub may_probe: bool,
}

impl Table {
    /// Returns an empty table whose random choices start from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            endpoints: SecondaryMap::new(),
            rosters: SecondaryMap::new(),
            order: Vec::new(),
            pools: Vec::new(),
            random: seed,
        }
    }

    /// Takes in new declarations and standings, and keeps the counts of running work.
    pub fn rebuild(&mut self, fleet: &Fleet, placement: &Placement) {
        self.endpoints
            .retain(|host, _| fleet.hosts.get(host).is_some());
        self.order.clear();
        for (key, _, host) in fleet.hosts.iter() {
            let Some(standing) = placement.get(key) else {
                self.endpoints.remove(key);
                continue;
            };
            self.order.push(key);
            if !self.endpoints.contains_key(key) {
                let endpoint = Endpoint::new(standing.pool, host.zone);
                self.endpoints.insert(key, endpoint);
            }
            let endpoint = &mut self.endpoints[key];
            endpoint.pool = standing.pool;
            endpoint.accepts = standing.accepts;
            endpoint.zone = host.zone;
            endpoint.slots = host.slots;
            endpoint.connections = host.connections;
        }
        self.rosters.clear();
        self.pools.clear();
        for (pool, _, _) in fleet.pools.iter() {
            self.rosters.insert(pool, Roster::default());
            self.pools.push(pool);
        }
    }

    /// Divides the slots anew and seats every endpoint.
    pub fn divide(
        &mut self,
        divider: &SlotDivider,
        zone: Option<ZoneKey>,
        state: impl Fn(HostKey) -> State,
    ) {
        let mut sites = self.sites();
        for (offset, &pool) in self.pools.iter().enumerate() {
            let sites = sites.remove(&pool).unwrap_or_default();
            let units = divider.divide(&sites, offset);
            for (site, units) in sites.iter().zip(units) {
                let endpoint = &mut self.endpoints[site.host];
                endpoint.units = units;
                endpoint.lent = 0;
                endpoint.borrowed = 0;
            }
        }
        for roster in self.rosters.values_mut() {
            *roster = Roster::default();
        }
        for host in self.order.clone() {
            let endpoint = &mut self.endpoints[host];
            endpoint.near = zone == Some(endpoint.zone);
            endpoint.seat = None;
            let (pool, units, accepts) =
                (endpoint.pool, endpoint.units, endpoint.accepts);
            if let Some(roster) = self.rosters.get_mut(pool) {
                roster.declared += 1;
                roster.accepting += u32::from(accepts);
                roster.units += if accepts { units } else { 0 };
            }
            self.reseat(host, state(host));
        }
    }

    /// Returns an endpoint of the pool with a free slot, the better of two at random.
    ///
    /// Endpoints of the own zone go first.
    pub fn choose(
        &mut self,
        pool: PoolKey,
        choice: ChoiceConstraints,
    ) -> Option<HostKey> {
        let tiers = [Tier::Probing, Tier::Near, Tier::Far];
        let skipped = usize::from(!choice.may_probe);
        let mut fallback = None;
        for tier in &tiers[skipped..] {
            match self.choose_in(pool, *tier, choice.avoid) {
                Some(host) if Some(host) == choice.avoid => fallback = Some(host),
                Some(host) => return Some(host),
                None => {}
            }
        }
        fallback
    }

    /// Returns whether a request can be sent to some endpoint of the pool now.
    pub fn has_room(&self, pool: PoolKey) -> bool {
        self.rosters.get(pool).is_some_and(|roster| {
            !roster.tier(Tier::Near).is_empty() || !roster.tier(Tier::Far).is_empty()
        })
    }

    /// Occupies a slot.
    pub fn occupy(&mut self, host: HostKey, state: State) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            endpoint.running += 1;
        }
        self.reseat(host, state);
    }

    /// Frees a slot.
    pub fn release(&mut self, host: HostKey, state: State) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            endpoint.running = endpoint.running.saturating_sub(1);
        }
        self.reseat(host, state);
    }

    /// Changes how many slots of an endpoint are lent and borrowed.
    pub fn shift(&mut self, host: HostKey, lent: i32, borrowed: i32, state: State) {
        let Some(endpoint) = self.endpoints.get_mut(host) else {
            return;
        };
        let before = endpoint.capacity();
        endpoint.lent = endpoint.lent.saturating_add_signed(lent);
        endpoint.borrowed = endpoint.borrowed.saturating_add_signed(borrowed);
        let after = endpoint.capacity();
        if let (true, Some(roster)) =
            (endpoint.accepts, self.rosters.get_mut(endpoint.pool))
        {
            roster.units = (roster.units + after).saturating_sub(before);
        }
        self.reseat(host, state);
    }

    /// Returns the endpoint of each free slot of a pool, without the first `kept`.
    ///
    /// Near endpoints come before far ones.
    pub fn free_slots(&self, pool: PoolKey, kept: usize) -> Vec<HostKey> {
        let Some(roster) = self.rosters.get(pool) else {
            return Vec::new();
        };
        let hosts = roster.tier(Tier::Near).iter().chain(roster.tier(Tier::Far));
        let slots = hosts.flat_map(|&host| {
            let free = self.endpoints[host].free();
            std::iter::repeat_n(host, free as usize)
        });
        slots.skip(kept).collect()
    }

    /// Takes in how long a request ran against how long it was expected to.
    pub fn observe(&mut self, host: HostKey, took: Duration, expected: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            endpoint.observe(took, expected);
        }
    }

    /// Takes in a failed request.
    pub fn observe_failure(&mut self, host: HostKey) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            endpoint.observe_failure();
        }
    }

    /// Seats or unseats an endpoint after its work or its health changed.
    pub fn reseat(&mut self, host: HostKey, state: State) {
        let Some(endpoint) = self.endpoints.get(host) else {
            return;
        };
        let (pool, old) = (endpoint.pool, endpoint.seat);
        let tier = tier_of(endpoint, state);
        if old.map(|seat| seat.tier) == tier {
            return;
        }
        let Some(roster) = self.rosters.get_mut(pool) else {
            return;
        };
        let moved = old.and_then(|seat| roster.remove(seat));
        let seat = tier.map(|tier| roster.push(tier, host));
        if let Some(moved) = moved {
            self.endpoints[moved].seat = old;
        }
        self.endpoints[host].seat = seat;
    }

    /// Returns the pool of an endpoint.
    pub fn pool(&self, host: HostKey) -> Option<PoolKey> {
        self.endpoints.get(host).map(|endpoint| endpoint.pool)
    }

    /// Returns whether a pool is declared.
    pub fn knows_pool(&self, pool: PoolKey) -> bool {
        self.rosters.contains_key(pool)
    }

    /// Returns this entry host's slots over the endpoints of a pool that take work.
    pub fn pool_units(&self, pool: PoolKey) -> u32 {
        self.rosters.get(pool).map_or(0, |roster| roster.units)
    }

    /// Returns how many hosts of a pool take work.
    pub fn accepting(&self, pool: PoolKey) -> u32 {
        self.rosters.get(pool).map_or(0, |roster| roster.accepting)
    }

    /// Returns how many hosts a pool has.
    pub fn declared(&self, pool: PoolKey) -> u32 {
        self.rosters.get(pool).map_or(0, |roster| roster.declared)
    }

    /// Returns this entry host's slots at an endpoint, with loans.
    pub fn units(&self, host: HostKey) -> u32 {
        self.endpoints.get(host).map_or(0, Endpoint::capacity)
    }

    /// Returns the most connections that this entry host may open to an endpoint.
    pub fn connections(&self, host: HostKey) -> u32 {
        self.endpoints
            .get(host)
            .map_or(0, Endpoint::own_connections)
    }

    /// Returns this entry host's requests that run at an endpoint.
    pub fn running(&self, host: HostKey) -> u32 {
        self.endpoints
            .get(host)
            .map_or(0, |endpoint| endpoint.running)
    }

    fn choose_in(
        &mut self,
        pool: PoolKey,
        tier: Tier,
        avoid: Option<HostKey>,
    ) -> Option<HostKey> {
        let first = self.draw(pool, tier, avoid)?;
        let second = self.draw(pool, tier, avoid)?;
        let better = self.endpoints[second].load() < self.endpoints[first].load();
        Some(if better { second } else { first })
    }

    /// Draws an endpoint at random, and its neighbour in place of the one to avoid.
    fn draw(
        &mut self,
        pool: PoolKey,
        tier: Tier,
        avoid: Option<HostKey>,
    ) -> Option<HostKey> {
        let hosts = self.rosters.get(pool)?.tier(tier);
        if hosts.is_empty() {
            return None;
        }
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let index = (mix(self.random) % hosts.len() as u64) as usize;
        match hosts.get(index).copied() {
            host if host == avoid => hosts.get((index + 1) % hosts.len()).copied(),
            host => host,
        }
    }

    fn sites(&self) -> BTreeMap<PoolKey, Vec<DivisibleEndpoint>> {
        let mut pools: BTreeMap<PoolKey, Vec<DivisibleEndpoint>> = BTreeMap::new();
        for &host in &self.order {
            let endpoint = &self.endpoints[host];
            let slots = match endpoint.accepts {
                true => endpoint.divisible_slots(),
                false => 0,
            };
            pools
                .entry(endpoint.pool)
                .or_default()
                .push(DivisibleEndpoint {
                    host,
                    zone: endpoint.zone,
                    slots,
                });
        }
        pools
    }
}

fn tier_of(endpoint: &Endpoint, state: State) -> Option<Tier> {
    if !endpoint.accepts || endpoint.free() == 0 {
        return None;
    }
    match state {
        State::Healthy if endpoint.near => Some(Tier::Near),
        State::Healthy => Some(Tier::Far),
        State::Probing(_) => (endpoint.running == 0).then_some(Tier::Probing),
        State::Ejected(_) => None,
    }
}
