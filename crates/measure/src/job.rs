//! Measures the time of the leader's decisions on jobs at several fleet sizes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use rhubarbrill_core::job::configuration::{Configuration, Pool, Queue};
use rhubarbrill_core::job::scheduler::{
    ActiveRun, Authority, ColdLimits, Command, Coverage, Hold, HoldOutcome, Host,
    HostState, Options, OrderOutcome, RunReport, SaveOutcome, Scheduler, Start, Term,
};
use rhubarbrill_core::job::{
    Declared, EndpointKey, Feature, Record, Registration, Resource, Spec, Step,
};
use rhubarbrill_core::time::{Instant, Timestamp};

/// Number of hosts: in the current deployments, after their growth, and as planned.
const FLEET_SIZES: [usize; 3] = [49, 350, 8_100];

/// Number of pools in each fleet; each has one queue.
const POOLS: usize = 4;

/// Number of tasks that are submitted for each endpoint before the measurement.
const TASKS_PER_ENDPOINT: usize = 8;

/// Number of tasks in each job.
const TASKS_PER_JOB: u32 = 16;

/// Number of times that each decision is repeated; the mean time is reported.
const ITERATIONS: u32 = 40;

/// Features that are switched on, those of `deploy/features.ini`.
const FEATURES: [Feature; 4] = [
    Feature::DemandPatterns,
    Feature::EndpointPace,
    Feature::HandOver,
    Feature::Interference,
];

/// Virtual time between two decisions.
const TICK: Duration = Duration::from_millis(5);

/// measure the cost of the leader's decisions on jobs at 49, 350 and 8,100 hosts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub struct Args {}

/// A decision whose cost is measured, with the method that returns its time in
/// microseconds.
struct Decision {
    name: &'static str,
    measure: fn(&mut Bench) -> f64,
}

/// Number of tasks that wait for each endpoint of the pool with a backlog.
const WAITING_TASKS_PER_ENDPOINT: usize = 80;

const DECISIONS: [Decision; 8] = [
    Decision {
        name: "a round without news",
        measure: Bench::idle_poll,
    },
    Decision {
        name: "a job of 16 tasks, from its arrival to its starts",
        measure: Bench::job_start,
    },
    Decision {
        name: "a report of an endpoint",
        measure: Bench::run_report,
    },
    Decision {
        name: "a round on hosts",
        measure: Bench::host_poll,
    },
    Decision {
        name: "a round in which every endpoint has shrunk or grown",
        measure: Bench::resized_poll,
    },
    Decision {
        name: "a round without news, with a backlog in one pool",
        measure: Bench::backlog_poll,
    },
    Decision {
        name: "a round that fills as many new endpoints in this pool",
        measure: Bench::backlog_placement,
    },
    Decision {
        name: "the crash of an endpoint, up to the restarts of its tasks",
        measure: Bench::endpoint_crash,
    },
];

/// A leader's scheduler over a synthetic fleet with running jobs, on a virtual clock.
struct Bench {
    scheduler: Scheduler,
    now: Instant,
    hosts: Vec<Host>,
    /// Runs that each endpoint reports.
    active_runs: BTreeMap<EndpointKey, Vec<ActiveRun>>,
    endpoints_by_id: BTreeMap<String, EndpointKey>,
    /// Holds that wait for a run to end, not answered yet.
    pending_holds: Vec<Hold>,
    /// Number of submitted jobs.
    jobs: u64,
    /// Latest revision of the simulated store.
    revision: u64,
}

/// Prints a table of the mean time of each decision at each fleet size.
pub fn run(_: &Args) {
    println!("| us per decision | 49 hosts | 350 hosts | 8,100 hosts |");
    println!("|---|---|---|---|");
    let mut benches = FLEET_SIZES.map(Bench::new);
    for decision in DECISIONS {
        let [small, medium, large] = benches.each_mut().map(decision.measure);
        let name = decision.name;
        println!("| {name} | {small:.0} | {medium:.0} | {large:.0} |");
    }
}

impl Bench {
    /// Starts a term, registers the endpoints and starts jobs on them.
    fn new(hosts: usize) -> Self {
        let now = Instant::from_millis(1_000_000);
        let options = Options {
            lease_term: Duration::from_secs(5),
            max_lease: Duration::from_secs(6),
            max_record_bytes: 1 << 20,
            inherited_bound: Duration::from_secs(10),
            retention: Duration::from_secs(150),
            max_capacity_age: Duration::from_millis(3_800),
            cold: ColdLimits {
                overrun_permille: 1_500,
                slack: 5,
            },
            features: FEATURES.into_iter().collect(),
            host_orders_per_second: None,
        };
        let term = Term {
            fencing_token: 10,
            number: 1,
            start_revision: 10,
        };
        let mut bench = Self {
            scheduler: Scheduler::new(options, term, now),
            now,
            hosts: (0..hosts).map(bench_host).collect(),
            active_runs: BTreeMap::new(),
            endpoints_by_id: BTreeMap::new(),
            pending_holds: Vec::new(),
            jobs: 0,
            revision: 100,
        };
        bench.scheduler.set_configuration(now, configuration());
        for host in bench.hosts.clone() {
            bench.scheduler.set_endpoint(now, registration(&host));
        }
        bench.scheduler.set_hosts(now, now, bench.hosts.clone());
        bench.poll();
        let jobs = hosts * TASKS_PER_ENDPOINT / TASKS_PER_JOB as usize;
        for _ in 0..jobs {
            bench.submit();
        }
        for _ in 0..4 {
            bench.poll();
        }
        bench
    }

    /// Adds one job of a single step to the scheduler, to each queue in turn.
    fn submit(&mut self) {
        let number = self.jobs as usize % POOLS;
        self.submit_to(number);
    }

    /// Adds one job of a single step to the queue with this number.
    fn submit_to(&mut self, queue: usize) {
        self.jobs += 1;
        self.revision += 1;
        let wall_time = self.wall_time();
        let queue = format!("q{queue}");
        let step = Step {
            count: TASKS_PER_JOB,
            demand: Resource {
                cpu: 6_000,
                memory_mb: 8_000,
                gpu: 0,
            },
            estimate_ms: 60_000,
            ..Step::default()
        };
        let record = Record {
            pool: queue.clone(),
            queue,
            workspace: None,
            declared: Declared::default(),
            submitted: wall_time,
            spec: Spec {
                payload: String::new(),
                steps: vec![step],
                recurrence: None,
            },
        };
        let id = format!("{:016x}", self.jobs);
        let revision = self.revision;
        self.scheduler
            .add_job(self.now, wall_time, &id, revision, record, None);
    }

    fn wall_time(&self) -> Timestamp {
        Timestamp::from_millis(self.now.as_micros() / 1_000)
    }

    /// Advances the clock, polls the scheduler and simulates the outcome of its commands.
    fn poll(&mut self) {
        self.now = self.now + TICK;
        let wall_time = self.wall_time();
        let commands = self.scheduler.poll(self.now, wall_time, Authority::Certain);
        self.scheduler.take_events();
        for command in commands {
            match command {
                Command::Hold(order) => self.handle_hold(order),
                Command::Save(saves) => {
                    self.revision += 1;
                    let outcome = SaveOutcome::Saved(self.revision);
                    self.scheduler
                        .handle_save_outcome(self.now, &saves, &outcome);
                }
                Command::Start(order) => self.handle_start(&order),
                _ => {}
            }
        }
    }

    /// Records the started run at its endpoint and confirms the order.
    fn handle_start(&mut self, order: &Start) {
        let run = ActiveRun {
            name: order.name.clone(),
            number: order.number,
            checkpoint: String::new(),
            percent: 10,
            gauge: 0,
        };
        if let Some(&endpoint) = self.endpoints_by_id.get(&order.target.id) {
            self.active_runs.entry(endpoint).or_default().push(run);
        }
        let outcome = OrderOutcome::Done(None);
        self.scheduler
            .handle_start_outcome(self.now, order.run, outcome);
    }

    /// Answers a hold at once if it doesn't wait; otherwise keeps it pending.
    fn handle_hold(&mut self, order: Hold) {
        self.endpoints_by_id
            .insert(order.target.id.clone(), order.endpoint);
        if order.wait.is_zero() {
            self.answer_hold(&order);
        } else {
            self.pending_holds.push(order);
        }
    }

    /// Reports the endpoint's runs to the scheduler.
    fn answer_hold(&mut self, order: &Hold) {
        let running = self
            .active_runs
            .get(&order.endpoint)
            .cloned()
            .unwrap_or_default();
        let report = RunReport {
            born: Some(1),
            clock_ms: 0,
            running,
            ended: Vec::new(),
            coverage: Coverage::Complete,
        };
        let outcome = HoldOutcome::Reported(report);
        self.scheduler
            .handle_hold_outcome(self.now, order.endpoint, order.sent, outcome);
    }

    /// Times a poll without new input.
    fn idle_poll(&mut self) -> f64 {
        mean_micros(|| self.poll())
    }

    /// Times a job from its submission to the starts of its tasks, over two polls.
    fn job_start(&mut self) -> f64 {
        mean_micros(|| {
            self.submit();
            self.poll();
            self.poll();
        })
    }

    /// Times the handling of an endpoint's report.
    fn run_report(&mut self) -> f64 {
        let holds = std::mem::take(&mut self.pending_holds);
        let mut holds = holds.iter().cycle();
        mean_micros(|| {
            if let Some(order) = holds.next() {
                self.answer_hold(order);
            }
        })
    }

    /// Times an update of the host list and the decisions on hosts that follow.
    fn host_poll(&mut self) -> f64 {
        mean_micros(|| {
            self.now = self.now + TICK;
            self.scheduler
                .set_hosts(self.now, self.now, self.hosts.clone());
            self.scheduler.poll_hosts(self.now);
        })
    }

    /// Times the end of an endpoint's incarnation and the two polls in which its tasks start
    /// elsewhere, on probation.
    fn endpoint_crash(&mut self) -> f64 {
        let hosts = self.hosts.clone();
        let mut hosts = hosts.iter().cycle();
        let mut born = 1;
        mean_micros(|| {
            let Some(host) = hosts.next() else {
                return;
            };
            born += 1;
            let restarted = Registration {
                born,
                ..registration(host)
            };
            if let Some(&key) = self.endpoints_by_id.get(&restarted.id) {
                self.active_runs.remove(&key);
            }
            self.scheduler.set_endpoint(self.now, restarted);
            self.poll();
            self.poll();
        })
    }

    /// Times a poll after every endpoint has told another capacity than before.
    fn resized_poll(&mut self) -> f64 {
        let mut is_small = false;
        mean_micros(|| {
            is_small = !is_small;
            for host in &self.hosts {
                let mut resized = registration(host);
                if is_small {
                    resized.capacity.cpu /= 2;
                }
                self.scheduler.set_endpoint(self.now, resized);
            }
            self.poll();
        })
    }

    /// Times a poll without new input while far more tasks wait than fit in the first pool.
    fn backlog_poll(&mut self) -> f64 {
        let endpoints = self.hosts.len() / POOLS;
        for _ in 0..endpoints * WAITING_TASKS_PER_ENDPOINT / TASKS_PER_JOB as usize {
            self.submit_to(0);
        }
        for _ in 0..4 {
            self.poll();
        }
        mean_micros(|| self.poll())
    }

    /// Times the poll in which waiting tasks are placed on new endpoints, as many as the
    /// first pool has.
    fn backlog_placement(&mut self) -> f64 {
        let first = self.hosts.len().next_multiple_of(POOLS);
        let numbers = (first..2 * first).step_by(POOLS);
        for host in numbers.map(bench_host) {
            self.scheduler.set_endpoint(self.now, registration(&host));
        }
        // The first poll asks the new endpoints what they run.
        self.poll();
        let start = std::time::Instant::now();
        self.poll();
        start.elapsed().as_secs_f64() * 1e6
    }
}

/// Returns the mean time of a decision in microseconds.
fn mean_micros(mut decide: impl FnMut()) -> f64 {
    let start = std::time::Instant::now();
    for _ in 0..ITERATIONS {
        decide();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}

fn bench_host(number: usize) -> Host {
    Host {
        name: format!("m{number}"),
        pool: format!("q{}", number % POOLS),
        zone: format!("z{}", number % 3),
        state: HostState::Up,
        capacity: Resource {
            cpu: 64_000,
            memory_mb: 262_144,
            gpu: 0,
        },
        endpoint: Some(format!("e{number}")),
    }
}

fn registration(host: &Host) -> Registration {
    Registration {
        id: host.endpoint.clone().unwrap_or_default(),
        born: 1,
        pool: host.pool.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: host.zone.clone(),
        labels: vec!["kind".to_owned(), "rack".to_owned()],
        capacity: host.capacity,
        draining: false,
        cold_remaining: Duration::ZERO,
        clock_ms: 0,
    }
}

fn configuration() -> Configuration {
    let name = |number| format!("q{number}");
    Configuration {
        version: 1,
        queues: (0..POOLS)
            .map(|number| Queue {
                name: name(number),
                host: String::new(),
                prefix: String::new(),
                pool: name(number),
                priority: 0,
                attempts: 2,
                stretch: 1.6,
                target_latency: Duration::from_millis(600),
                public: true,
                placement_policy: None,
            })
            .collect(),
        pools: (0..POOLS)
            .map(|number| Pool {
                name: name(number),
                ..Pool::default()
            })
            .collect(),
        ..Configuration::default()
    }
}
