//! The schedule of one pool: its budgets, the hosts that wait to be drained, and those
//! that are out of service.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::fleet::{Budget, Host, HostKey, PoolKey, ZoneKey};

/// Microseconds, as a duration or since the time of planning; [`NEVER`] if unbounded.
pub(super) type Micros = u64;

/// The end of an outage that isn't expected to end.
pub(super) const NEVER: Micros = Micros::MAX;

/// The index of a wave in the list of the snapshot.
pub(super) type WaveIndex = usize;

/// The schedule of the outages in one pool, for all waves together.
#[derive(Clone, Debug)]
pub(super) struct Schedule<'a> {
    pub(super) pool: PoolKey,
    budget: Budget,
    out: u32,
    zones: Vec<Zone>,
    racks: Vec<Rack<'a>>,
    zone_of: BTreeMap<ZoneKey, usize>,
    rack_of: BTreeMap<(ZoneKey, &'a str), usize>,
    failed: Vec<Task<'a>>,
    outages: BinaryHeap<Reverse<Outage>>,
    violations: u32,
}

/// A host that waits to be drained for a wave, with the expected duration of its outage.
#[derive(Clone, Copy, Debug)]
pub(super) struct Task<'a> {
    pub(super) key: HostKey,
    pub(super) host: &'a str,
    pub(super) wave: WaveIndex,
    pub(super) duration: Micros,
}

/// The outage of a host in one rack, with its expected end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Outage {
    pub(super) end: Micros,
    pub(super) wave: Option<WaveIndex>,
    rack: usize,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Zone {
    pub(super) key: ZoneKey,
    out: u32,
    load: Micros,
}

#[derive(Clone, Debug)]
struct Rack<'a> {
    name: &'a str,
    zone: usize,
    out: u32,
    load: Micros,
    waiting: Vec<Task<'a>>,
}

/// The constraint that gives the largest lower bound on the time a wave takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Constraint<'a> {
    Pool,
    Zone(ZoneKey),
    Rack(ZoneKey, &'a str),
    Host(&'a str),
}

impl<'a> Schedule<'a> {
    pub(super) fn new(pool: PoolKey, budget: Budget) -> Self {
        Self {
            pool,
            budget,
            out: 0,
            zones: Vec::new(),
            racks: Vec::new(),
            zone_of: BTreeMap::new(),
            rack_of: BTreeMap::new(),
            failed: Vec::new(),
            outages: BinaryHeap::new(),
            violations: 0,
        }
    }

    /// Adds a serving host that waits to be drained.
    pub(super) fn add(&mut self, host: &'a Host, task: Task<'a>) {
        let rack = self.rack(host);
        self.add_load(rack, task.duration);
        self.racks[rack].waiting.push(task);
    }

    /// Adds a failed host that waits to be drained; it is already out of service.
    pub(super) fn add_failed(&mut self, task: Task<'a>) {
        self.failed.push(task);
    }

    /// Adds a host that is out of service.
    pub(super) fn add_outage(
        &mut self,
        host: &'a Host,
        end: Micros,
        wave: Option<WaveIndex>,
    ) {
        let rack = self.rack(host);
        self.occupy(rack);
        self.outages.push(Reverse(Outage { end, wave, rack }));
    }

    /// Sorts the waiting hosts of each rack by duration. Call it once, after the last
    /// host was added.
    pub(super) fn sort(&mut self) {
        for rack in &mut self.racks {
            rack.waiting
                .sort_by_key(|task| (task.duration, Reverse(task.host)));
        }
    }

    /// Removes and returns the next host that may be drained within the budgets; `None`
    /// if there is none, or while a budget of the pool is exceeded.
    ///
    /// Failed hosts come first. Then comes the rack that, with its own budget or that of
    /// its zone, needs the most time for its remaining work, since it would be the last
    /// to finish. Within a rack, the host with the longest outage comes first.
    pub(super) fn pick(&mut self) -> Option<Task<'a>> {
        if self.violations > 0 {
            return None;
        }
        if let Some(task) = self.failed.pop() {
            return Some(task);
        }
        if self.out >= self.budget.max_out {
            return None;
        }
        let rack = (0..self.racks.len())
            .filter(|&rack| self.has_capacity(rack))
            .max_by_key(|&rack| (self.urgency(rack), Reverse(rack)))?;
        let task = self.racks[rack].waiting.pop()?;
        self.remove_load(rack, task.duration);
        self.occupy(rack);
        Some(task)
    }

    /// Starts the outage of a host that was picked, at `now`.
    pub(super) fn start_outage(&mut self, host: &'a Host, task: Task<'a>, now: Micros) {
        let rack = self.rack(host);
        let end = now.saturating_add(task.duration);
        let wave = Some(task.wave);
        self.outages.push(Reverse(Outage { end, wave, rack }));
    }

    /// Ends the outage that is the next to end, and returns it.
    pub(super) fn finish_next_outage(&mut self) -> Option<Outage> {
        let Reverse(outage) = self.outages.pop()?;
        self.release(outage.rack);
        Some(outage)
    }

    /// Returns the wave of each waiting host; a wave may occur several times.
    pub(super) fn waves_waiting(&self) -> impl Iterator<Item = WaveIndex> {
        let serving = self.racks.iter().flat_map(|rack| &rack.waiting);
        serving.chain(&self.failed).map(|task| task.wave)
    }

    /// Returns a lower bound on the time that the waiting hosts of a wave take in any
    /// order, and the constraint that gives it; `None` if no serving host waits.
    pub(super) fn lower_bound(
        &self,
        wave: WaveIndex,
    ) -> Option<(Micros, Constraint<'a>)> {
        let mut zones = vec![0; self.zones.len()];
        let mut total = 0;
        let mut constraint = (0, Constraint::Pool);
        let mut raise = |duration: Micros, of: Constraint<'a>| {
            if duration > constraint.0 {
                constraint = (duration, of);
            }
        };
        for rack in &self.racks {
            let own = rack.waiting.iter().filter(|task| task.wave == wave);
            let load: Micros = own.clone().map(|task| task.duration).sum();
            zones[rack.zone] += load;
            total += load;
            let zone = self.zones[rack.zone].key;
            let parallelism = self.budget.max_out_per_rack;
            raise(
                divide_load(load, parallelism),
                Constraint::Rack(zone, rack.name),
            );
            if let Some(task) = own.max_by_key(|task| task.duration) {
                raise(task.duration, Constraint::Host(task.host));
            }
        }
        for (zone, load) in self.zones.iter().zip(zones) {
            let parallelism = self.budget.max_out_per_zone;
            raise(divide_load(load, parallelism), Constraint::Zone(zone.key));
        }
        raise(divide_load(total, self.budget.max_out), Constraint::Pool);
        (constraint.0 > 0).then_some(constraint)
    }

    /// Removes the waiting hosts that have failed, since their outage has already begun.
    pub(super) fn clear_failed(&mut self) {
        self.failed.clear();
    }

    fn has_capacity(&self, rack: usize) -> bool {
        let rack = &self.racks[rack];
        !rack.waiting.is_empty()
            && rack.out < self.budget.max_out_per_rack
            && self.zones[rack.zone].out < self.budget.max_out_per_zone
    }

    fn urgency(&self, rack: usize) -> (Micros, Micros) {
        let rack = &self.racks[rack];
        let zone = divide_load(
            self.zones[rack.zone].load,
            self.budget.max_out_per_zone.min(self.budget.max_out),
        );
        let own = divide_load(
            rack.load,
            self.budget.max_out_per_rack.min(self.budget.max_out),
        );
        let longest = rack.waiting.last().map_or(0, |task| task.duration);
        (zone.max(own), longest)
    }

    fn rack(&mut self, host: &'a Host) -> usize {
        let location = (host.zone, host.rack.as_str());
        if let Some(&rack) = self.rack_of.get(&location) {
            return rack;
        }
        let zones = &mut self.zones;
        let zone = *self.zone_of.entry(host.zone).or_insert_with(|| {
            zones.push(Zone {
                key: host.zone,
                out: 0,
                load: 0,
            });
            zones.len() - 1
        });
        self.racks.push(Rack {
            name: &host.rack,
            zone,
            out: 0,
            load: 0,
            waiting: Vec::new(),
        });
        self.rack_of.insert(location, self.racks.len() - 1);
        self.racks.len() - 1
    }

    fn add_load(&mut self, rack: usize, duration: Micros) {
        self.zones[self.racks[rack].zone].load += duration;
        self.racks[rack].load += duration;
    }

    fn remove_load(&mut self, rack: usize, duration: Micros) {
        self.zones[self.racks[rack].zone].load -= duration;
        self.racks[rack].load -= duration;
    }

    fn occupy(&mut self, rack: usize) {
        self.out += 1;
        self.zones[self.racks[rack].zone].out += 1;
        self.racks[rack].out += 1;
        self.count_violations(rack);
    }

    fn release(&mut self, rack: usize) {
        self.out -= 1;
        self.zones[self.racks[rack].zone].out -= 1;
        self.racks[rack].out -= 1;
        self.violations = 0;
        for rack in 0..self.racks.len() {
            self.count_violations(rack);
        }
    }

    fn count_violations(&mut self, rack: usize) {
        let rack = &self.racks[rack];
        let is_exceeded = self.out > self.budget.max_out
            || rack.out > self.budget.max_out_per_rack
            || self.zones[rack.zone].out > self.budget.max_out_per_zone;
        self.violations += u32::from(is_exceeded);
    }
}

/// Returns the time that `load` takes if `parallelism` hosts are out of service at once.
fn divide_load(load: Micros, parallelism: u32) -> Micros {
    match (load, parallelism) {
        (0, _) => 0,
        (_, 0) => NEVER,
        (load, parallelism) => load.div_ceil(Micros::from(parallelism)),
    }
}
