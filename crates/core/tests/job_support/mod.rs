//! A fleet on a virtual clock that carries a scheduler's commands out.
//!
//! It checks after each step what must always hold: a task has one live run at most, none
//! starts after one was done, and no endpoint holds more than its capacity.

#![allow(dead_code, reason = "each test program uses a part of the support")]

mod endpoint;
mod policy;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrill_core::job::configuration::{Pool, Queue, Workspace};
use rhubarbrill_core::job::record::Record;
use rhubarbrill_core::job::scheduler::{
    Authority, Command, Hold, HoldOutcome, Host, HostState, Maintenance, Options,
    OrderOutcome, Pace, PolicyAnswer, Rejection, Save, SaveOutcome, Scheduler, Start,
    Stop, Term, WaveState,
};
use rhubarbrill_core::job::spec::Spec;
use rhubarbrill_core::job::{
    Configuration, JobKey, Progress, Registration, Resource, State, Step, TaskName,
};
use rhubarbrill_core::time::{Instant, Timestamp};

pub use endpoint::{Endpoint, Link};
pub use policy::Policy;
use policy::step_name;

/// Capacity of each endpoint: cores and memory as on the smaller site.
pub const CAPACITY: Resource = Resource {
    cpu: 32_000,
    memory_mb: 131_072,
    gpu: 0,
};

/// Time that a host takes to move, or to be maintained.
pub const MOVE_MS: u64 = 1_500;

/// Time for which the registration of an endpoint outlives it.
const REGISTRATION: Duration = Duration::from_millis(2_000);

/// Step of the virtual clock.
const TICK: Duration = Duration::from_millis(10);

/// What a test looks at.
#[derive(Debug, Default)]
pub struct Seen {
    /// Starts that endpoints carried out, in order: when, task, number, endpoint.
    pub starts: Vec<(Instant, String, u64, String)>,
    /// Hosts that were moved: when, host, pool.
    pub moves: Vec<(Instant, String, String)>,
    /// Maintenance that began: when, host.
    pub maintained: Vec<(Instant, String)>,
    /// States of waves as reported.
    pub waves: Vec<(u64, WaveState)>,
    /// Number of starts that were rejected.
    pub rejections: usize,
    /// Number of orders to change a pace.
    pub paces: usize,
    /// Longest time for which a tail latency was above its target.
    pub longest_above_target: Duration,
    /// Number of starts sent to endpoints that are gone.
    pub starts_at_nothing: usize,
    /// Number of writes that met another revision.
    pub conflicts: usize,
    /// Number of holds.
    pub holds: usize,
    /// Most hosts in maintenance at once.
    pub most_in_maintenance: usize,
}

/// A leader, its endpoints and its store.
#[derive(Debug)]
pub struct World {
    pub now: Instant,
    pub scheduler: Scheduler,
    pub endpoints: BTreeMap<String, Endpoint>,
    pub hosts: BTreeMap<String, Host>,
    pub progress: BTreeMap<String, Progress>,
    pub records: BTreeMap<String, Record>,
    pub seen: Seen,
    pub configuration: Configuration,
    /// Whether the store answers.
    pub store_answers: bool,
    /// Who must allow each start, if anyone.
    pub policy: Option<Policy>,
    /// How many orders to change a pace are still to be lost.
    pub paces_lost: usize,
    busy_hosts: BTreeMap<String, (Instant, String, HostState)>,
    versions: BTreeMap<String, u64>,
    revision: u64,
    term: Term,
    done: BTreeSet<String>,
    /// Jobs of which the store holds nothing but their last state.
    over: BTreeSet<String>,
    births: u64,
    ticks: u64,
    /// Registrations of endpoints that are gone, and when they lapse.
    lapsing: Vec<(Instant, Registration)>,
}

/// Returns the options that a daemon uses.
pub const fn options() -> Options {
    Options {
        lease_term: Duration::from_millis(5_000),
        inherited_bound: Duration::from_millis(9_425),
        retention: Duration::from_secs(150),
    }
}

/// Returns a queue on a pool of the same name.
pub fn queue(name: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        pool: name.to_owned(),
        priority: 0,
        attempts: 2,
        stretch: 1.6,
        target_latency: Duration::from_millis(600),
        public: false,
        placement_policy: None,
    }
}

/// Returns a configuration with these pools and one that is switched off.
pub fn configuration_with_spare(pools: &[&str]) -> Configuration {
    let mut configuration = configuration(pools);
    configuration.pools.push(Pool {
        name: "spare".to_owned(),
        standby: true,
    });
    configuration
}

/// Returns a configuration with these pools and one workspace without limits.
pub fn configuration(pools: &[&str]) -> Configuration {
    let pool = |name: &str| Pool {
        name: name.to_owned(),
        standby: false,
    };
    Configuration {
        version: 1,
        queues: pools.iter().map(|name| queue(name)).collect(),
        pools: pools.iter().map(|name| pool(name)).collect(),
        workspaces: vec![Workspace {
            name: "w".to_owned(),
            keys: vec!["k".to_owned()],
            weight: None,
            limit: Resource::default(),
        }],
        max_body_bytes: 262_144,
        header_timeout: Duration::from_secs(3),
    }
}

/// Returns a step of `count` tasks of `cpu` thousandths of a core and `estimate_ms`.
pub fn step(count: u32, cpu: u64, estimate_ms: u64) -> Step {
    Step {
        count,
        demand: Resource {
            cpu,
            memory_mb: 1_000,
            gpu: 0,
        },
        estimate_ms,
        ..Step::default()
    }
}

/// Returns a job of these steps.
pub fn spec(steps: Vec<Step>) -> Spec {
    Spec {
        payload: "p".to_owned(),
        steps,
        recurrence: None,
    }
}

impl World {
    /// Returns a world in its first term, without endpoints.
    pub fn new(configuration: Configuration) -> Self {
        let now = Instant::from_millis(1_000_000);
        let term = Term {
            fencing_token: 10,
            number: 1,
            start_revision: 10,
        };
        let mut scheduler = Scheduler::new(options(), term, now);
        scheduler.set_configuration(configuration.clone());
        Self {
            now,
            scheduler,
            endpoints: BTreeMap::new(),
            hosts: BTreeMap::new(),
            progress: BTreeMap::new(),
            records: BTreeMap::new(),
            seen: Seen::default(),
            configuration,
            store_answers: true,
            policy: None,
            paces_lost: 0,
            busy_hosts: BTreeMap::new(),
            versions: BTreeMap::new(),
            revision: 100,
            term,
            done: BTreeSet::new(),
            over: BTreeSet::new(),
            births: 0,
            ticks: 0,
            lapsing: Vec::new(),
        }
    }

    /// Reads the wall clock, which runs with the steady one.
    pub fn wall(&self) -> Timestamp {
        Timestamp::from_millis(self.now.as_micros() / 1_000)
    }

    /// Adds `count` hosts with an endpoint each to a pool.
    pub fn add_hosts(&mut self, pool: &str, count: usize) {
        for _ in 0..count {
            let host = format!("m{}", self.hosts.len());
            self.hosts.insert(
                host.clone(),
                Host {
                    name: host.clone(),
                    pool: pool.to_owned(),
                    zone: format!("z{}", self.hosts.len() % 3),
                    state: HostState::Up,
                    capacity: CAPACITY,
                    endpoint: None,
                },
            );
            self.boot(&host);
        }
        self.list_hosts();
    }

    /// Starts the endpoint of a host, unless its pool is switched off.
    fn boot(&mut self, host: &str) {
        if self.hosts[host].pool == "spare" {
            return;
        }
        self.births += 1;
        let id = format!("e{}", self.births);
        let address: SocketAddr = format!("127.0.0.1:{}", 10_000 + self.births)
            .parse()
            .expect("an address");
        let pool = self.hosts[host].pool.clone();
        let report = Registration {
            id: id.clone(),
            born: self.births,
            pool,
            address,
            zone: self.hosts[host].zone.clone(),
            labels: vec!["kind".to_owned(), format!("rack{}", self.births % 4)],
            capacity: CAPACITY,
            draining: false,
            clock_ms: 0,
        };
        if let Some(host) = self.hosts.get_mut(host) {
            host.endpoint = Some(id.clone());
        }
        self.scheduler.set_endpoint(self.now, report.clone());
        let endpoint = Endpoint::new(report, host.to_owned());
        self.endpoints.insert(id, endpoint);
    }

    /// Lists the hosts to the scheduler.
    pub fn list_hosts(&mut self) {
        let hosts = self.hosts.values().cloned().collect();
        self.scheduler.set_hosts(self.now, hosts);
    }

    /// Submits a job and returns its identity.
    pub fn submit(&mut self, queue: &str, spec: Spec) -> String {
        self.submit_at(queue, spec, 0)
    }

    /// Submits a job of a workspace and returns its identity.
    pub fn submit_for(&mut self, workspace: &str, queue: &str, spec: Spec) -> String {
        self.submit_record(workspace, queue, spec, 0)
    }

    /// Submits a job that came `age_ms` ago and returns its identity.
    pub fn submit_at(&mut self, queue: &str, spec: Spec, age_ms: u64) -> String {
        self.submit_record("w", queue, spec, age_ms)
    }

    fn submit_record(
        &mut self,
        workspace: &str,
        queue: &str,
        spec: Spec,
        age_ms: u64,
    ) -> String {
        let id = format!("{:016x}", self.records.len());
        let record = Record {
            queue: queue.to_owned(),
            pool: self.pool_of(queue),
            workspace: Some(workspace.to_owned()),
            submitted: Timestamp::from_millis(self.wall().as_millis() - age_ms),
            spec,
        };
        self.revision += 1;
        self.versions.insert(id.clone(), self.revision);
        self.records.insert(id.clone(), record.clone());
        let wall = self.wall();
        self.scheduler
            .add_job(self.now, wall, &id, self.revision, record, None);
        id
    }

    fn pool_of(&self, queue: &str) -> String {
        let known = self.configuration.queue(queue);
        known.map_or_else(|| queue.to_owned(), |known| known.pool.clone())
    }

    /// Ends the leader and lets a new one begin with what the store holds.
    ///
    /// Registrations of endpoints that are cut off have lapsed if `unlisted`.
    pub fn elect(&mut self, unlisted: bool) {
        self.revision += 1;
        self.term = Term {
            fencing_token: self.revision,
            number: self.term.number + 1,
            start_revision: self.revision,
        };
        self.scheduler = Scheduler::new(options(), self.term, self.now);
        self.scheduler.set_configuration(self.configuration.clone());
        for endpoint in self.endpoints.values() {
            if !(unlisted && endpoint.link == Link::Cut) {
                self.scheduler
                    .set_endpoint(self.now, endpoint.report.clone());
            }
        }
        for (_, report) in &self.lapsing {
            self.scheduler.set_endpoint(self.now, report.clone());
        }
        for (id, record) in &self.records {
            if self.over.contains(id) {
                self.scheduler.add_finished_job(self.now, id);
                continue;
            }
            let progress = self.progress.get(id).cloned().map(|held| {
                (
                    held,
                    self.versions.get(&format!("p{id}")).copied().unwrap_or(0),
                )
            });
            let version = self.versions[id];
            let wall = self.wall();
            self.scheduler
                .add_job(self.now, wall, id, version, record.clone(), progress);
        }
        self.list_hosts();
    }

    /// Returns the state of a job in the store.
    pub fn state(&self, id: &str) -> State {
        self.progress
            .get(id)
            .map_or(State::Queued, |progress| progress.state)
    }

    /// Lets `span` pass.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until a job is over, at most `span`; returns whether it is.
    pub fn pass_until_over(&mut self, id: &str, span: Duration) -> bool {
        let end = self.now + span;
        while self.now < end && !self.state(id).is_final() {
            self.step();
        }
        self.state(id).is_final()
    }

    /// Returns the endpoints on which a task lives.
    pub fn places(&self, task: &str) -> Vec<String> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| {
                endpoint
                    .live
                    .iter()
                    .any(|live| live.name.to_string() == task)
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the number of live runs.
    pub fn live(&self) -> usize {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.live.len())
            .sum()
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        self.advance_endpoints();
        self.advance_hosts();
        self.answer_questions();
        self.lapse_registrations();
        let wall = self.wall();
        let mut commands = self.scheduler.poll(self.now, wall, Authority::Certain);
        self.ticks += 1;
        if self.ticks.is_multiple_of(10) {
            self.list_hosts();
            commands.extend(self.scheduler.poll_hosts(self.now));
        }
        for command in commands {
            self.carry_out(command);
        }
        self.check();
    }

    fn advance_endpoints(&mut self) {
        let now = self.now;
        let ids: Vec<String> = self.endpoints.keys().cloned().collect();
        for id in ids {
            let endpoint = self.endpoints.get_mut(&id).expect("it was listed");
            let due = endpoint.take_late(now);
            let done = endpoint.advance(now);
            let above = endpoint.measure_tail(now);
            self.seen.longest_above_target = self.seen.longest_above_target.max(above);
            self.done.extend(done.iter().map(TaskName::to_string));
            for start in due {
                self.start(&start);
            }
        }
    }

    /// Lets registrations of endpoints that are gone lapse.
    fn lapse_registrations(&mut self) {
        let now = self.now;
        let (due, lapsing) = self.lapsing.drain(..).partition(|(at, _)| *at <= now);
        self.lapsing = lapsing;
        for (_, report) in due {
            self.scheduler.set_endpoint_unregistered(now, &report.id);
        }
    }

    fn answer_questions(&mut self) {
        let Some(policy) = &mut self.policy else {
            return;
        };
        for (question, ruling) in policy.answers(self.now) {
            self.scheduler
                .handle_policy_answer(self.now, &question, ruling);
        }
    }

    fn advance_hosts(&mut self) {
        let now = self.now;
        let due: Vec<String> = self
            .busy_hosts
            .iter()
            .filter(|(_, (until, _, _))| *until <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for name in due {
            self.busy_hosts.remove(&name);
            if let Some(host) = self.hosts.get_mut(&name) {
                host.state = HostState::Up;
            }
            self.boot(&name);
        }
    }

    fn take_down(&mut self, name: &str, pool: &str, state: HostState, span_ms: u64) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.state = state;
        pool.clone_into(&mut host.pool);
        if let Some(id) = host.endpoint.take() {
            let endpoint = self.endpoints.remove(&id).expect("an endpoint of the host");
            assert!(
                endpoint.live.iter().all(|live| live.ends_at.is_some()) || span_ms == 0,
                "{name} is taken away under a task that lasts"
            );
            assert!(endpoint.live.is_empty(), "{name} is taken away under a run");
            self.lapsing
                .push((self.now + REGISTRATION, endpoint.report));
        }
        let until = self.now + Duration::from_millis(span_ms);
        self.busy_hosts
            .insert(name.to_owned(), (until, pool.to_owned(), state));
        let in_maintenance = self
            .hosts
            .values()
            .filter(|host| host.state == HostState::Maintained)
            .count();
        self.seen.most_in_maintenance = self.seen.most_in_maintenance.max(in_maintenance);
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Start(order) => {
                let settled = self.order_start(&order);
                self.scheduler
                    .handle_start_outcome(self.now, order.run, settled);
            }
            Command::Stop(order) => {
                let settled = self.order_stop(&order);
                self.scheduler
                    .handle_stop_outcome(self.now, order.run, settled);
            }
            Command::Hold(order) => {
                let held = self.order_hold(&order);
                // The answer comes with the next look of the clock.
                self.now = self.now + Duration::from_micros(1);
                self.scheduler.handle_hold_outcome(
                    self.now,
                    order.endpoint,
                    order.sent,
                    held,
                );
            }
            Command::Pace(order) => {
                let settled = self.order_pace(&order);
                self.scheduler
                    .handle_pace_outcome(self.now, &order, settled);
            }
            Command::AskPolicy(question) => match &mut self.policy {
                Some(policy) => policy.ask(self.now, question),
                None => self.scheduler.handle_policy_answer(
                    self.now,
                    &question,
                    PolicyAnswer::Unknown,
                ),
            },
            Command::Save(saves) => {
                let ending = self.write(&saves);
                self.scheduler
                    .handle_save_outcome(self.now, &saves, &ending);
            }
            Command::Remove(ids) => {
                for id in &ids {
                    self.progress.remove(id);
                    self.records.remove(id);
                    self.over.remove(id);
                }
                self.scheduler.handle_removal_outcome(&ids, true);
            }
            Command::Move(order) => {
                self.seen
                    .moves
                    .push((self.now, order.host.clone(), order.pool.clone()));
                self.take_down(&order.host, &order.pool, HostState::Moving, MOVE_MS);
                self.scheduler
                    .handle_host_order_accepted(self.now, &order.host);
            }
            Command::Maintain(Maintenance { host, wave }) => {
                self.seen.maintained.push((self.now, host.clone()));
                let pool = self.hosts[&host].pool.clone();
                self.take_down(&host, &pool, HostState::Maintained, 2_000);
                self.scheduler.maintenance_begun(self.now, &host, wave);
            }
            Command::ReportWave(wave, state) => {
                self.seen.waves.push((wave.number, state));
                if state == WaveState::Completed {
                    self.scheduler.complete_wave(wave.number);
                }
            }
        }
    }

    /// Writes progress if the store holds what it replaces.
    fn write(&mut self, saves: &[Save]) -> SaveOutcome {
        if !self.store_answers {
            return SaveOutcome::Unknown;
        }
        let held = |save: &Save| self.versions.get(&format!("p{}", save.id)).copied();
        let found: Vec<(JobKey, u64)> = saves
            .iter()
            .map(|save| (save.job, held(save).unwrap_or(0)))
            .collect();
        let expected = saves.iter().map(|save| (save.job, save.version));
        if !expected.eq(found.iter().copied()) {
            self.seen.conflicts += 1;
            return SaveOutcome::Conflict(found);
        }
        self.revision += 1;
        for save in saves {
            let key = format!("p{}", save.id);
            self.progress.insert(save.id.clone(), save.progress.clone());
            if save.is_final() {
                self.over.insert(save.id.clone());
                self.versions.remove(&key);
            } else {
                self.versions.insert(key, self.revision);
            }
        }
        SaveOutcome::Saved(self.revision)
    }

    fn order_start(&mut self, order: &Start) -> OrderOutcome {
        let Some(endpoint) = self.endpoints.get_mut(&order.target.id) else {
            self.seen.starts_at_nothing += 1;
            return OrderOutcome::Unreachable;
        };
        match endpoint.link {
            Link::Cut => OrderOutcome::Unreachable,
            Link::Good => self.start(order),
            Link::AnswersLost => {
                self.start(order);
                OrderOutcome::Unknown
            }
            Link::LateStarts(after) => {
                let at = self.now + Duration::from_millis(after);
                endpoint.late.push((at, order.clone()));
                OrderOutcome::Unknown
            }
        }
    }

    fn start(&mut self, order: &Start) -> OrderOutcome {
        let step = &self.records[&order.name.job].spec.steps[order.name.step as usize];
        let task = order.name.to_string();
        let id = &order.target.id;
        let endpoint = self.endpoints.get_mut(id).expect("it exists");
        let permitted = self.policy.as_ref().is_none_or(|policy| {
            policy.is_valid(
                self.now,
                &step_name(&order.name),
                id,
                order.ticket.as_deref(),
            )
        });
        let settled = if permitted {
            endpoint.start(self.now, order, step)
        } else {
            endpoint.reject(self.now, Rejection::NoPermission)
        };
        if let OrderOutcome::Rejected(..) = settled {
            self.seen.rejections += 1;
            return settled;
        }
        assert!(
            !self.done.contains(&task),
            "{task} starts again after it was done"
        );
        let start = (self.now, task, order.number, id.clone());
        self.seen.starts.push(start);
        settled
    }

    fn order_stop(&mut self, order: &Stop) -> OrderOutcome {
        let Some(endpoint) = self.endpoints.get_mut(&order.target.id) else {
            return OrderOutcome::Unreachable;
        };
        match endpoint.link {
            Link::Cut => OrderOutcome::Unreachable,
            Link::AnswersLost => {
                endpoint.stop(self.now, order);
                OrderOutcome::Unknown
            }
            Link::Good | Link::LateStarts(_) => endpoint.stop(self.now, order),
        }
    }

    fn order_pace(&mut self, order: &Pace) -> OrderOutcome {
        self.seen.paces += 1;
        let Some(endpoint) = self.endpoints.get_mut(&order.target.id) else {
            return OrderOutcome::Unreachable;
        };
        if self.paces_lost > 0 {
            self.paces_lost -= 1;
            return OrderOutcome::Unknown;
        }
        endpoint.pace(self.now, order)
    }

    fn order_hold(&mut self, order: &Hold) -> HoldOutcome {
        self.seen.holds += 1;
        let Some(endpoint) = self.endpoints.get_mut(&order.target.id) else {
            return HoldOutcome::NotReported(OrderOutcome::Unreachable);
        };
        match endpoint.link {
            Link::Cut => HoldOutcome::NotReported(OrderOutcome::Unreachable),
            Link::AnswersLost => {
                endpoint.hold(self.now, order);
                HoldOutcome::NotReported(OrderOutcome::Unknown)
            }
            Link::Good | Link::LateStarts(_) => endpoint.hold(self.now, order),
        }
    }

    fn check(&self) {
        let mut tasks = BTreeSet::new();
        for (id, endpoint) in &self.endpoints {
            let used = endpoint.used();
            assert!(
                Resource::default().fits(&used, &endpoint.report.capacity),
                "{id} holds more than its capacity"
            );
            for live in &endpoint.live {
                let task = live.name.to_string();
                let record = self.records.get(&live.name.job);
                let copies = record.is_some_and(|record| {
                    record.spec.steps[live.name.step as usize].allow_duplicates
                });
                assert!(
                    tasks.insert(task.clone()) || copies,
                    "{task} runs twice at once"
                );
            }
        }
    }
}
