//! Resizes pools by moving hosts between them.
//!
//! The load of queues comes in bursts at different times: each queue in turn needs
//! several times its mean capacity, and little in between. Hosts are moved to follow the
//! bursts. A pool grows as soon as its waiting and expected work doesn't fit, and gives
//! up an idle host once keeping it costs more than moving it away and back.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::hosts::{Host, HostState, Move, MoveOrder};
use super::{Command, Scheduler, SchedulerEvent, rank};
use crate::job::Record;
use crate::job::endpoint::Reachability;
use crate::time::Instant;

/// Length of the window over which arrivals are counted.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(1_000);

/// Time, in milliseconds, for which capacity is planned ahead. Moving a host takes most
/// of it.
const PLANNING_HORIZON_MS: u64 = 2_000;

/// Time that a host must be idle before it leaves its pool.
const MIN_IDLE_TIME: Duration = Duration::from_millis(400);

/// Share of a host's CPU that placement fills on average, in percent.
const FILL_PERCENT: u64 = 90;

/// Divisor for waiting work that is already late. A pool grows only for this fraction of
/// it, since late work earns little and can use capacity that other jobs leave.
const LATE_WORK_DIVISOR: u64 = 4;

/// Work that arrived recently, by pool.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    recent: BTreeMap<String, VecDeque<Arrival>>,
}

/// The work of one submitted job.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    /// Amount of work, in thousandths of a core times milliseconds.
    work: u64,
}

impl Arrivals {
    pub(super) fn record_job(&mut self, now: Instant, pool: &str, record: &Record) {
        let steps = record.spec.steps.iter().filter(|step| !step.long_running);
        let work = steps
            .map(|step| {
                let busy_ms = step.estimate_ms.min(PLANNING_HORIZON_MS);
                u64::from(step.count) * step.reserved().cpu * busy_ms
            })
            .sum();
        let recent = self.recent.entry(pool.to_owned()).or_default();
        recent.push_back(Arrival { at: now, work });
    }

    /// Registers a pool that an endpoint has joined.
    pub(super) fn register_pool(&mut self, pool: &str) {
        self.recent.entry(pool.to_owned()).or_default();
    }

    /// Returns the CPU that arrivals at the current rate keep busy, in thousandths of a
    /// core.
    fn rate(&mut self, now: Instant, pool: &str) -> u64 {
        let Some(recent) = self.recent.get_mut(pool) else {
            return 0;
        };
        while recent
            .front()
            .is_some_and(|arrival| now.saturating_since(arrival.at) > ARRIVAL_WINDOW)
        {
            recent.pop_front();
        }
        let work: u64 = recent.iter().map(|arrival| arrival.work).sum();
        work / u64::try_from(ARRIVAL_WINDOW.as_millis())
            .unwrap_or(1)
            .max(1)
    }
}

/// Whether a pool can use a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Availability {
    /// The host accepts work now.
    Serving,
    /// The host is about to join.
    Joining,
    /// The host has failed, is leaving or is in maintenance.
    Unavailable,
}

/// CPU that a pool needs and holds, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Balance {
    needed: u64,
    held: u64,
}

impl Balance {
    /// Returns the share of the needed CPU that the pool holds, in thousandths.
    const fn coverage_permille(self) -> u64 {
        if self.needed == 0 {
            return u64::MAX;
        }
        self.held * 1_000 / self.needed
    }
}

impl Scheduler {
    pub(super) fn resize_pools(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let mut balances = self.balances(now);
        self.grow(now, &mut balances, commands);
        self.shrink(now, &mut balances, commands);
    }

    fn balances(&mut self, now: Instant) -> BTreeMap<String, Balance> {
        let mut balances: BTreeMap<String, Balance> = BTreeMap::new();
        for pool in &self.configuration.pools {
            if !pool.standby {
                let expected = self.arrivals.rate(now, &pool.name);
                let needed = expected * 100 / FILL_PERCENT;
                balances.insert(pool.name.clone(), Balance { needed, held: 0 });
            }
        }
        let outstanding = self.outstanding(now);
        for (pool, cpu) in outstanding {
            if let Some(balance) = balances.get_mut(&pool) {
                balance.needed = balance.needed.max(cpu.transient * 100 / FILL_PERCENT);
                balance.needed += cpu.long_running;
            }
        }
        let mut joining: BTreeMap<String, u64> = BTreeMap::new();
        for host in self.hosts.list.values() {
            let pool = self
                .hosts
                .move_orders
                .get(&host.name)
                .map_or(&host.pool, |order| &order.pool);
            let Some(balance) = balances.get_mut(pool) else {
                continue;
            };
            match self.availability(host) {
                Availability::Serving => balance.held += host.capacity.cpu,
                Availability::Joining => {
                    balance.held += host.capacity.cpu;
                    *joining.entry(pool.clone()).or_default() += host.capacity.cpu;
                }
                Availability::Unavailable => {}
            }
        }
        for (pool, &cpu) in &self.unplaced_cpu {
            let joining = joining.get(pool).copied().unwrap_or(0);
            if let Some(balance) = balances.get_mut(pool) {
                let shortage = cpu.saturating_sub(joining);
                balance.needed = balance.needed.max(balance.held + shortage);
            }
        }
        balances
    }

    /// Returns whether the pool of a host can use it.
    fn availability(&self, host: &Host) -> Availability {
        if self.hosts.move_orders.contains_key(&host.name)
            || host.state == HostState::Moving
        {
            return Availability::Joining;
        }
        let endpoint = host
            .endpoint
            .as_ref()
            .and_then(|id| self.endpoints_by_id.get(id));
        let Some(endpoint) = endpoint.map(|&key| &self.endpoints[key]) else {
            return Availability::Unavailable;
        };
        let serves = host.state == HostState::Up
            && !endpoint.registration.draining
            && !endpoint.cordoned
            && !matches!(endpoint.reachability, Reachability::Unreachable(_));
        if serves {
            Availability::Serving
        } else {
            Availability::Unavailable
        }
    }

    /// Returns the CPU that unfinished jobs use now and need for the tasks that are
    /// ready, by pool.
    fn outstanding(&self, now: Instant) -> BTreeMap<String, Outstanding> {
        let mut outstanding: BTreeMap<String, Outstanding> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let pool = self.pool_of(&job.record).to_owned();
            let entry = outstanding.entry(pool).or_default();
            let late = rank::is_late(job, now);
            for (&index, occurrence) in &job.occurrences {
                for (position, step) in job.record.spec.steps.iter().enumerate() {
                    let group = &occurrence.groups[position];
                    let running = group.tasks.iter().filter(|task| !task.runs.is_empty());
                    let running = running.count() as u64;
                    let open = (group.tasks.len() - group.done) as u64;
                    let waiting = open.saturating_sub(running);
                    let waiting = if late {
                        waiting / LATE_WORK_DIVISOR
                    } else {
                        waiting
                    };
                    let cpu = (running + waiting) * step.reserved().cpu;
                    if step.long_running {
                        entry.long_running += cpu;
                    } else if job.is_ready(index, position) {
                        entry.transient += cpu;
                    }
                }
            }
        }
        outstanding
    }

    fn grow(
        &mut self,
        now: Instant,
        balances: &mut BTreeMap<String, Balance>,
        commands: &mut Vec<Command>,
    ) {
        loop {
            let short = balances
                .iter()
                .filter(|(_, balance)| balance.needed > balance.held)
                .min_by_key(|(_, balance)| balance.coverage_permille());
            let Some((pool, balance)) = short else {
                return;
            };
            let (pool, balance) = (pool.clone(), *balance);
            let Some(host) = self.find_spare_host(now, &pool, balances) else {
                return;
            };
            self.issue_move(now, &host, &pool, balance, balances, commands);
        }
    }

    /// Returns a host that can be moved to pool `to`, preferring hosts of standby pools.
    fn find_spare_host(
        &self,
        now: Instant,
        to: &str,
        balances: &BTreeMap<String, Balance>,
    ) -> Option<String> {
        let hosts = self.hosts.list.values().filter(|host| {
            host.pool != to
                && host.state == HostState::Up
                && self.hosts.accepts_orders(now, &host.name)
                && !self.is_awaiting_maintenance(&host.name)
        });
        let cut_off = self.cut_off_zones();
        hosts
            .filter(|host| !cut_off.contains(&host.zone.as_str()))
            .filter_map(|host| {
                let Some(balance) = balances.get(&host.pool) else {
                    return Some((0, host));
                };
                let spare = balance.held >= balance.needed + host.capacity.cpu;
                (spare && self.is_host_idle(now, host, Duration::ZERO))
                    .then_some((1, host))
            })
            .min_by_key(|&(cost, host)| (cost, host.name.clone()))
            .map(|(_, host)| host.name.clone())
    }

    /// Returns the zones in which most hosts don't answer. A host that moves there would
    /// be of no use.
    ///
    /// Endpoints without a host don't count, since they stay registered for a while after
    /// their hosts have moved.
    fn cut_off_zones(&self) -> Vec<&str> {
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for host in self.hosts.list.values() {
            let Some(key) = self.endpoint_of(&host.name) else {
                continue;
            };
            let (all, unreachable) = counts.entry(&host.zone).or_default();
            *all += 1;
            let reachability = self.endpoints[key].reachability;
            *unreachable +=
                usize::from(matches!(reachability, Reachability::Unreachable(_)));
        }
        let cut_off = counts
            .iter()
            .filter(|(_, (all, unreachable))| unreachable * 2 > *all);
        cut_off.map(|(zone, _)| *zone).collect()
    }

    fn shrink(
        &mut self,
        now: Instant,
        balances: &mut BTreeMap<String, Balance>,
        commands: &mut Vec<Command>,
    ) {
        let Some(standby) = self.configuration.pools.iter().find(|pool| pool.standby)
        else {
            return;
        };
        let standby = standby.name.clone();
        let idle: Vec<(String, String, u64)> = self
            .hosts
            .list
            .values()
            .filter(|host| {
                host.state == HostState::Up
                    && self.hosts.accepts_orders(now, &host.name)
                    && self.is_host_idle(now, host, MIN_IDLE_TIME)
            })
            .map(|host| (host.name.clone(), host.pool.clone(), host.capacity.cpu))
            .collect();
        for (host, pool, cpu) in idle {
            let Some(balance) = balances.get(&pool).copied() else {
                continue;
            };
            // The last host of a pool stays for the next job.
            if balance.held >= balance.needed.max(cpu) + cpu {
                self.issue_move(now, &host, &standby, balance, balances, commands);
            }
        }
    }

    fn issue_move(
        &mut self,
        now: Instant,
        host: &str,
        to: &str,
        balance: Balance,
        balances: &mut BTreeMap<String, Balance>,
        commands: &mut Vec<Command>,
    ) {
        let Some(known) = self.hosts.list.get(host) else {
            return;
        };
        let from = known.pool.clone();
        if let Some(source) = balances.get_mut(&from) {
            source.held = source.held.saturating_sub(known.capacity.cpu);
        }
        if let Some(destination) = balances.get_mut(to) {
            destination.held += known.capacity.cpu;
        }
        self.mark_leaving(host);
        self.hosts.move_orders.insert(
            host.to_owned(),
            MoveOrder {
                pool: to.to_owned(),
                at: now,
            },
        );
        self.events.push(SchedulerEvent::HostMoves {
            host: host.to_owned(),
            from,
            to: to.to_owned(),
            needed_cpu: balance.needed,
            held_cpu: balance.held,
        });
        commands.push(Command::Move(Move {
            host: host.to_owned(),
            pool: to.to_owned(),
        }));
    }
}

/// CPU that unfinished jobs need, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Outstanding {
    /// For tasks that end on their own.
    transient: u64,
    /// For long-running tasks.
    long_running: u64,
}
