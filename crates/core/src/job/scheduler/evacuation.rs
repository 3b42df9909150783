//! Evacuation of availability zones at the request of operators.
//!
//! An evacuated zone receives no starts, and its hosts stay in their pools. Tasks that end
//! on their own finish there. Long-running tasks are stopped, so that they start elsewhere
//! from their checkpoints: of each step one after the other, and within its
//! `max_unavailable`. A step without this limit has one task out of service at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Command, Scheduler, SchedulerEvent};
use crate::job::endpoint::Reachability;
use crate::job::run::Phase;
use crate::job::{EndpointKey, JobKey, RunKey, TaskRef};
use crate::time::Instant;

/// Minimum time between two reports on a zone. Operators are told at most once a second.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a zone without any endpoint or host is considered unknown. A new leader
/// receives the first list of hosts within this time.
const UNKNOWN_ZONE_DELAY: Duration = Duration::from_secs(2);

/// Why runs in an evacuated zone are stopped or not started.
const REASON: &str = "its zone is being evacuated";

/// What is left to evacuate in a zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EvacuationProgress {
    /// Number of tasks that may be executing in the zone.
    pub tasks: usize,
    /// Number of long-running tasks among them.
    pub long_running: usize,
}

impl EvacuationProgress {
    /// Returns whether no task is left in the zone.
    pub const fn is_complete(self) -> bool {
        self.tasks == 0
    }
}

/// A report on the evacuation of a zone, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationReport {
    /// Name of the zone.
    pub zone: String,
    /// What is left to evacuate; `None` to remove the report, as operators withdrew the
    /// request.
    pub progress: Option<EvacuationProgress>,
}

/// The zones that operators want to be evacuated, and the reports on them.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    zones: BTreeMap<String, Evacuation>,
    /// Reports that the store holds or may hold, by zone.
    reports: BTreeMap<String, StoredReport>,
    /// Whether every known zone is being evacuated.
    all_zones: bool,
}

/// A zone that is being evacuated.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// When this leader learned of the request.
    since: Instant,
    /// Whether the zone was logged as evacuated or as unknown.
    logged: bool,
}

/// A report that the store holds or may hold.
#[derive(Clone, Copy, Debug, Default)]
struct StoredReport {
    /// The progress according to the report; `None` if it isn't known.
    progress: Option<EvacuationProgress>,
    /// When the last write was issued.
    written_at: Option<Instant>,
    in_flight: bool,
}

impl Evacuations {
    fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }
}

impl Scheduler {
    /// Replaces the set of zones that are to be evacuated.
    pub fn set_evacuated_zones(&mut self, now: Instant, zones: &BTreeSet<String>) {
        let known = &self.evacuations.zones;
        let added: Vec<String> = zones
            .iter()
            .filter(|zone| !known.contains_key(*zone))
            .cloned()
            .collect();
        let returned: Vec<String> = known
            .keys()
            .filter(|zone| !zones.contains(*zone))
            .cloned()
            .collect();
        for zone in returned {
            self.evacuations.zones.remove(&zone);
            self.events.push(SchedulerEvent::ZoneReturned { zone });
        }
        for zone in added {
            let evacuation = Evacuation {
                since: now,
                logged: false,
            };
            self.evacuations.zones.insert(zone.clone(), evacuation);
            // Whoever made the request waits for a report that is newer than it, also if
            // the progress is the same as in the last one.
            if let Some(stored) = self.evacuations.reports.get_mut(&zone) {
                stored.progress = None;
            }
            let progress = self.evacuation_progress(&zone);
            self.events
                .push(SchedulerEvent::ZoneEvacuating { zone, progress });
        }
        let keys: Vec<EndpointKey> = self.endpoints.keys().collect();
        for key in keys {
            self.update_evacuated(key);
        }
        self.withdraw_unsent_starts(now);
    }

    /// Records that the store holds a report on a zone that an earlier leader wrote.
    pub fn restore_evacuation_report(&mut self, zone: &str) {
        let report = StoredReport::default();
        self.evacuations.reports.insert(zone.to_owned(), report);
    }

    /// Records whether a report was written.
    pub fn handle_evacuation_report_outcome(
        &mut self,
        report: &EvacuationReport,
        written: bool,
    ) {
        let reports = &mut self.evacuations.reports;
        if written && report.progress.is_none() {
            reports.remove(&report.zone);
            return;
        }
        if let Some(stored) = reports.get_mut(&report.zone) {
            stored.in_flight = false;
            if !written {
                stored.progress = None;
            }
        }
    }

    /// Returns whether every zone with a host or an endpoint is being evacuated, so that
    /// nothing can start.
    pub const fn is_every_zone_evacuated(&self) -> bool {
        self.evacuations.all_zones
    }

    /// Updates whether the zone of an endpoint is being evacuated.
    pub(super) fn update_evacuated(&mut self, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        endpoint.evacuated = self.evacuations.contains(&endpoint.registration.zone);
    }

    /// Returns whether a zone is being evacuated.
    pub(super) fn is_zone_evacuated(&self, zone: &str) -> bool {
        self.evacuations.contains(zone)
    }

    /// Returns the zones whose hosts aren't moved: those that are cut off or being
    /// evacuated.
    pub(super) fn unusable_zones(&self) -> BTreeSet<&str> {
        let evacuated = self.evacuations.zones.keys().map(String::as_str);
        self.cut_off_zones().into_iter().chain(evacuated).collect()
    }

    /// Moves long-running tasks out of evacuated zones, and reports the progress.
    pub(super) fn advance_evacuations(
        &mut self,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        if self.evacuations.zones.is_empty() && self.evacuations.reports.is_empty() {
            self.evacuations.all_zones = false;
            return;
        }
        self.relocate_long_running(now);
        self.log_evacuations(now);
        self.report_evacuations(now, commands);
    }

    /// Takes back the starts in evacuated zones that haven't been sent.
    fn withdraw_unsent_starts(&mut self, now: Instant) {
        let unsent = self.runs.iter().filter(|(_, run)| {
            self.endpoints[run.endpoint].evacuated
                && matches!(run.phase, Phase::Planned(_))
        });
        let unsent: Vec<RunKey> = unsent.map(|(key, _)| key).collect();
        for key in unsent {
            self.withdraw(now, key, REASON);
        }
    }

    /// Stops at most one long-running task of each step in an evacuated zone.
    fn relocate_long_running(&mut self, now: Instant) {
        let running = self.runs.iter().filter_map(|(key, run)| {
            let endpoint = &self.endpoints[run.endpoint];
            let task = run.task?;
            (endpoint.evacuated
                && endpoint.reachability == Reachability::Reachable
                && matches!(run.phase, Phase::Running(_))
                && self.step(task).long_running)
                .then_some((key, task))
        });
        let running: Vec<(RunKey, TaskRef)> = running.collect();
        let mut steps: BTreeSet<(JobKey, u32, u32)> = BTreeSet::new();
        for (run, task) in running {
            let step = (task.job, task.occurrence, task.step);
            if steps.contains(&step) || !self.may_relocate(now, task) {
                continue;
            }
            steps.insert(step);
            self.stop(now, run, REASON);
        }
    }

    /// Returns whether a long-running task may be stopped to start outside its zone.
    ///
    /// A step without `max_unavailable` could lose all its tasks in the zone at once, so
    /// its tasks move only while all others of the step are in service, and only if there
    /// is room for them now.
    fn may_relocate(&self, now: Instant, task: TaskRef) -> bool {
        if self.step(task).max_unavailable.is_some() {
            return self.may_be_unavailable(task) && self.is_served_elsewhere(now, task);
        }
        self.are_others_serving(task) && self.has_room_elsewhere(now, task)
    }

    /// Returns whether an endpoint of the task's pool that accepts work has room for it.
    fn has_room_elsewhere(&self, now: Instant, task: TaskRef) -> bool {
        let pool = self.jobs[task.job].pool.as_str();
        let reserved = self.step(task).reserved();
        self.endpoints.iter().any(|(key, endpoint)| {
            let registration = &endpoint.registration;
            registration.pool == pool
                && self.accepts_task(now, task, key)
                && reserved.fits(&endpoint.used, &registration.capacity)
        })
    }

    /// Returns whether the pool of a task has an endpoint that accepts work and could run
    /// it once there is capacity. Without one, the task continues in its zone.
    fn is_served_elsewhere(&self, now: Instant, task: TaskRef) -> bool {
        let pool = self.jobs[task.job].pool.as_str();
        let step = self.step(task);
        let reserved = step.reserved();
        self.endpoints.values().any(|endpoint| {
            let registration = &endpoint.registration;
            registration.pool == pool
                && endpoint.accepts_work(now)
                && reserved.is_at_most(&registration.capacity)
                && (step.requires.is_empty()
                    || registration.labels.contains(&step.requires))
        })
    }

    fn evacuation_progress(&self, zone: &str) -> EvacuationProgress {
        let mut progress = EvacuationProgress::default();
        for run in self.runs.values() {
            if self.endpoints[run.endpoint].registration.zone == zone {
                progress.tasks += 1;
                let long_running =
                    run.task.is_some_and(|task| self.step(task).long_running);
                progress.long_running += usize::from(long_running);
            }
        }
        progress
    }

    /// Returns the zones that have an endpoint or a host.
    fn known_zones(&self) -> BTreeSet<&str> {
        let endpoints = self.endpoints.values();
        let of_endpoints = endpoints.map(|endpoint| endpoint.registration.zone.as_str());
        let of_hosts = self.hosts.list.values().map(|host| host.zone.as_str());
        let zones = of_endpoints.chain(of_hosts);
        zones.filter(|zone| !zone.is_empty()).collect()
    }

    /// Logs the zones that have become empty, those that don't exist, and the moment at
    /// which no zone is left.
    fn log_evacuations(&mut self, now: Instant) {
        let known = self.known_zones();
        let all_zones =
            !known.is_empty() && known.iter().all(|zone| self.is_zone_evacuated(zone));
        let mut events = Vec::new();
        if all_zones && !self.evacuations.all_zones {
            events.push(SchedulerEvent::EveryZoneEvacuated { zones: known.len() });
        }
        let open = self.evacuations.zones.iter();
        for (zone, evacuation) in open.filter(|(_, evacuation)| !evacuation.logged) {
            let age = now.saturating_since(evacuation.since);
            let zone = zone.clone();
            if known.contains(zone.as_str()) {
                if self.evacuation_progress(&zone).is_complete() {
                    events.push(SchedulerEvent::ZoneEvacuated { zone, age });
                }
            } else if age >= UNKNOWN_ZONE_DELAY {
                events.push(SchedulerEvent::ZoneUnknown { zone });
            }
        }
        self.evacuations.all_zones = all_zones;
        for event in &events {
            if let SchedulerEvent::ZoneEvacuated { zone, .. }
            | SchedulerEvent::ZoneUnknown { zone } = event
                && let Some(evacuation) = self.evacuations.zones.get_mut(zone)
            {
                evacuation.logged = true;
            }
        }
        self.events.extend(events);
    }

    /// Issues the reports that differ from those in the store.
    fn report_evacuations(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let known = self.known_zones();
        let mut current: BTreeMap<String, Option<EvacuationProgress>> = BTreeMap::new();
        for zone in self.evacuations.reports.keys() {
            current.insert(zone.clone(), None);
        }
        for zone in self.evacuations.zones.keys() {
            if known.contains(zone.as_str()) {
                current.insert(zone.clone(), Some(self.evacuation_progress(zone)));
            }
        }
        for (zone, progress) in current {
            let stored = self.evacuations.reports.entry(zone.clone()).or_default();
            let is_unchanged = progress.is_some() && stored.progress == progress;
            let is_too_soon = stored
                .written_at
                .is_some_and(|at| now.saturating_since(at) < REPORT_INTERVAL);
            if is_unchanged || stored.in_flight || is_too_soon {
                continue;
            }
            *stored = StoredReport {
                progress,
                written_at: Some(now),
                in_flight: true,
            };
            commands.push(Command::ReportEvacuation(EvacuationReport {
                zone,
                progress,
            }));
        }
    }
}
