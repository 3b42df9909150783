//! Cost of the leader's decisions on jobs, at fleets of different sizes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use rhubarbrill_core::job::configuration::{Configuration, Pool, Queue};
use rhubarbrill_core::job::scheduler::{
    ActiveRun, Authority, Command, Hold, HoldOutcome, Host, HostState, Options,
    OrderOutcome, RunReport, SaveOutcome, Scheduler, Start, Term,
};
use rhubarbrill_core::job::{EndpointKey, Record, Registration, Resource, Spec, Step};
use rhubarbrill_core::time::{Instant, Timestamp};

/// Hosts of the deployments of today, of the grown ones, and as planned.
const SIZES: [usize; 3] = [49, 350, 8_100];

/// Pools of each deployment.
const POOLS: usize = 4;

/// Tasks that each endpoint runs.
const TASKS_PER_ENDPOINT: usize = 8;

/// Tasks of each job.
const TASKS_PER_JOB: u32 = 16;

/// Times that each decision is measured.
const RUNS: u32 = 40;

/// Step of the virtual clock between two decisions.
const TICK: Duration = Duration::from_millis(5);

/// measure the cost of the leader's decisions on jobs at 49, 350 and 8,100 hosts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub struct Args {}

/// A decision whose cost is measured.
struct Decision {
    name: &'static str,
    measure: fn(&mut Bench) -> f64,
}

const DECISIONS: [Decision; 4] = [
    Decision {
        name: "a round without news",
        measure: Bench::round,
    },
    Decision {
        name: "a job of 16 tasks, from its arrival to its starts",
        measure: Bench::job,
    },
    Decision {
        name: "a report of an endpoint",
        measure: Bench::report,
    },
    Decision {
        name: "a round on hosts",
        measure: Bench::hosts,
    },
];

/// A leader with a fleet at work.
struct Bench {
    scheduler: Scheduler,
    now: Instant,
    hosts: Vec<Host>,
    rows: BTreeMap<EndpointKey, Vec<ActiveRun>>,
    by_id: BTreeMap<String, EndpointKey>,
    held: Vec<Hold>,
    jobs: u64,
    revision: u64,
}

pub fn run(_: &Args) {
    println!("| us per decision | 49 hosts | 350 hosts | 8,100 hosts |");
    println!("|---|---|---|---|");
    let mut benches = SIZES.map(Bench::new);
    for decision in DECISIONS {
        let [small, medium, large] = benches.each_mut().map(decision.measure);
        let name = decision.name;
        println!("| {name} | {small:.0} | {medium:.0} | {large:.0} |");
    }
}

impl Bench {
    fn new(hosts: usize) -> Self {
        let now = Instant::from_millis(1_000_000);
        let options = Options {
            lease_term: Duration::from_secs(5),
            inherited_bound: Duration::from_secs(10),
            retention: Duration::from_secs(150),
        };
        let term = Term {
            fencing_token: 10,
            number: 1,
            start_revision: 10,
        };
        let mut bench = Self {
            scheduler: Scheduler::new(options, term, now),
            now,
            hosts: (0..hosts).map(host).collect(),
            rows: BTreeMap::new(),
            by_id: BTreeMap::new(),
            held: Vec::new(),
            jobs: 0,
            revision: 100,
        };
        bench.scheduler.set_configuration(configuration());
        for host in bench.hosts.clone() {
            bench.scheduler.set_endpoint(now, report(&host));
        }
        bench.scheduler.set_hosts(now, bench.hosts.clone());
        bench.advance();
        let jobs = hosts * TASKS_PER_ENDPOINT / TASKS_PER_JOB as usize;
        for _ in 0..jobs {
            bench.submit();
        }
        for _ in 0..4 {
            bench.advance();
        }
        bench
    }

    fn submit(&mut self) {
        self.jobs += 1;
        self.revision += 1;
        let wall = self.wall();
        let queue = format!("q{}", self.jobs as usize % POOLS);
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
            submitted: wall,
            spec: Spec {
                payload: String::new(),
                steps: vec![step],
                recurrence: None,
            },
        };
        let id = format!("{:016x}", self.jobs);
        let revision = self.revision;
        self.scheduler
            .add_job(self.now, wall, &id, revision, record, None);
    }

    fn wall(&self) -> Timestamp {
        Timestamp::from_millis(self.now.as_micros() / 1_000)
    }

    /// Lets the leader decide, and carries out what it says.
    fn advance(&mut self) {
        self.now = self.now + TICK;
        let wall = self.wall();
        let commands = self.scheduler.poll(self.now, wall, Authority::Certain);
        self.scheduler.take_events();
        for command in commands {
            match command {
                Command::Hold(order) => self.hold(order),
                Command::Save(saves) => {
                    self.revision += 1;
                    let ending = SaveOutcome::Saved(self.revision);
                    self.scheduler
                        .handle_save_outcome(self.now, &saves, &ending);
                }
                Command::Start(order) => self.start(&order),
                _ => {}
            }
        }
    }

    fn start(&mut self, order: &Start) {
        let row = ActiveRun {
            name: order.name.clone(),
            number: order.number,
            checkpoint: String::new(),
            percent: 10,
            gauge: 0,
        };
        if let Some(&endpoint) = self.by_id.get(&order.target.id) {
            self.rows.entry(endpoint).or_default().push(row);
        }
        let settled = OrderOutcome::Done(None);
        self.scheduler
            .handle_start_outcome(self.now, order.run, settled);
    }

    fn hold(&mut self, order: Hold) {
        self.by_id.insert(order.target.id.clone(), order.endpoint);
        if order.wait.is_zero() {
            self.answer(&order);
        } else {
            self.held.push(order);
        }
    }

    fn answer(&mut self, order: &Hold) {
        let running = self.rows.get(&order.endpoint).cloned().unwrap_or_default();
        let reply = RunReport {
            born: Some(1),
            clock_ms: 0,
            running,
            ended: Vec::new(),
        };
        let held = HoldOutcome::Reported(reply);
        self.scheduler
            .handle_hold_outcome(self.now, order.endpoint, order.sent, held);
    }

    fn round(&mut self) -> f64 {
        mean(|| self.advance())
    }

    fn job(&mut self) -> f64 {
        mean(|| {
            self.submit();
            self.advance();
            self.advance();
        })
    }

    fn report(&mut self) -> f64 {
        let orders = std::mem::take(&mut self.held);
        let mut orders = orders.iter().cycle();
        mean(|| {
            if let Some(order) = orders.next() {
                self.answer(order);
            }
        })
    }

    fn hosts(&mut self) -> f64 {
        mean(|| {
            self.now = self.now + TICK;
            self.scheduler.set_hosts(self.now, self.hosts.clone());
            self.scheduler.poll_hosts(self.now);
        })
    }
}

/// Returns the mean time of a decision, in microseconds.
fn mean(mut decide: impl FnMut()) -> f64 {
    let began = std::time::Instant::now();
    for _ in 0..RUNS {
        decide();
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(RUNS)
}

fn host(number: usize) -> Host {
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

fn report(host: &Host) -> Registration {
    Registration {
        id: host.endpoint.clone().unwrap_or_default(),
        born: 1,
        pool: host.pool.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: host.zone.clone(),
        labels: vec!["kind".to_owned(), "rack".to_owned()],
        capacity: host.capacity,
        draining: false,
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
                standby: false,
            })
            .collect(),
        ..Configuration::default()
    }
}
