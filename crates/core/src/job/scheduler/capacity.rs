//! Resizes pools by moving hosts between them.
//!
//! The load of queues comes in bursts at different times: each queue in turn needs
//! several times its mean capacity, and little in between. Hosts are moved to follow the
//! bursts. A pool grows as soon as its waiting and expected work doesn't fit, and gives
//! up an idle host once keeping it costs more than moving it away and back.

use std::collections::BTreeMap;
use std::time::Duration;

use super::balance::{Balance, Scope};
use super::hosts::{Host, HostState, Move, MoveOrder};
use super::rank::{self, Class};
use super::{Command, Scheduler, SchedulerEvent};
use crate::job::Resource;
use crate::job::endpoint::Reachability;
use crate::time::Instant;

/// Time that a host must be idle before it leaves its pool.
const MIN_IDLE_TIME: Duration = Duration::from_millis(400);

/// Share of a host's capacity that placement fills on average, in percent.
const FILL_PERCENT: u64 = 90;

/// Divisor for waiting work that is already late. A pool grows only for this fraction of
/// it, since late work earns little and can use capacity that other jobs leave.
const LATE_WORK_DIVISOR: u64 = 4;

/// Whether a pool can use a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Availability {
    /// The host accepts work now.
    Serving,
    /// The host is about to join.
    Joining,
    /// The host has failed, is leaving, is in maintenance or in an evacuated zone.
    Unavailable,
}

impl Scheduler {
    pub(super) fn resize_pools(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let mut balances = self.balances(now);
        self.grow(now, Scope::InTime, &mut balances, commands);
        self.grow(now, Scope::All, &mut balances, commands);
        self.vacate_hosts(now, &balances);
        self.shrink(now, &mut balances, commands);
    }

    /// Returns what each pool needs and holds, except for standby pools.
    fn balances(&mut self, now: Instant) -> BTreeMap<String, Balance> {
        let mut balances = self.expected_needs(now);
        for (pool, outstanding) in self.outstanding(now) {
            if let Some(balance) = balances.get_mut(&pool) {
                let transient = with_unfilled_share(&outstanding.transient);
                balance.needed = balance.needed.max(&transient);
                balance.needed.add(&outstanding.long_running);
                let in_time = with_unfilled_share(&outstanding.in_time);
                balance.needed_in_time = balance.needed_in_time.max(&in_time);
                balance.needed_in_time.add(&outstanding.long_running);
                balance.firm = with_unfilled_share(&outstanding.running);
                balance.firm.add(&outstanding.long_running);
            }
        }
        let joining = self.count_hosts(&mut balances);
        for (pool, &unplaced) in &self.unplaced {
            if let Some(balance) = balances.get_mut(pool) {
                let joining = joining.get(pool).copied().unwrap_or_default();
                let mut needed = unplaced;
                needed.subtract(&joining);
                needed.add(&balance.held);
                balance.raise(&needed);
            }
        }
        self.limit_to_fleet(&mut balances);
        balances
    }

    /// Returns what each pool needs for the jobs that are expected to arrive.
    fn expected_needs(&mut self, now: Instant) -> BTreeMap<String, Balance> {
        let pools = self.configuration.pools.iter().filter(|pool| !pool.standby);
        pools
            .map(|pool| {
                let expected = self.arrivals.expected(now, &pool.name);
                let mut balance = Balance::default();
                balance.raise(&with_unfilled_share(&expected));
                (pool.name.clone(), balance)
            })
            .collect()
    }

    /// Adds the capacity of hosts to what their pools hold, and returns the part of it that
    /// is about to join, by pool.
    fn count_hosts(
        &self,
        balances: &mut BTreeMap<String, Balance>,
    ) -> BTreeMap<String, Resource> {
        let mut joining: BTreeMap<String, Resource> = BTreeMap::new();
        for host in self.hosts.list.values() {
            let order = self.hosts.move_orders.get(&host.name);
            let pool = order.map_or(&host.pool, |order| &order.pool);
            let Some(balance) = balances.get_mut(pool) else {
                continue;
            };
            match self.availability(host) {
                Availability::Serving => balance.held.add(&host.capacity),
                Availability::Joining => {
                    balance.held.add(&host.capacity);
                    joining.entry(pool.clone()).or_default().add(&host.capacity);
                }
                Availability::Unavailable => {}
            }
        }
        joining
    }

    /// Returns whether the pool of a host can use it.
    fn availability(&self, host: &Host) -> Availability {
        if self.is_zone_evacuated(&host.zone) {
            return Availability::Unavailable;
        }
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

    /// Returns the capacity that unfinished jobs use now and need for the tasks that are
    /// ready, by pool.
    fn outstanding(&self, now: Instant) -> BTreeMap<String, Outstanding> {
        let mut outstanding: BTreeMap<String, Outstanding> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let pool = job.pool.clone();
            let entry = outstanding.entry(pool).or_default();
            let class = rank::rank(job, now).class;
            let late = class == Class::Late;
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
                    let reserved = step.reserved().times(running + waiting);
                    if step.long_running {
                        entry.long_running.add(&reserved);
                    } else if job.is_ready(index, position) {
                        entry.transient.add(&reserved);
                        if class == Class::InTime {
                            entry.in_time.add(&reserved);
                            entry.running.add(&step.reserved().times(running));
                        }
                    }
                }
            }
        }
        outstanding
    }

    fn grow(
        &mut self,
        now: Instant,
        scope: Scope,
        balances: &mut BTreeMap<String, Balance>,
        commands: &mut Vec<Command>,
    ) {
        loop {
            let short = balances
                .iter()
                .filter(|(_, balance)| balance.is_short(scope))
                .min_by_key(|(_, balance)| balance.coverage_permille(scope));
            let Some((pool, balance)) = short else {
                return;
            };
            if self.hosts.order_rate.available(now) == 0 {
                return;
            }
            let (pool, balance) = (pool.clone(), *balance);
            let Some(host) = self.find_spare_host(now, scope, &pool, balances) else {
                return;
            };
            self.issue_move(now, &host, &pool, balance, balances, commands);
        }
    }

    /// Returns a host that can be moved to pool `to`, preferring hosts of standby pools.
    fn find_spare_host(
        &self,
        now: Instant,
        scope: Scope,
        to: &str,
        balances: &BTreeMap<String, Balance>,
    ) -> Option<String> {
        let hosts = self.hosts.list.values().filter(|host| {
            host.pool != to
                && host.state == HostState::Up
                && self.hosts.accepts_orders(now, &host.name)
                && !self.is_awaiting_maintenance(&host.name)
        });
        let unusable = self.unusable_zones();
        hosts
            .filter(|host| !unusable.contains(host.zone.as_str()))
            .filter_map(|host| {
                let Some(balance) = balances.get(&host.pool) else {
                    return Some((0, host));
                };
                (balance.can_spare(scope, &host.capacity)
                    && self.is_host_idle(now, host, Duration::ZERO))
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
    pub(super) fn cut_off_zones(&self) -> Vec<&str> {
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
        let idle: Vec<(String, String, Resource)> = self
            .hosts
            .list
            .values()
            .filter(|host| {
                host.state == HostState::Up
                    && !self.is_zone_evacuated(&host.zone)
                    && self.hosts.accepts_orders(now, &host.name)
                    && self.is_host_idle(now, host, MIN_IDLE_TIME)
            })
            .map(|host| (host.name.clone(), host.pool.clone(), host.capacity))
            .collect();
        let available = self.hosts.order_rate.available(now);
        for (host, pool, capacity) in idle.into_iter().take(available) {
            let Some(balance) = balances.get(&pool).copied() else {
                continue;
            };
            // The last host of a pool stays for the next job.
            let needed = balance.needed.max(&capacity);
            if (Balance { needed, ..balance }).can_spare(Scope::All, &capacity) {
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
            source.held.subtract(&known.capacity);
        }
        if let Some(destination) = balances.get_mut(to) {
            destination.held.add(&known.capacity);
        }
        self.mark_leaving(host);
        self.hosts.order_rate.record(now);
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
            needed: balance.needed,
            held: balance.held,
        });
        commands.push(Command::Move(Move {
            host: host.to_owned(),
            pool: to.to_owned(),
        }));
    }
}

/// Returns the capacity that a pool must hold for tasks that need `amount`.
const fn with_unfilled_share(amount: &Resource) -> Resource {
    Resource {
        cpu: amount.cpu.saturating_mul(100) / FILL_PERCENT,
        memory_mb: amount.memory_mb.saturating_mul(100) / FILL_PERCENT,
        gpu: amount.gpu.saturating_mul(100) / FILL_PERCENT,
    }
}

/// Capacity that unfinished jobs need.
#[derive(Clone, Copy, Debug, Default)]
struct Outstanding {
    /// For tasks that end on their own.
    transient: Resource,
    /// The part of `transient` for jobs that can still meet their deadlines.
    in_time: Resource,
    /// The part of `in_time` for running tasks.
    running: Resource,
    /// For long-running tasks.
    long_running: Resource,
}
