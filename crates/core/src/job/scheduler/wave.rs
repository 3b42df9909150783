//! Waves of maintenance: each host of a wave is maintained in time, and a limited number
//! of hosts at once.
//!
//! Idle hosts come first. Other hosts are drained, those with the least work first, and
//! long-running tasks are moved off them one at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::hosts::HostState;
use super::{Command, Scheduler, SchedulerEvent};
use crate::job::endpoint::Reachability;
use crate::job::live::Task;
use crate::job::run::Phase;
use crate::job::{EndpointKey, RunKey, TaskRef};
use crate::time::Instant;

/// Minimum number of hosts that are drained at once, in addition to those in maintenance,
/// as far as the wave's limit allows.
const MIN_DRAINING: usize = 3;

/// Time that it takes to drain a host: its tasks end, and long-running ones move one by
/// one.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Time before the end of a wave by which the last host should start to drain. It allows
/// for the maintenance itself and for a change of leader.
const WAVE_MARGIN: Duration = Duration::from_secs(5);

/// Time after which an order without an effect is sent again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// A wave of maintenance, as requested by operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Number that identifies the wave.
    pub number: u64,
    /// Names of the hosts to maintain.
    pub hosts: Vec<String>,
    /// Time within which every host should be maintained.
    pub duration: Duration,
    /// Maximum number of hosts in maintenance at once.
    pub max_at_once: usize,
}

/// State of a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveState {
    /// At least one host hasn't started its maintenance.
    Running,
    /// Every host that still exists has started its maintenance.
    Completed,
}

/// An order to begin the maintenance of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Maintenance {
    /// Name of the host.
    pub host: String,
    /// Number of the wave.
    pub wave: u64,
}

/// Progress of a wave, for the next leader.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaveProgress {
    /// Hosts whose maintenance has started or is complete.
    pub done: BTreeSet<String>,
    /// Time since the wave was first seen.
    pub age: Duration,
}

/// Waves in progress.
#[derive(Debug, Default)]
pub(super) struct Waves {
    open: BTreeMap<u64, OpenWave>,
    completed: BTreeSet<u64>,
    /// Hosts that are drained for their maintenance.
    draining: BTreeSet<String>,
    /// When the maintenance of each host last started.
    maintenance_started_at: BTreeMap<String, Instant>,
}

/// A wave in progress.
#[derive(Debug)]
struct OpenWave {
    wave: Wave,
    /// Hosts whose maintenance has started or is complete.
    done: BTreeSet<String>,
    /// Hosts whose maintenance was ordered without an answer so far, and the time of the
    /// order.
    ordered: BTreeMap<String, Instant>,
    /// Whether the wave has been reported to the store in this term.
    reported: bool,
    /// Time by which the wave should be complete.
    ends_at: Instant,
    /// When the wave was first seen.
    since: Instant,
}

impl Scheduler {
    /// Adds a wave that operators requested, with its progress under earlier leaders.
    pub fn add_wave(&mut self, now: Instant, wave: Wave, progress: WaveProgress) {
        if self.waves.completed.contains(&wave.number)
            || self.waves.open.contains_key(&wave.number)
        {
            return;
        }
        let since = now.saturating_sub(progress.age);
        let open = OpenWave {
            done: progress.done,
            ends_at: since + wave.duration,
            since,
            ordered: BTreeMap::new(),
            reported: false,
            wave,
        };
        self.waves.open.insert(open.wave.number, open);
    }

    /// Records that a wave was reported as completed.
    pub fn complete_wave(&mut self, number: u64) {
        self.waves.open.remove(&number);
        self.waves.completed.insert(number);
    }

    /// Records that the maintenance of a host has begun.
    pub fn maintenance_begun(&mut self, now: Instant, host: &str, wave: u64) {
        if let Some(open) = self.waves.open.get_mut(&wave) {
            open.ordered.remove(host);
            open.done.insert(host.to_owned());
        }
        self.waves
            .maintenance_started_at
            .insert(host.to_owned(), now);
        self.handle_host_order_accepted(now, host);
    }

    /// Records that an order for the maintenance of a host had no effect.
    pub fn maintenance_refused(&mut self, host: &str, wave: u64) {
        if let Some(open) = self.waves.open.get_mut(&wave) {
            open.ordered.remove(host);
        }
    }

    /// Returns the progress of a wave.
    pub fn wave_progress(&self, now: Instant, wave: u64) -> WaveProgress {
        let open = self.waves.open.get(&wave);
        open.map_or_else(WaveProgress::default, |open| WaveProgress {
            done: open.done.clone(),
            age: now.saturating_since(open.since),
        })
    }

    /// Returns whether a host is part of a wave and its maintenance hasn't started.
    pub(super) fn is_awaiting_maintenance(&self, host: &str) -> bool {
        self.waves.open.values().any(|open| {
            !open.done.contains(host) && open.wave.hosts.iter().any(|name| name == host)
        })
    }

    pub(super) fn schedule_waves(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if self.hosts.list.is_empty() {
            return;
        }
        let numbers: Vec<u64> = self.waves.open.keys().copied().collect();
        for number in numbers {
            self.report_wave(number, commands);
            self.schedule_wave(now, number, commands);
        }
        self.evacuate(now);
    }

    fn report_wave(&mut self, number: u64, commands: &mut Vec<Command>) {
        let open = &self.waves.open[&number];
        let exists = |host: &&String| self.hosts.list.contains_key(*host);
        let complete = open
            .wave
            .hosts
            .iter()
            .filter(exists)
            .all(|host| open.done.contains(host));
        let state = if complete {
            WaveState::Completed
        } else if open.reported {
            return;
        } else {
            WaveState::Running
        };
        let wave = open.wave.clone();
        if let Some(open) = self.waves.open.get_mut(&number) {
            open.reported = true;
        }
        commands.push(Command::ReportWave(wave, state));
    }

    fn schedule_wave(&mut self, now: Instant, number: u64, commands: &mut Vec<Command>) {
        let Some(open) = self.waves.open.get_mut(&number) else {
            return;
        };
        open.ordered
            .retain(|_, at| now.saturating_since(*at) < ORDER_TIMEOUT);
        let open = &self.waves.open[&number];
        let mut in_progress = open.ordered.len();
        let mut candidates = Vec::new();
        for name in &open.wave.hosts {
            let Some(host) = self.hosts.list.get(name) else {
                continue;
            };
            let started_at = self.waves.maintenance_started_at.get(name).copied();
            let recent =
                started_at.is_some_and(|at| now.saturating_since(at) < ORDER_TIMEOUT);
            if host.state == HostState::Maintained || (open.done.contains(name) && recent)
            {
                in_progress += usize::from(!open.ordered.contains_key(name));
                continue;
            }
            let free = !open.done.contains(name)
                && !open.ordered.contains_key(name)
                && host.state == HostState::Up
                && self.hosts.accepts_orders(now, name);
            if free {
                candidates.push(name.clone());
            }
        }
        let free_slots = open.wave.max_at_once.saturating_sub(in_progress);
        let available = self.hosts.order_rate.available(now);
        let (ready, busy): (Vec<String>, Vec<String>) = candidates
            .into_iter()
            .partition(|name| self.is_free_for_maintenance(name));
        for name in ready.iter().take(free_slots.min(available)) {
            self.issue_maintenance(now, name, number, commands);
        }
        let left = free_slots.saturating_sub(ready.len());
        let ends_at = self.waves.open[&number].ends_at;
        let wanted = concurrent_drains(busy.len(), ends_at.saturating_since(now));
        self.drain_hosts(&busy, left.min(wanted));
    }

    /// Returns whether maintenance of a host would interrupt no run.
    fn is_free_for_maintenance(&self, name: &str) -> bool {
        let Some(host) = self.hosts.list.get(name) else {
            return false;
        };
        let standby = self
            .configuration
            .pool(&host.pool)
            .is_some_and(|pool| pool.standby);
        match self.endpoint_of(name) {
            Some(key) => self.endpoints[key].is_idle(),
            None => standby,
        }
    }

    fn issue_maintenance(
        &mut self,
        now: Instant,
        name: &str,
        number: u64,
        commands: &mut Vec<Command>,
    ) {
        self.mark_leaving(name);
        self.hosts.order_rate.record(now);
        self.waves.draining.remove(name);
        if let Some(open) = self.waves.open.get_mut(&number) {
            open.ordered.insert(name.to_owned(), now);
        }
        self.events.push(SchedulerEvent::HostMaintained {
            host: name.to_owned(),
            wave: number,
        });
        commands.push(Command::Maintain(Maintenance {
            host: name.to_owned(),
            wave: number,
        }));
    }

    /// Drains the hosts with the least work, up to `most` at once.
    fn drain_hosts(&mut self, busy: &[String], most: usize) {
        let mut known: Vec<(bool, usize, u64, &String)> = busy
            .iter()
            .filter_map(|name| Some((name, self.endpoint_of(name)?)))
            .map(|(name, key)| {
                let chosen = self.waves.draining.contains(name);
                let long_running = self.count_long_running(key);
                (!chosen, long_running, self.endpoints[key].used.cpu, name)
            })
            .collect();
        known.sort_unstable();
        let chosen = known.iter().take(most).map(|&(_, _, _, name)| name.clone());
        self.waves.draining.extend(chosen.collect::<Vec<_>>());
        self.update_cordons();
    }

    /// Updates which endpoints receive no new runs because their hosts are about to be
    /// moved or maintained.
    pub(super) fn update_cordons(&mut self) {
        let waves = &self.waves;
        let hosts: BTreeSet<&String> = waves
            .open
            .values()
            .flat_map(|open| open.ordered.keys())
            .chain(self.hosts.move_orders.keys())
            .chain(&self.hosts.vacating)
            .chain(
                waves
                    .draining
                    .iter()
                    .filter(|name| self.is_awaiting_maintenance(name)),
            )
            .collect();
        let keys: BTreeSet<EndpointKey> = hosts
            .into_iter()
            .filter_map(|name| self.endpoint_of(name))
            .collect();
        for (key, endpoint) in &mut self.endpoints {
            endpoint.cordoned = keys.contains(&key);
        }
    }

    /// Stops long-running tasks on endpoints that are being drained, so that they move
    /// elsewhere.
    fn evacuate(&mut self, now: Instant) {
        let leaving: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.cordoned || endpoint.registration.draining)
            .map(|(key, _)| key)
            .collect();
        for key in leaving {
            let draining = self.endpoints[key].registration.draining;
            let runs: Vec<RunKey> = self.endpoints[key].runs.iter().copied().collect();
            for run in runs {
                let Some(task) = self.runs[run].task else {
                    continue;
                };
                let running = matches!(self.runs[run].phase, Phase::Running(_));
                if !running || !self.step(task).long_running {
                    continue;
                }
                let leaves_anyway = draining && !self.has_pending_stop(task);
                if leaves_anyway || self.may_be_unavailable(task) {
                    self.stop(now, run, "its host is being drained");
                }
            }
        }
    }

    /// Returns whether a run of the task's step on an endpoint that stays has been ordered
    /// to stop and hasn't ended yet.
    ///
    /// Such an order may take effect seconds later. Until then, an endpoint that shuts
    /// down keeps its tasks of the step, up to its end if need be.
    fn has_pending_stop(&self, task: TaskRef) -> bool {
        let Some(occurrence) = self.jobs[task.job].occurrences.get(&task.occurrence)
        else {
            return false;
        };
        let tasks = &occurrence.groups[task.step as usize].tasks;
        tasks.iter().flat_map(|task| &task.runs).any(|&run| {
            let run = &self.runs[run];
            let endpoint = self.endpoints.get(run.endpoint);
            run.phase.is_stopping()
                && endpoint.is_some_and(|endpoint| !endpoint.registration.draining)
        })
    }

    /// Returns whether the scheduler may make one more task of a step unavailable by its
    /// own orders.
    pub(super) fn may_be_unavailable(&self, task: TaskRef) -> bool {
        let Some(most) = self.step(task).max_unavailable else {
            return true;
        };
        let Some(occurrence) = self.jobs[task.job].occurrences.get(&task.occurrence)
        else {
            return false;
        };
        let group = &occurrence.groups[task.step as usize];
        let unavailable =
            |task: &Task| !task.runs.iter().any(|&run| self.is_serving(run));
        let count = group.tasks.iter().filter(|task| unavailable(task)).count();
        count < most as usize
    }

    /// Returns whether every other task of a task's step is in service.
    pub(super) fn are_others_serving(&self, task: TaskRef) -> bool {
        let Some(occurrence) = self.jobs[task.job].occurrences.get(&task.occurrence)
        else {
            return false;
        };
        let tasks = &occurrence.groups[task.step as usize].tasks;
        tasks.iter().enumerate().all(|(index, other)| {
            index == task.index as usize
                || other.runs.iter().any(|&run| self.is_serving(run))
        })
    }

    /// Returns whether a run is known to be executing and reports 100 % progress.
    fn is_serving(&self, run: RunKey) -> bool {
        let run = &self.runs[run];
        let reachable = self
            .endpoints
            .get(run.endpoint)
            .is_some_and(|endpoint| endpoint.reachability == Reachability::Reachable);
        reachable && matches!(run.phase, Phase::Running(_)) && run.percent >= 100
    }
}

/// Returns how many of `busy` hosts must be drained at once for the wave to complete in
/// time.
fn concurrent_drains(busy: usize, time_left: Duration) -> usize {
    let usable = time_left.saturating_sub(WAVE_MARGIN).max(DRAIN_TIME);
    let rounds = usable.as_millis() / DRAIN_TIME.as_millis();
    let rounds = usize::try_from(rounds).unwrap_or(usize::MAX).max(1);
    busy.div_ceil(rounds).max(MIN_DRAINING)
}
