//! A fleet on a virtual clock that carries a scheduler's commands out.
//!
//! It checks after each step what must always hold: a task has one live run at most, none
//! starts after one was done, and no endpoint holds more than its capacity.

#![allow(dead_code, reason = "each test program uses a part of the support")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrill_core::job::configuration::{Pool, Queue, Workspace};
use rhubarbrill_core::job::record::Record;
use rhubarbrill_core::job::scheduler::{
    Authority, Command, EndRow, Ending, Held, Hold, Host, HostState, Options, Rejection,
    Reply, Row, Scheduler, Settled, Start, Stop, Term, Upkeep, WaveState,
};
use rhubarbrill_core::job::spec::Spec;
use rhubarbrill_core::job::{
    Configuration, End, Name, Progress, Report, Resource, State, Step,
};
use rhubarbrill_core::time::{Instant, Timestamp};

/// Capacity of each endpoint: cores and memory as on the smaller site.
pub const CAPACITY: Resource = Resource {
    cpu: 32_000,
    memory_mb: 131_072,
    gpu: 0,
};

/// Time that a host takes to move, or to be maintained.
pub const MOVE_MS: u64 = 1_500;

/// Step of the virtual clock.
const TICK: Duration = Duration::from_millis(10);

/// How an endpoint treats orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// Orders and answers arrive.
    Good,
    /// Orders don't arrive.
    Cut,
    /// Orders are carried out and the answers lost.
    AnswersLost,
    /// Starts get no answer and arrive this much later, in milliseconds.
    LateStarts(u64),
}

/// A run at an endpoint.
#[derive(Clone, Debug)]
struct Live {
    name: Name,
    number: u64,
    started_at: Instant,
    ends_at: Option<Instant>,
    reserved: Resource,
}

impl Live {
    /// Returns the part of the work that is done; tasks that last are at work at once.
    fn percent(&self, now: Instant) -> u32 {
        let Some(ends_at) = self.ends_at else {
            return 100;
        };
        let whole = ends_at.saturating_since(self.started_at).as_micros().max(1);
        let done = now.saturating_since(self.started_at).as_micros();
        u32::try_from(done * 100 / whole).unwrap_or(100).min(99)
    }
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub report: Report,
    pub link: Link,
    pub host: String,
    live: Vec<Live>,
    ended: Vec<EndRow>,
    sequence: u64,
    fence: u64,
    lease_end_ms: u64,
    stopped: BTreeMap<String, u64>,
    late: Vec<(Instant, Start)>,
    /// Whether every run fails at its end.
    pub fails: bool,
    /// What every start is rejected with, if anything.
    pub rejects: Option<Rejection>,
    /// How many times longer than estimated runs take.
    pub slowness: u32,
}

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
    /// Number of starts that were rejected by order of the test.
    pub rejections: usize,
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
    busy_hosts: BTreeMap<String, (Instant, String, HostState)>,
    versions: BTreeMap<String, u64>,
    revision: u64,
    term: Term,
    done: BTreeSet<String>,
    births: u64,
    ticks: u64,
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
        advice: None,
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
            weight: 1,
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
            fence: 10,
            number: 1,
            since: 10,
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
            busy_hosts: BTreeMap::new(),
            versions: BTreeMap::new(),
            revision: 100,
            term,
            done: BTreeSet::new(),
            births: 0,
            ticks: 0,
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
        let report = Report {
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
        self.endpoints.insert(
            id,
            Endpoint {
                report,
                link: Link::Good,
                host: host.to_owned(),
                live: Vec::new(),
                ended: Vec::new(),
                sequence: 0,
                fence: 0,
                lease_end_ms: 0,
                stopped: BTreeMap::new(),
                late: Vec::new(),
                fails: false,
                rejects: None,
                slowness: 1,
            },
        );
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

    /// Submits a job that came `age_ms` ago and returns its identity.
    pub fn submit_at(&mut self, queue: &str, spec: Spec, age_ms: u64) -> String {
        let id = format!("{:016x}", self.records.len());
        let record = Record {
            queue: queue.to_owned(),
            pool: queue.to_owned(),
            workspace: Some("w".to_owned()),
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

    /// Ends the leader and lets a new one begin with what the store holds.
    ///
    /// Registrations of endpoints that are cut off have lapsed if `unlisted`.
    pub fn elect(&mut self, unlisted: bool) {
        self.revision += 1;
        self.term = Term {
            fence: self.revision,
            number: self.term.number + 1,
            since: self.revision,
        };
        self.scheduler = Scheduler::new(options(), self.term, self.now);
        self.scheduler.set_configuration(self.configuration.clone());
        for endpoint in self.endpoints.values() {
            if !(unlisted && endpoint.link == Link::Cut) {
                self.scheduler
                    .set_endpoint(self.now, endpoint.report.clone());
            }
        }
        for (id, record) in &self.records {
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
        let clock = now.as_micros() / 1_000;
        let ids: Vec<String> = self.endpoints.keys().cloned().collect();
        for id in ids {
            let endpoint = self.endpoints.get_mut(&id).expect("it was listed");
            let due: Vec<Start> = endpoint
                .late
                .iter()
                .filter(|(at, _)| *at <= now)
                .map(|(_, start)| start.clone())
                .collect();
            endpoint.late.retain(|(at, _)| *at > now);
            let lapsed = clock > endpoint.lease_end_ms;
            let fails = endpoint.fails;
            let mut over = Vec::new();
            endpoint.live.retain(|live| {
                let ended = live.ends_at.is_some_and(|at| at <= now);
                if lapsed || ended {
                    let how = match (ended, fails) {
                        (false, _) => End::Lapsed,
                        (true, true) => End::Failed,
                        (true, false) => End::Done,
                    };
                    over.push((live.clone(), how));
                }
                !(lapsed || ended)
            });
            for (live, how) in over {
                if how == End::Done {
                    self.done.insert(live.name.to_string());
                }
                endpoint.end(&live, how);
            }
            for start in due {
                self.start(&start);
            }
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
            self.scheduler.unlist_endpoint(self.now, &id);
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
                self.scheduler.started(self.now, order.run, settled);
            }
            Command::Stop(order) => {
                let settled = self.order_stop(&order);
                self.scheduler.stopped(self.now, order.run, settled);
            }
            Command::Hold(order) => {
                let held = self.order_hold(&order);
                // The answer comes with the next look of the clock.
                self.now = self.now + Duration::from_micros(1);
                self.scheduler
                    .held(self.now, order.endpoint, order.sent, held);
            }
            Command::Pace(_) => {}
            Command::Save(saves) => {
                if !self.store_answers {
                    self.scheduler.saved(self.now, &saves, &Ending::Unknown);
                    return;
                }
                self.revision += 1;
                for save in &saves {
                    self.progress.insert(save.id.clone(), save.progress.clone());
                    self.versions.insert(format!("p{}", save.id), self.revision);
                }
                self.scheduler
                    .saved(self.now, &saves, &Ending::Saved(self.revision));
            }
            Command::Remove(ids) => {
                for id in &ids {
                    self.progress.remove(id);
                    self.records.remove(id);
                    self.scheduler.forget_job(id);
                }
                self.scheduler.removed(&ids, true);
            }
            Command::Move(order) => {
                self.seen
                    .moves
                    .push((self.now, order.host.clone(), order.pool.clone()));
                self.take_down(&order.host, &order.pool, HostState::Moving, MOVE_MS);
            }
            Command::Maintain(Upkeep { host, wave }) => {
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

    fn order_start(&mut self, order: &Start) -> Settled {
        let Some(endpoint) = self.endpoints.get_mut(&order.target.id) else {
            return Settled::Unreachable;
        };
        match endpoint.link {
            Link::Cut => Settled::Unreachable,
            Link::Good => self.start(order),
            Link::AnswersLost => {
                self.start(order);
                Settled::Unknown
            }
            Link::LateStarts(after) => {
                let at = self.now + Duration::from_millis(after);
                endpoint.late.push((at, order.clone()));
                Settled::Unknown
            }
        }
    }

    fn start(&mut self, order: &Start) -> Settled {
        let step = &self.records[&order.name.job].spec.steps[order.name.step as usize];
        let (now, clock) = (self.now, self.now.as_micros() / 1_000);
        let task = order.name.to_string();
        let endpoint = self.endpoints.get_mut(&order.target.id).expect("it exists");
        let reject = |rejection| Settled::Rejected(rejection, Some(clock));
        if let Some(rejection) = endpoint.rejects {
            self.seen.rejections += 1;
            return reject(rejection);
        }
        if order.fence < endpoint.fence {
            return reject(Rejection::Fenced);
        }
        endpoint.fence = order.fence;
        if endpoint
            .stopped
            .get(&task)
            .is_some_and(|&number| order.number <= number)
        {
            return reject(Rejection::StaleNumber);
        }
        if order.lease_end_ms < clock {
            return reject(Rejection::LeaseOver);
        }
        endpoint.lease_end_ms = endpoint.lease_end_ms.max(order.lease_end_ms);
        if !step
            .reserved()
            .fits(&endpoint.used(), &endpoint.report.capacity)
        {
            return reject(Rejection::NoRoom);
        }
        assert!(
            !self.done.contains(&task),
            "{task} starts again after it was done"
        );
        let span = Duration::from_millis(step.estimate_ms) * endpoint.slowness;
        endpoint.live.push(Live {
            name: order.name.clone(),
            number: order.number,
            started_at: now,
            ends_at: (!step.long_running).then(|| now + span),
            reserved: step.reserved(),
        });
        let place = order.target.id.clone();
        self.seen.starts.push((now, task, order.number, place));
        Settled::Done(Some(clock))
    }

    fn order_stop(&mut self, order: &Stop) -> Settled {
        let clock = self.now.as_micros() / 1_000;
        let Some(endpoint) = self.endpoints.get_mut(&order.target.id) else {
            return Settled::Unreachable;
        };
        if endpoint.link == Link::Cut {
            return Settled::Unreachable;
        }
        if order.fence < endpoint.fence {
            return Settled::Rejected(Rejection::Fenced, Some(clock));
        }
        let task = order.name.to_string();
        let highest = endpoint.stopped.entry(task).or_default();
        *highest = (*highest).max(order.number);
        let found = endpoint
            .live
            .iter()
            .position(|live| live.name == order.name && live.number == order.number);
        if let Some(found) = found {
            let live = endpoint.live.remove(found);
            endpoint.end(&live, End::Stopped);
        }
        if endpoint.link == Link::AnswersLost {
            return Settled::Unknown;
        }
        Settled::Done(Some(clock))
    }

    fn order_hold(&mut self, order: &Hold) -> Held {
        self.seen.holds += 1;
        let clock = self.now.as_micros() / 1_000;
        let Some(endpoint) = self.endpoints.get_mut(&order.target.id) else {
            return Held::Not(Settled::Unreachable);
        };
        if endpoint.link == Link::Cut {
            return Held::Not(Settled::Unreachable);
        }
        if order.fence < endpoint.fence {
            return Held::Not(Settled::Rejected(Rejection::Fenced, Some(clock)));
        }
        endpoint.fence = order.fence;
        if let Some(end) = order.lease_end_ms {
            endpoint.lease_end_ms = endpoint.lease_end_ms.max(end);
        }
        endpoint
            .ended
            .retain(|row| row.sequence > order.acknowledged);
        if endpoint.link == Link::AnswersLost {
            return Held::Not(Settled::Unknown);
        }
        let now = self.now;
        let row = |live: &Live| Row {
            name: live.name.clone(),
            number: live.number,
            checkpoint: String::new(),
            percent: live.percent(now),
            gauge: 0,
        };
        Held::Reported(Reply {
            born: Some(endpoint.report.born),
            clock_ms: clock,
            running: endpoint.live.iter().map(row).collect(),
            ended: endpoint.ended.clone(),
        })
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
                assert!(tasks.insert(task.clone()), "{task} runs twice at once");
            }
        }
    }
}

impl Endpoint {
    fn used(&self) -> Resource {
        let mut used = Resource::default();
        for live in &self.live {
            used.add(&live.reserved);
        }
        used
    }

    fn end(&mut self, live: &Live, how: End) {
        self.sequence += 1;
        let highest = self.stopped.entry(live.name.to_string()).or_default();
        *highest = (*highest).max(live.number);
        self.ended.push(EndRow {
            sequence: self.sequence,
            name: live.name.clone(),
            number: live.number,
            how,
            checkpoint: String::new(),
        });
    }
}
