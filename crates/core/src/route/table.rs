//! Routing table: the endpoints that one entry host may send requests to.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::candidates::PoolCandidates;
use super::division::{DivisibleEndpoint, SlotDivider};
use super::endpoint::{Endpoint, Tier};
use crate::fleet::{Fleet, HostKey, PoolKey, ZoneKey};
use crate::hash::mix;
use crate::health::State;
use crate::placement::Placement;

/// Endpoints by pool, with this entry host's slots and the requests that occupy them.
#[derive(Clone, Debug)]
pub struct Table {
    endpoints: SecondaryMap<HostKey, Endpoint>,
    candidates: SecondaryMap<PoolKey, PoolCandidates>,
    /// Hosts by name. All entry hosts agree on this order, whereas the order of keys
    /// differs between them.
    hosts_by_name: Vec<HostKey>,
    /// Pools by name.
    pools_by_name: Vec<PoolKey>,
    random: u64,
}

/// Constraints of a request on the choice of its endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChoiceConstraints {
    /// The endpoint of the last failed attempt, which is chosen only if there is no
    /// other.
    pub avoid: Option<HostKey>,
    /// Whether the request may be used to probe an endpoint after an ejection.
    pub may_probe: bool,
}

impl Table {
    /// Returns an empty table with a seed for random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            endpoints: SecondaryMap::new(),
            candidates: SecondaryMap::new(),
            hosts_by_name: Vec::new(),
            pools_by_name: Vec::new(),
            random: seed,
        }
    }

    /// Applies a configuration and a placement, and keeps the counts of running requests.
    pub fn rebuild(&mut self, fleet: &Fleet, placement: &Placement) {
        self.endpoints
            .retain(|host, _| fleet.hosts.get(host).is_some());
        self.hosts_by_name.clear();
        for (key, _, host) in fleet.hosts.iter() {
            let Some(assignment) = placement.get(key) else {
                self.endpoints.remove(key);
                continue;
            };
            self.hosts_by_name.push(key);
            if !self.endpoints.contains_key(key) {
                let endpoint = Endpoint::new(assignment.pool, host.zone);
                self.endpoints.insert(key, endpoint);
            }
            let endpoint = &mut self.endpoints[key];
            endpoint.pool = assignment.pool;
            endpoint.accepts = assignment.accepts;
            endpoint.zone = host.zone;
            endpoint.slots = host.slots;
            endpoint.connections = host.connections;
        }
        self.candidates.clear();
        self.pools_by_name.clear();
        for (pool, _, _) in fleet.pools.iter() {
            self.candidates.insert(pool, PoolCandidates::default());
            self.pools_by_name.push(pool);
        }
    }

    /// Divides the slots again, ends all loans, and recomputes the candidates of every
    /// pool.
    pub fn divide_slots(
        &mut self,
        divider: &SlotDivider,
        zone: Option<ZoneKey>,
        state: impl Fn(HostKey) -> State,
    ) {
        let mut divisible_by_pool = self.divisible_endpoints();
        for (offset, &pool) in self.pools_by_name.iter().enumerate() {
            let divisible = divisible_by_pool.remove(&pool).unwrap_or_default();
            let units = divider.divide_slots(&divisible, offset);
            for (endpoint_slots, units) in divisible.iter().zip(units) {
                let endpoint = &mut self.endpoints[endpoint_slots.host];
                endpoint.units = units;
                endpoint.lent = 0;
                endpoint.borrowed = 0;
            }
        }
        for candidates in self.candidates.values_mut() {
            *candidates = PoolCandidates::default();
        }
        for host in self.hosts_by_name.clone() {
            let endpoint = &mut self.endpoints[host];
            endpoint.same_zone = zone == Some(endpoint.zone);
            endpoint.position = None;
            let (pool, units, accepts) =
                (endpoint.pool, endpoint.units, endpoint.accepts);
            if let Some(candidates) = self.candidates.get_mut(pool) {
                candidates.declared += 1;
                candidates.accepting += u32::from(accepts);
                candidates.units += if accepts { units } else { 0 };
            }
            self.update_candidacy(host, state(host));
        }
    }

    /// Chooses an endpoint of the pool with a free slot: the less loaded of two random
    /// ones.
    ///
    /// Endpoints to be probed come first, if the request allows it, then those in the own
    /// zone, then the others.
    pub fn choose(
        &mut self,
        pool: PoolKey,
        constraints: ChoiceConstraints,
    ) -> Option<HostKey> {
        let tiers = [Tier::Probing, Tier::SameZone, Tier::OtherZone];
        let skipped = usize::from(!constraints.may_probe);
        let mut fallback = None;
        for tier in &tiers[skipped..] {
            match self.choose_in(pool, *tier, constraints.avoid) {
                Some(host) if Some(host) == constraints.avoid => fallback = Some(host),
                Some(host) => return Some(host),
                None => {}
            }
        }
        fallback
    }

    /// Returns whether some endpoint of the pool, other than one being probed, has a free
    /// slot.
    pub fn has_free_endpoint(&self, pool: PoolKey) -> bool {
        self.candidates.get(pool).is_some_and(|candidates| {
            !candidates.tier(Tier::SameZone).is_empty()
                || !candidates.tier(Tier::OtherZone).is_empty()
        })
    }

    /// Occupies a slot at an endpoint.
    pub fn occupy(&mut self, host: HostKey, state: State) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            endpoint.running += 1;
        }
        self.update_candidacy(host, state);
    }

    /// Frees a slot at an endpoint.
    pub fn release(&mut self, host: HostKey, state: State) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            endpoint.running = endpoint.running.saturating_sub(1);
        }
        self.update_candidacy(host, state);
    }

    /// Adds to the numbers of lent and borrowed slots of an endpoint.
    pub fn adjust_loans(
        &mut self,
        host: HostKey,
        lent: i32,
        borrowed: i32,
        state: State,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(host) else {
            return;
        };
        let before = endpoint.capacity();
        endpoint.lent = endpoint.lent.saturating_add_signed(lent);
        endpoint.borrowed = endpoint.borrowed.saturating_add_signed(borrowed);
        let after = endpoint.capacity();
        if let (true, Some(candidates)) =
            (endpoint.accepts, self.candidates.get_mut(endpoint.pool))
        {
            candidates.units = (candidates.units + after).saturating_sub(before);
        }
        self.update_candidacy(host, state);
    }

    /// Returns the endpoint of each free slot of a pool, without the first `kept` slots.
    ///
    /// Endpoints in the own zone come first.
    pub fn free_slots(&self, pool: PoolKey, kept: usize) -> Vec<HostKey> {
        let Some(candidates) = self.candidates.get(pool) else {
            return Vec::new();
        };
        let hosts = candidates
            .tier(Tier::SameZone)
            .iter()
            .chain(candidates.tier(Tier::OtherZone));
        let slots = hosts.flat_map(|&host| {
            let free = self.endpoints[host].free();
            std::iter::repeat_n(host, free as usize)
        });
        slots.skip(kept).collect()
    }

    /// Updates the slowness of an endpoint with the run time of a request and the
    /// expected one.
    pub fn observe(&mut self, host: HostKey, took: Duration, expected: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            endpoint.observe(took, expected);
        }
    }

    /// Updates the slowness of an endpoint with a failed request.
    pub fn observe_failure(&mut self, host: HostKey) {
        if let Some(endpoint) = self.endpoints.get_mut(host) {
            endpoint.observe_failure();
        }
    }

    /// Adds an endpoint to the candidates, moves it or removes it after a change of its
    /// load or health.
    pub fn update_candidacy(&mut self, host: HostKey, state: State) {
        let Some(endpoint) = self.endpoints.get(host) else {
            return;
        };
        let (pool, old) = (endpoint.pool, endpoint.position);
        let tier = tier_of(endpoint, state);
        if old.map(|position| position.tier) == tier {
            return;
        }
        let Some(candidates) = self.candidates.get_mut(pool) else {
            return;
        };
        let moved = old.and_then(|position| candidates.remove(position));
        let position = tier.map(|tier| candidates.push(tier, host));
        if let Some(moved) = moved {
            self.endpoints[moved].position = old;
        }
        self.endpoints[host].position = position;
    }

    /// Returns the pool that an endpoint belongs to.
    pub fn pool(&self, host: HostKey) -> Option<PoolKey> {
        self.endpoints.get(host).map(|endpoint| endpoint.pool)
    }

    /// Returns whether a pool is declared.
    pub fn knows_pool(&self, pool: PoolKey) -> bool {
        self.candidates.contains_key(pool)
    }

    /// Returns the total of this entry host's slots at the accepting endpoints of a pool.
    pub fn pool_units(&self, pool: PoolKey) -> u32 {
        self.candidates
            .get(pool)
            .map_or(0, |candidates| candidates.units)
    }

    /// Returns the number of hosts of a pool that accept work.
    pub fn accepting(&self, pool: PoolKey) -> u32 {
        self.candidates
            .get(pool)
            .map_or(0, |candidates| candidates.accepting)
    }

    /// Returns the number of hosts of a pool.
    pub fn declared(&self, pool: PoolKey) -> u32 {
        self.candidates
            .get(pool)
            .map_or(0, |candidates| candidates.declared)
    }

    /// Returns this entry host's slots at an endpoint, including borrowed and without
    /// lent ones.
    pub fn units(&self, host: HostKey) -> u32 {
        self.endpoints.get(host).map_or(0, Endpoint::capacity)
    }

    /// Returns the maximum number of connections that this entry host may open to an
    /// endpoint.
    pub fn connections(&self, host: HostKey) -> u32 {
        self.endpoints
            .get(host)
            .map_or(0, Endpoint::own_connections)
    }

    /// Returns the number of this entry host's requests that run at an endpoint.
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
        let first = self.sample(pool, tier, avoid)?;
        let second = self.sample(pool, tier, avoid)?;
        let better = self.endpoints[second].load() < self.endpoints[first].load();
        Some(if better { second } else { first })
    }

    /// Returns a random endpoint of the tier, or its successor if that one is to be
    /// avoided.
    fn sample(
        &mut self,
        pool: PoolKey,
        tier: Tier,
        avoid: Option<HostKey>,
    ) -> Option<HostKey> {
        let hosts = self.candidates.get(pool)?.tier(tier);
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

    fn divisible_endpoints(&self) -> BTreeMap<PoolKey, Vec<DivisibleEndpoint>> {
        let mut pools_by_name: BTreeMap<PoolKey, Vec<DivisibleEndpoint>> =
            BTreeMap::new();
        for &host in &self.hosts_by_name {
            let endpoint = &self.endpoints[host];
            let slots = match endpoint.accepts {
                true => endpoint.divisible_slots(),
                false => 0,
            };
            pools_by_name
                .entry(endpoint.pool)
                .or_default()
                .push(DivisibleEndpoint {
                    host,
                    zone: endpoint.zone,
                    slots,
                });
        }
        pools_by_name
    }
}

fn tier_of(endpoint: &Endpoint, state: State) -> Option<Tier> {
    if !endpoint.accepts || endpoint.free() == 0 {
        return None;
    }
    match state {
        State::Healthy if endpoint.same_zone => Some(Tier::SameZone),
        State::Healthy => Some(Tier::OtherZone),
        State::Probing(_) => (endpoint.running == 0).then_some(Tier::Probing),
        State::Ejected(_) => None,
    }
}
