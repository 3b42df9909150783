//! Resizes pools by moving hosts between them.
//!
//! The load of queues comes in bursts at different times: each queue in turn needs
//! several times its mean capacity, and little in between. Hosts are moved to follow the
//! bursts. A pool grows as soon as its waiting and expected work doesn't fit, and gives
//! up an idle host once keeping it costs more than moving it away and back.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::hosts::{Host, HostState, Move, Ordered};
use super::{Command, Note, Scheduler, rank};
use crate::job::Record;
use crate::job::endpoint::Contact;
use crate::time::Instant;

/// Length of the window over which arrivals are counted.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(1_000);

/// Time, in milliseconds, for which capacity is planned ahead. Moving a host takes most
/// of it.
const HORIZON_MS: u64 = 2_000;

/// Time that a host must be idle before it leaves its pool.
const IDLE_TIME: Duration = Duration::from_millis(400);

/// Share of a host's CPU that placement fills on average, in percent.
const FILL_PERCENT: u64 = 90;

/// Divisor for waiting work that is already late. A pool grows only for this fraction of
/// it, since late work earns little and can use capacity that other jobs leave.
const LATE_DIVISOR: u64 = 4;

/// Work that arrived recently, by pool.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    recent: BTreeMap<String, VecDeque<Arrival>>,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    /// Amount of work, in thousandths of a core times milliseconds.
    work: u64,
}

impl Arrivals {
    pub(super) fn job_came(&mut self, now: Instant, pool: &str, record: &Record) {
        let steps = record.spec.steps.iter().filter(|step| !step.long_running);
        let work = steps
            .map(|step| {
                let busy_ms = step.estimate_ms.min(HORIZON_MS);
                u64::from(step.count) * step.reserved().cpu * busy_ms
            })
            .sum();
        let recent = self.recent.entry(pool.to_owned()).or_default();
        recent.push_back(Arrival { at: now, work });
    }

    /// Registers a pool that an endpoint has joined.
    pub(super) fn host_came(&mut self, pool: &str) {
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
enum Outlook {
    /// The host accepts work now.
    Serves,
    /// The host is about to join.
    Comes,
    /// The host has failed, is leaving or is in maintenance.
    Absent,
}

/// CPU that a pool needs and holds, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Balance {
    needed: u64,
    held: u64,
}

impl Balance {
    /// Returns the share of the needed CPU that the pool holds, in thousandths.
    const fn cover_permille(self) -> u64 {
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
                balance.needed += cpu.lasting;
            }
        }
        let mut coming: BTreeMap<String, u64> = BTreeMap::new();
        for host in self.hosts.list.values() {
            let pool = self
                .hosts
                .ordered
                .get(&host.name)
                .map_or(&host.pool, |order| &order.pool);
            let Some(balance) = balances.get_mut(pool) else {
                continue;
            };
            match self.outlook(host) {
                Outlook::Serves => balance.held += host.capacity.cpu,
                Outlook::Comes => {
                    balance.held += host.capacity.cpu;
                    *coming.entry(pool.clone()).or_default() += host.capacity.cpu;
                }
                Outlook::Absent => {}
            }
        }
        for (pool, &cpu) in &self.unplaced {
            let coming = coming.get(pool).copied().unwrap_or(0);
            if let Some(balance) = balances.get_mut(pool) {
                let short = cpu.saturating_sub(coming);
                balance.needed = balance.needed.max(balance.held + short);
            }
        }
        balances
    }

    /// Returns whether the pool of a host can use it.
    fn outlook(&self, host: &Host) -> Outlook {
        if self.hosts.ordered.contains_key(&host.name) || host.state == HostState::Moving
        {
            return Outlook::Comes;
        }
        let endpoint = host.endpoint.as_ref().and_then(|id| self.by_id.get(id));
        let Some(endpoint) = endpoint.map(|&key| &self.endpoints[key]) else {
            return Outlook::Absent;
        };
        let serves = host.state == HostState::Up
            && !endpoint.report.draining
            && !endpoint.emptying
            && !matches!(endpoint.contact, Contact::Lost(_));
        if serves {
            Outlook::Serves
        } else {
            Outlook::Absent
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
                for (place, step) in job.record.spec.steps.iter().enumerate() {
                    let group = &occurrence.groups[place];
                    let running = group.tasks.iter().filter(|task| !task.runs.is_empty());
                    let running = running.count() as u64;
                    let open = (group.tasks.len() - group.done) as u64;
                    let waiting = open.saturating_sub(running);
                    let waiting = if late {
                        waiting / LATE_DIVISOR
                    } else {
                        waiting
                    };
                    let cpu = (running + waiting) * step.reserved().cpu;
                    if step.long_running {
                        entry.lasting += cpu;
                    } else if job.is_ready(index, place) {
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
                .min_by_key(|(_, balance)| balance.cover_permille());
            let Some((pool, balance)) = short else {
                return;
            };
            let (pool, balance) = (pool.clone(), *balance);
            let Some(host) = self.lendable(now, &pool, balances) else {
                return;
            };
            self.order_move(now, &host, &pool, balance, balances, commands);
        }
    }

    /// Returns a host that can be moved to pool `to`, preferring hosts of standby pools.
    fn lendable(
        &self,
        now: Instant,
        to: &str,
        balances: &BTreeMap<String, Balance>,
    ) -> Option<String> {
        let hosts = self.hosts.list.values().filter(|host| {
            host.pool != to
                && host.state == HostState::Up
                && self.hosts.is_free(now, &host.name)
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
            let (all, lost) = counts.entry(&host.zone).or_default();
            *all += 1;
            let contact = self.endpoints[key].contact;
            *lost += usize::from(matches!(contact, Contact::Lost(_)));
        }
        let cut_off = counts.iter().filter(|(_, (all, lost))| lost * 2 > *all);
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
                    && self.hosts.is_free(now, &host.name)
                    && self.is_host_idle(now, host, IDLE_TIME)
            })
            .map(|host| (host.name.clone(), host.pool.clone(), host.capacity.cpu))
            .collect();
        for (host, pool, cpu) in idle {
            let Some(balance) = balances.get(&pool).copied() else {
                continue;
            };
            // The last host of a pool stays for the next job.
            if balance.held >= balance.needed.max(cpu) + cpu {
                self.order_move(now, &host, &standby, balance, balances, commands);
            }
        }
    }

    fn order_move(
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
        if let Some(giver) = balances.get_mut(&from) {
            giver.held = giver.held.saturating_sub(known.capacity.cpu);
        }
        if let Some(taker) = balances.get_mut(to) {
            taker.held += known.capacity.cpu;
        }
        self.mark_leaving(host);
        self.hosts.ordered.insert(
            host.to_owned(),
            Ordered {
                pool: to.to_owned(),
                at: now,
            },
        );
        self.notes.push(Note::HostMoves {
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
    lasting: u64,
}
