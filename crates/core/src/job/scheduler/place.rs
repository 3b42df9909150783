//! Placement: the order in which waiting tasks start, and the endpoint that each one
//! starts on.
//!
//! Tasks are packed onto few endpoints. With bursty loads, the remaining endpoints become
//! idle within seconds, and their hosts can move to the pool that has the next burst.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::crash::max_probations;
use super::rank::{Class, Rank};
use super::{Command, Scheduler, SchedulerEvent, Start};
use crate::job::run::{Phase, Run};
use crate::job::{EndpointKey, JobKey, Resource, RunKey, Step, TaskName, TaskRef};
use crate::time::Instant;

/// Remaining capacity in one round of placement, by pool.
type OpenPools = BTreeMap<String, OpenPool>;

/// Remaining capacity of a pool. Within a round it only decreases.
#[derive(Debug, Default)]
struct OpenPool {
    /// Endpoints that accept work.
    endpoints: Vec<EndpointKey>,
    /// Number of endpoints on which suspects may still start.
    probations_left: usize,
    /// Amounts that were found to fit on none of the endpoints.
    too_large: Vec<Resource>,
}

impl OpenPool {
    /// Returns whether an amount is known to fit on no endpoint.
    fn cannot_fit(&self, amount: &Resource) -> bool {
        self.too_large.iter().any(|known| known.is_at_most(amount))
    }

    /// Records that a suspect was placed on an endpoint, where nothing else starts for now.
    fn start_probation(&mut self, key: EndpointKey) {
        self.endpoints.retain(|&other| other != key);
        self.probations_left = self.probations_left.saturating_sub(1);
    }
}

impl Scheduler {
    pub(super) fn place(&mut self, now: Instant) {
        let mut open_pools = self.open_pools(now);
        self.unplaced.clear();
        self.update_cold_limits(now);
        self.update_feasible_set(now);
        for (rank, key) in self.ranked_jobs(now) {
            self.place_job(now, key, rank, &mut open_pools);
        }
    }

    fn open_pools(&self, now: Instant) -> OpenPools {
        let mut open_pools = OpenPools::new();
        for (key, endpoint) in &self.endpoints {
            if endpoint.accepts_work(now) && self.is_capacity_current(now, key) {
                let open_pool = open_pools
                    .entry(endpoint.registration.pool.clone())
                    .or_default();
                open_pool.endpoints.push(key);
            }
        }
        let counts = self.count_probations(now);
        for (pool, open_pool) in &mut open_pools {
            let under_way = counts.get(pool).copied().unwrap_or(0);
            let most = max_probations(open_pool.endpoints.len());
            open_pool.probations_left = most.saturating_sub(under_way);
            let endpoints = &mut open_pool.endpoints;
            endpoints.retain(|&key| self.job_on_probation(now, key).is_none());
        }
        open_pools
    }

    fn place_job(
        &mut self,
        now: Instant,
        key: JobKey,
        rank: Rank,
        open_pools: &mut OpenPools,
    ) {
        let pool = self.jobs[key].pool.clone();
        let open_pool = open_pools.entry(pool.clone()).or_default();
        for (occurrence, step) in self.ready_steps(key) {
            let mut waiting = self.waiting_tasks(now, key, occurrence, step);
            self.limit_leftover_tasks(rank, &pool, &mut waiting);
            if waiting.is_empty() {
                continue;
            }
            if self.jobs[key].record.spec.steps[step as usize].gang {
                self.place_gang(now, &waiting, open_pool);
                continue;
            }
            let reserved = self.step(waiting[0]).reserved();
            let placed = self.place_step(now, &waiting, open_pool);
            self.record_leftover(rank, &pool, &reserved, placed);
            let left = &waiting[placed..];
            if let Some(&first) = left.first()
                && !self.waits_for_probation(first, open_pool)
            {
                if matches!(
                    rank.class,
                    Class::InTime | Class::Infeasible | Class::LongRunning
                ) {
                    self.add_unplaced(&pool, first, left.len());
                }
                self.preempt(now, rank, left, &open_pool.endpoints);
            }
        }
    }

    /// Places tasks of one step until one of them fits nowhere, and returns how many were
    /// placed.
    fn place_step(
        &mut self,
        now: Instant,
        waiting: &[TaskRef],
        open_pool: &mut OpenPool,
    ) -> usize {
        // Endpoints on which tasks of this job are on probation.
        let mut shared = Vec::new();
        for (placed, &task) in waiting.iter().enumerate() {
            let reserved = self.step(task).reserved();
            let is_suspect = self.probation_of(task).is_some();
            let beside = self.choose_endpoint(now, task, &shared);
            if beside.is_none()
                && (open_pool.cannot_fit(&reserved)
                    || self.waits_for_probation(task, open_pool))
            {
                return placed;
            }
            let chosen =
                beside.or_else(|| self.choose_endpoint(now, task, &open_pool.endpoints));
            let Some(endpoint) = chosen else {
                if self.needs_only_capacity(task) {
                    open_pool.too_large.push(reserved);
                }
                return placed;
            };
            let number = self.next_number(task);
            self.plan(now, task, endpoint, number);
            if is_suspect && beside.is_none() {
                open_pool.start_probation(endpoint);
                shared.push(endpoint);
            }
        }
        waiting.len()
    }

    /// Returns whether a task is a suspect that waits until others have started.
    fn waits_for_probation(&self, task: TaskRef, open_pool: &OpenPool) -> bool {
        open_pool.probations_left == 0 && self.probation_of(task).is_some()
    }

    /// Returns whether a lack of free capacity is the only thing that can keep a task off
    /// the endpoints of its pool.
    fn needs_only_capacity(&self, task: TaskRef) -> bool {
        let step = self.step(task);
        step.requires.is_empty()
            && step.max_per_endpoint == 0
            && !step.allow_duplicates
            && self.policy_of(task.job).is_none()
            && self.is_within_limit(task, &step.demand)
    }

    /// Adds the demand of tasks that fit nowhere to `unplaced`, unless the workspace's
    /// limit is what prevents their placement.
    fn add_unplaced(&mut self, pool: &str, task: TaskRef, count: usize) {
        let demand = self.step(task).demand;
        if self.is_within_limit(task, &demand) {
            let reserved = self.step(task).reserved();
            let share = reserved.whole_share_of(&self.hosts.largest_capacity);
            self.unplaced
                .entry(pool.to_owned())
                .or_default()
                .add(&share.times(count as u64));
        }
    }

    fn ready_steps(&self, key: JobKey) -> Vec<(u32, u32)> {
        let job = &self.jobs[key];
        let mut ready = Vec::new();
        for &occurrence in job.occurrences.keys() {
            for step in 0..job.record.spec.steps.len() {
                if job.is_ready(occurrence, step) {
                    ready.push((occurrence, u32::try_from(step).unwrap_or(u32::MAX)));
                }
            }
        }
        ready
    }

    fn waiting_tasks(
        &self,
        now: Instant,
        key: JobKey,
        occurrence: u32,
        step: u32,
    ) -> Vec<TaskRef> {
        let job = &self.jobs[key];
        let group = &job.occurrences[&occurrence].groups[step as usize];
        let tasks = group.tasks.iter().enumerate();
        let mut waiting: Vec<TaskRef> = tasks
            .filter(|(_, task)| task.is_waiting() && now >= task.not_before)
            .filter(|(_, task)| !job.awaits_declaration(task))
            .map(|(index, _)| TaskRef {
                job: key,
                occurrence,
                step,
                index: u32::try_from(index).unwrap_or(u32::MAX),
            })
            .collect();
        // A suspect that waits for its turn doesn't hold up the other tasks.
        waiting.sort_by_key(|&task| self.probation_of(task).is_some());
        waiting
    }

    /// Places all members of a gang or none of them.
    fn place_gang(
        &mut self,
        now: Instant,
        members: &[TaskRef],
        open_pool: &mut OpenPool,
    ) {
        let step = self.step(members[0]).clone();
        if members.len() < step.count as usize {
            // Some members are still executing or waiting for the end of a pause.
            return;
        }
        let endpoints = &open_pool.endpoints;
        let Some(chosen) = self.choose_gang_endpoints(now, members, endpoints, &step)
        else {
            return;
        };
        let numbers = members.iter().map(|&member| self.next_number(member));
        let number = numbers.max().unwrap_or(1);
        for (&member, endpoint) in members.iter().zip(chosen) {
            self.plan(now, member, endpoint, number);
            if self.probation_of(member).is_some() {
                open_pool.start_probation(endpoint);
            }
        }
    }

    fn choose_gang_endpoints(
        &mut self,
        now: Instant,
        members: &[TaskRef],
        endpoints: &[EndpointKey],
        step: &Step,
    ) -> Option<Vec<EndpointKey>> {
        if step.same_rack {
            let mut racks: BTreeMap<String, Vec<EndpointKey>> = BTreeMap::new();
            for &key in endpoints {
                let rack = self.endpoints[key].registration.rack().to_owned();
                racks.entry(rack).or_default().push(key);
            }
            for rack in racks.values() {
                if let Some(chosen) = self.find_endpoints(now, members, rack, step) {
                    return Some(chosen);
                }
            }
        }
        self.find_endpoints(now, members, endpoints, step)
    }

    fn find_endpoints(
        &mut self,
        now: Instant,
        members: &[TaskRef],
        endpoints: &[EndpointKey],
        step: &Step,
    ) -> Option<Vec<EndpointKey>> {
        let reserved = step.reserved();
        let mut chosen = Vec::with_capacity(members.len());
        let mut counts: BTreeMap<EndpointKey, u32> = BTreeMap::new();
        let total = step.demand.times(members.len() as u64);
        if !self.is_within_limit(members[0], &total) {
            return None;
        }
        for &member in members {
            let bounded: Vec<EndpointKey> = endpoints
                .iter()
                .copied()
                .filter(|key| {
                    step.max_per_endpoint == 0
                        || counts.get(key).copied().unwrap_or(0) < step.max_per_endpoint
                })
                .collect();
            let Some(key) = self.choose_endpoint(now, member, &bounded) else {
                break;
            };
            self.endpoints[key].used.add(&reserved);
            *counts.entry(key).or_default() += 1;
            chosen.push(key);
        }
        for &key in &chosen {
            self.endpoints[key].used.subtract(&reserved);
        }
        (chosen.len() == members.len()).then_some(chosen)
    }

    /// Returns the best endpoint for a task, or `None` if it fits nowhere.
    ///
    /// Endpoints on which the task hasn't failed come first, then, for a suspect, those that
    /// have the least to lose by a crash, then those that aren't cold,
    /// then those near its data, then those with the least expected harm by interference,
    /// then those that aren't slower than others, then, for long-running tasks, those with
    /// the most long-running runs, and then those with the least free capacity.
    fn choose_endpoint(
        &self,
        now: Instant,
        task: TaskRef,
        endpoints: &[EndpointKey],
    ) -> Option<EndpointKey> {
        let step = self.step(task);
        if !self.is_within_limit(task, &step.demand) {
            return None;
        }
        let reserved = step.reserved();
        let task_state = self.jobs[task.job].task(task)?;
        let avoid = &task_state.avoid;
        let is_suspect = self.probation_of(task).is_some();
        endpoints
            .iter()
            .copied()
            .filter(|&key| {
                let endpoint = &self.endpoints[key];
                let already_runs_there = task_state
                    .runs
                    .iter()
                    .any(|&run| self.runs[run].endpoint == key);
                reserved.fits(&endpoint.used, &endpoint.registration.capacity)
                    && self.is_warm_enough(now, key, &reserved)
                    && !already_runs_there
                    && self.is_within_run_limit(key)
                    && self.is_suitable(now, task, key)
            })
            .min_by_key(|&key| {
                let endpoint = &self.endpoints[key];
                let remote = !step.affinity.is_empty()
                    && !endpoint.registration.labels.contains(&step.affinity);
                let free = endpoint.registration.capacity.free_permille(&endpoint.used);
                let long_running_count = if step.long_running {
                    self.count_long_running(key)
                } else {
                    0
                };
                (
                    avoid.contains(&key),
                    is_suspect.then(|| self.exposure(key)),
                    self.cold_penalty(now, key, task),
                    remote,
                    self.expected_harm(key, task),
                    self.pace_class(key, task),
                    Reverse(long_running_count),
                    free,
                )
            })
    }

    /// Returns whether a task may run on an endpoint, regardless of its free capacity.
    pub(super) fn is_suitable(
        &self,
        now: Instant,
        task: TaskRef,
        key: EndpointKey,
    ) -> bool {
        self.accepts_task(now, task, key) && self.is_permitted(now, task, key)
    }

    /// Returns whether an endpoint accepts work and the step permits it for a task, apart
    /// from a placement policy, which is only asked about waiting tasks.
    pub(super) fn accepts_task(
        &self,
        now: Instant,
        task: TaskRef,
        key: EndpointKey,
    ) -> bool {
        let endpoint = &self.endpoints[key];
        let step = self.step(task);
        endpoint.accepts_work(now)
            && !self.is_closed_to(now, key, task.job)
            && self.is_capacity_current(now, key)
            && (step.requires.is_empty()
                || endpoint.registration.labels.contains(&step.requires))
            && self.is_within_endpoint_limit(task, step, key)
    }

    /// Returns the number of long-running runs on an endpoint.
    pub(super) fn count_long_running(&self, key: EndpointKey) -> usize {
        let runs = self.endpoints[key].runs.iter();
        let tasks = runs.filter_map(|&run| self.runs[run].task);
        tasks.filter(|&task| self.step(task).long_running).count()
    }

    /// Returns whether another task of the step may run on an endpoint under the step's
    /// `max_per_endpoint`.
    fn is_within_endpoint_limit(
        &self,
        task: TaskRef,
        step: &Step,
        key: EndpointKey,
    ) -> bool {
        if step.max_per_endpoint == 0 {
            return true;
        }
        let runs = self.endpoints[key].runs.iter();
        let others = runs.filter_map(|&run| self.runs[run].task).filter(|other| {
            other.job == task.job
                && other.occurrence == task.occurrence
                && other.step == task.step
        });
        others.count() < step.max_per_endpoint as usize
    }

    /// Returns whether a demand stays within the resource limit of the task's workspace.
    pub(super) fn is_within_limit(&self, task: TaskRef, demand: &Resource) -> bool {
        let job = &self.jobs[task.job];
        let Some(workspace) = &job.record.workspace else {
            return true;
        };
        let used = self
            .workspace_usage
            .get(workspace)
            .copied()
            .unwrap_or_default();
        demand.is_within(&used, &job.limit)
    }

    pub(super) fn step(&self, task: TaskRef) -> &Step {
        &self.jobs[task.job].record.spec.steps[task.step as usize]
    }

    pub(super) fn task_name(&self, task: TaskRef) -> TaskName {
        TaskName {
            job: self.jobs[task.job].id.clone(),
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
        }
    }

    fn next_number(&self, task: TaskRef) -> u64 {
        let last = self.jobs[task.job]
            .task(task)
            .map_or(0, |task| task.last_run);
        last.saturating_add(1)
    }

    /// Assigns a task to an endpoint. The start order is sent once the assignment is
    /// saved.
    fn plan(&mut self, now: Instant, task: TaskRef, key: EndpointKey, number: u64) {
        self.log_expected_harm(now, key, task);
        let step = self.step(task);
        let (reserved, demand) = (step.reserved(), step.demand);
        let name = self.task_name(task);
        let endpoint = &self.endpoints[key].registration;
        let free = endpoint
            .capacity
            .cpu
            .saturating_sub(self.endpoints[key].used.cpu);
        self.events.push(SchedulerEvent::Placed {
            name: name.clone(),
            number,
            endpoint: endpoint.id.clone(),
            free_cpu: free.saturating_sub(reserved.cpu),
            clock_age: self.endpoints[key].clock.age(now),
        });
        let job = &mut self.jobs[task.job];
        job.mark_changed(now);
        job.has_planned_starts = true;
        let generation = job.generation;
        let workspace = job.record.workspace.clone();
        let gang_checkpoint = job.checkpoint_of(task).to_owned();
        let run = self.runs.insert(Run {
            name,
            number,
            task: Some(task),
            workspace,
            endpoint: key,
            reserved,
            demand,
            phase: Phase::Planned(generation),
            sent_at: now,
            is_reported: false,
            suspicion: None,
            started_by_this_leader: true,
            percent: 0,
            percent_at: now,
            gauge: 0,
            pace: 100,
            probation: self.probation_of(task),
            pace_sent: true,
            gang_checkpoint,
        });
        if self.runs[run].probation.is_some() {
            self.endpoints[key].run_on_probation = Some(run);
        }
        self.attach(run);
    }

    /// Issues the start orders of runs whose assignments are saved.
    pub(super) fn issue_starts(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.release_unpermitted(now);
        self.withdraw_overcommitted(now);
        let waiting = self.runs_awaiting_quiet(now);
        let closed = self.endpoints_being_acknowledged(now);
        for (key, run) in &mut self.runs {
            if waiting.contains(&key) || closed.contains(&run.endpoint) {
                continue;
            }
            let (Phase::Planned(generation), Some(task)) = (run.phase, run.task) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(task.job) else {
                continue;
            };
            if job.saved_generation < generation {
                continue;
            }
            let endpoint = &mut self.endpoints[run.endpoint];
            if !endpoint.fence.prepare_start(now, self.newest_revision) {
                // The next write tells a newer revision.
                job.require_save(now);
                continue;
            }
            run.phase = Phase::Starting;
            run.sent_at = now;
            let lease_end_ms = endpoint.grant_lease(now, self.options.lease_term);
            let pool = &endpoint.registration.pool;
            self.recent_starts.record(now, pool, run.endpoint);
            let checkpoint = if job.record.spec.steps[task.step as usize].gang {
                &run.gang_checkpoint
            } else {
                job.checkpoint_of(task)
            };
            commands.push(Command::Start(Start {
                run: key,
                target: endpoint.target(),
                name: run.name.clone(),
                number: run.number,
                payload: job.record.spec.payload.clone(),
                checkpoint: checkpoint.to_owned(),
                lease_end_ms,
                ticket: self
                    .permissions
                    .ticket(now, task.into(), run.endpoint)
                    .map(str::to_owned),
                fencing_token: endpoint.fence.token(),
            }));
        }
    }

    /// Releases planned runs whose permission expired while their assignments were being
    /// saved.
    fn release_unpermitted(&mut self, now: Instant) {
        let planned = self.runs.iter().filter_map(|(key, run)| {
            let is_planned = matches!(run.phase, Phase::Planned(_));
            let task = run.task.filter(|_| is_planned)?;
            (!self.is_permitted(now, task, run.endpoint)).then_some(key)
        });
        let unpermitted: Vec<RunKey> = planned.collect();
        for key in unpermitted {
            self.withdraw(now, key, "permission expired");
        }
    }
}
