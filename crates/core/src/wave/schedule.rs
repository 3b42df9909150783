//! One pool's part of the waves: hosts that wait, hosts that are out, and the budgets.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::fleet::{Budget, Host, HostKey, PoolKey, ZoneKey};

/// Microseconds from the moment of planning; `NEVER` when there is no end in sight.
pub(super) type Micros = u64;

/// The end of an outage that nothing ends.
pub(super) const NEVER: Micros = Micros::MAX;

/// Waves, by position in the snapshot.
pub(super) type WaveIndex = usize;

/// One pool's part of the waves.
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

/// A host that waits for its turn.
#[derive(Clone, Copy, Debug)]
pub(super) struct Task<'a> {
    pub(super) key: HostKey,
    pub(super) host: &'a str,
    pub(super) wave: WaveIndex,
    pub(super) span: Micros,
}

/// A host that is out of service until some time.
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

/// The part of a schedule that takes longest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Tightest<'a> {
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

    /// Adds a host that serves and waits for its turn.
    pub(super) fn add(&mut self, host: &'a Host, task: Task<'a>) {
        let rack = self.rack(host);
        self.add_load(rack, task.span);
        self.racks[rack].waiting.push(task);
    }

    /// Adds a failed host that waits for its turn; it is out of service as it is.
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

    /// Orders the waiting hosts; call once after the last one was added.
    pub(super) fn sort(&mut self) {
        for rack in &mut self.racks {
            rack.waiting
                .sort_by_key(|task| (task.span, Reverse(task.host)));
        }
    }

    /// Takes the next host that may leave.
    ///
    /// The rack with the most work left for its budget, or for that of its zone, goes
    /// first, since it would be the last to finish; within it the longest outage.
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
            .filter(|&rack| self.is_open(rack))
            .max_by_key(|&rack| (self.urgency(rack), Reverse(rack)))?;
        let task = self.racks[rack].waiting.pop()?;
        self.remove_load(rack, task.span);
        self.occupy(rack);
        Some(task)
    }

    /// Lets a host that was picked be out of service from `now` on.
    pub(super) fn begin(&mut self, host: &'a Host, task: Task<'a>, now: Micros) {
        let rack = self.rack(host);
        let end = now.saturating_add(task.span);
        let wave = Some(task.wave);
        self.outages.push(Reverse(Outage { end, wave, rack }));
    }

    /// Brings the next host back into service.
    pub(super) fn end_next(&mut self) -> Option<Outage> {
        let Reverse(outage) = self.outages.pop()?;
        self.release(outage.rack);
        Some(outage)
    }

    /// Returns the waves of the hosts that still wait.
    pub(super) fn waves_waiting(&self) -> impl Iterator<Item = WaveIndex> {
        let serving = self.racks.iter().flat_map(|rack| &rack.waiting);
        serving.chain(&self.failed).map(|task| task.wave)
    }

    /// Returns the least time that a wave's waiting hosts take in any order, and the part
    /// of the pool that says so; `None` when none waits.
    pub(super) fn bound(&self, wave: WaveIndex) -> Option<(Micros, Tightest<'a>)> {
        let mut zones = vec![0; self.zones.len()];
        let mut total = 0;
        let mut tightest = (0, Tightest::Pool);
        let mut raise = |span: Micros, of: Tightest<'a>| {
            if span > tightest.0 {
                tightest = (span, of);
            }
        };
        for rack in &self.racks {
            let own = rack.waiting.iter().filter(|task| task.wave == wave);
            let load: Micros = own.clone().map(|task| task.span).sum();
            zones[rack.zone] += load;
            total += load;
            let zone = self.zones[rack.zone].key;
            let width = self.budget.max_out_per_rack;
            raise(per(load, width), Tightest::Rack(zone, rack.name));
            if let Some(task) = own.max_by_key(|task| task.span) {
                raise(task.span, Tightest::Host(task.host));
            }
        }
        for (zone, load) in self.zones.iter().zip(zones) {
            let width = self.budget.max_out_per_zone;
            raise(per(load, width), Tightest::Zone(zone.key));
        }
        raise(per(total, self.budget.max_out), Tightest::Pool);
        (tightest.0 > 0).then_some(tightest)
    }

    /// Forgets the failed hosts that wait: their outage is under way as it is.
    pub(super) fn skip_failed(&mut self) {
        self.failed.clear();
    }

    fn is_open(&self, rack: usize) -> bool {
        let rack = &self.racks[rack];
        !rack.waiting.is_empty()
            && rack.out < self.budget.max_out_per_rack
            && self.zones[rack.zone].out < self.budget.max_out_per_zone
    }

    fn urgency(&self, rack: usize) -> (Micros, Micros) {
        let rack = &self.racks[rack];
        let zone = per(
            self.zones[rack.zone].load,
            self.budget.max_out_per_zone.min(self.budget.max_out),
        );
        let own = per(
            rack.load,
            self.budget.max_out_per_rack.min(self.budget.max_out),
        );
        let longest = rack.waiting.last().map_or(0, |task| task.span);
        (zone.max(own), longest)
    }

    fn rack(&mut self, host: &'a Host) -> usize {
        let place = (host.zone, host.rack.as_str());
        if let Some(&rack) = self.rack_of.get(&place) {
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
        self.rack_of.insert(place, self.racks.len() - 1);
        self.racks.len() - 1
    }

    fn add_load(&mut self, rack: usize, span: Micros) {
        self.zones[self.racks[rack].zone].load += span;
        self.racks[rack].load += span;
    }

    fn remove_load(&mut self, rack: usize, span: Micros) {
        self.zones[self.racks[rack].zone].load -= span;
        self.racks[rack].load -= span;
    }

    fn occupy(&mut self, rack: usize) {
        self.out += 1;
        self.zones[self.racks[rack].zone].out += 1;
        self.racks[rack].out += 1;
        self.count_overdrafts(rack);
    }

    fn release(&mut self, rack: usize) {
        self.out -= 1;
        self.zones[self.racks[rack].zone].out -= 1;
        self.racks[rack].out -= 1;
        self.violations = 0;
        for rack in 0..self.racks.len() {
            self.count_overdrafts(rack);
        }
    }

    fn count_overdrafts(&mut self, rack: usize) {
        let rack = &self.racks[rack];
        let is_over = self.out > self.budget.max_out
            || rack.out > self.budget.max_out_per_rack
            || self.zones[rack.zone].out > self.budget.max_out_per_zone;
        self.violations += u32::from(is_over);
    }
}

/// Returns the time that `load` takes when `width` hosts are out at once.
fn per(load: Micros, width: u32) -> Micros {
    match (load, width) {
        (0, _) => 0,
        (_, 0) => NEVER,
        (load, width) => load.div_ceil(Micros::from(width)),
    }
}
