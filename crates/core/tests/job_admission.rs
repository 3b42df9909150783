//! Overload of a pool by jobs whose run times differ from their estimates: the capacity
//! goes to jobs that end on time, and the backlog doesn't make later jobs late.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrill_core::job::{Configuration, Feature, Features};
use rhubarbrill_core::time::Instant;

mod job_support;

use job_support::{CAPACITY, Simulation, configuration, queue, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Hosts of the pool.
const HOSTS: usize = 16;

/// Queues of the pool, with the mean run time of their tasks in percent of the estimate.
const QUEUES: [(&str, u64); 3] = [("a", 90), ("b", 120), ("c", 170)];

/// Largest deviation of a task's run time from the mean of its queue, in percent of it. The
/// largest run time is thus 1.9 times the estimate.
const DEVIATION_PERCENT: u64 = 11;

/// Seeds of the load.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Tasks of a step.
const TASKS: u32 = 8;

/// Time from the end of a step to the start of the next one in an idle pool, in
/// milliseconds.
const STEP_LATENCY_MS: u64 = 250;

/// Ticks of the arrival process in a second.
const TICKS_PER_SECOND: u32 = 100;

/// Share of the consumed capacity that must go to jobs that end on time, in percent.
const MIN_ON_TIME_PERCENT: u64 = 90;

/// Longest time from the end of the burst until nine tenths of the new jobs are on time
/// again.
const MAX_RECOVERY: Duration = SECOND;

/// Seeded generator of pseudo-random numbers (a linear congruential one).
struct Random(u64);

impl Random {
    fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        low + (self.0 >> 33) % (high - low + 1)
    }
}

/// A submitted job.
struct Submitted {
    at: Instant,
    deadline: Instant,
    steps: u32,
    queue: &'static str,
    work: u64,
    /// Whether the job is on time if each task starts when it is ready.
    possible: bool,
}

/// A simulated pool with its load and what was submitted.
struct Load {
    simulation: Simulation,
    random: Random,
    /// Work that is to be submitted, in thousandths of a core times milliseconds.
    owed: u64,
    /// Work of the job that was submitted last, for which the next one waits.
    next_work: u64,
    jobs: BTreeMap<String, Submitted>,
}

impl Load {
    fn new(seed: u64, features: Features) -> Self {
        let mut simulation = Simulation::with_features(shared_pool(), features);
        simulation.add_hosts("a", HOSTS);
        simulation.run_for(SECOND / 5);
        Self {
            simulation,
            random: Random(seed),
            owed: 0,
            next_work: 0,
            jobs: BTreeMap::new(),
        }
    }

    /// Submits jobs for a time, whose actual work is a share of what the pool can serve.
    fn run(&mut self, seconds: u32, load_percent: u64) {
        let capacity = HOSTS as u64 * CAPACITY.cpu;
        for _ in 0..seconds * TICKS_PER_SECOND {
            self.owed +=
                capacity * load_percent / 100 * 1_000 / u64::from(TICKS_PER_SECOND);
            while self.owed >= self.next_work {
                self.owed -= self.next_work;
                self.next_work = self.submit();
            }
            self.simulation.run_for(SECOND / TICKS_PER_SECOND);
        }
    }

    /// Submits a job and returns its actual work.
    fn submit(&mut self) -> u64 {
        let random = &mut self.random;
        let (queue, mean) = QUEUES[random.between(0, 2) as usize];
        let mut steps = Vec::new();
        for index in 0..random.between(1, 3) {
            let cpu = random.between(1, 4) * 1_000;
            let mut step = step(TASKS, cpu, random.between(600, 2_000));
            step.after = (index > 0)
                .then(|| u32::try_from(index - 1).expect("small"))
                .into_iter()
                .collect();
            steps.push(step);
        }
        let spec = spec(steps);
        let chain_ms = spec.critical_path_ms();
        let id = self.simulation.submit(queue, spec.clone());
        let (mut work, mut shortest_ms) = (0, 0);
        for (position, step) in spec.steps.iter().enumerate() {
            let mut longest_ms = 0;
            for index in 0..TASKS {
                let deviation = self.random.between(0, 2 * DEVIATION_PERCENT);
                let percent = mean * (100 + deviation - DEVIATION_PERCENT) / 100;
                let task = format!("{id}.0.{position}.{index}");
                self.simulation.run_time_percents.insert(task, percent);
                let run_ms = step.estimate_ms * percent / 100;
                work += step.demand.cpu * run_ms;
                longest_ms = longest_ms.max(run_ms);
            }
            shortest_ms += longest_ms + STEP_LATENCY_MS;
        }
        let late_after = Duration::from_millis(chain_ms * 16 / 10 + 600);
        let at = self.simulation.now;
        let submitted = Submitted {
            at,
            deadline: at + late_after,
            steps: u32::try_from(spec.steps.len()).expect("small"),
            queue,
            work,
            possible: Duration::from_millis(shortest_ms) <= late_after,
        };
        self.jobs.insert(id, submitted);
        work
    }

    /// Returns the time at which each finished job ended.
    fn ends(&self) -> BTreeMap<&str, Instant> {
        let mut done: BTreeMap<&str, (u32, Instant)> = BTreeMap::new();
        for (at, task) in &self.simulation.observed.ends {
            let entry = done.entry(&task.job).or_insert((0, *at));
            *entry = (entry.0 + 1, *at);
        }
        let finished = done
            .into_iter()
            .filter(|(id, (count, _))| *count == self.jobs[*id].steps * TASKS);
        finished.map(|(id, (_, at))| (id, at)).collect()
    }

    /// Returns the work done between two instants: that of jobs that ended on time, and
    /// that of all jobs.
    fn work_done(&self, from: Instant, to: Instant) -> (u64, u64) {
        let ends = self.ends();
        let ended: BTreeMap<String, Instant> = self
            .simulation
            .observed
            .ends
            .iter()
            .map(|(at, task)| (task.to_string(), *at))
            .collect();
        let (mut on_time, mut all) = (0, 0);
        for (at, task, _, _) in &self.simulation.observed.starts {
            let end = ended.get(task).copied().unwrap_or(to).min(to);
            let busy = end.saturating_since((*at).max(from)).as_millis() as u64;
            let mut parts = task.split('.');
            let id = parts.next().expect("a task's name begins with its job's");
            let position: usize =
                parts.nth(1).expect("a step").parse().expect("a number");
            let cpu = self.simulation.records[id].spec.steps[position].demand.cpu;
            all += cpu * busy;
            if ends
                .get(id)
                .is_some_and(|end| *end <= self.jobs[id].deadline)
            {
                on_time += cpu * busy;
            }
        }
        (on_time, all)
    }

    /// Returns how many of a queue's jobs that were submitted between two instants and could
    /// be on time were so: all of them, and the largest tenth.
    fn served(&self, queue: &str, from: Instant, to: Instant) -> (Served, Served) {
        let ends = self.ends();
        let submitted = self.jobs.iter();
        let mut jobs: Vec<(u64, bool, bool)> = submitted
            .filter(|(_, job)| job.queue == queue && job.at >= from && job.at < to)
            .map(|(id, job)| {
                let end = ends.get(id.as_str());
                (
                    job.work,
                    job.possible,
                    end.is_some_and(|end| *end <= job.deadline),
                )
            })
            .collect();
        jobs.sort_unstable();
        let served = |jobs: &[(u64, bool, bool)]| Served {
            submitted: jobs.iter().filter(|job| job.1).count() as u64,
            on_time: jobs.iter().filter(|job| job.1 && job.2).count() as u64,
        };
        (served(&jobs), served(&jobs[jobs.len() * 9 / 10..]))
    }
}

/// Returns a configuration whose queues share pool `a`.
fn shared_pool() -> Configuration {
    let mut configuration = configuration(&["a"]);
    configuration.queues = QUEUES
        .map(|(name, _)| {
            let mut queue = queue(name);
            queue.pool = "a".to_owned();
            queue
        })
        .into();
    configuration
}

/// What came of one burst.
#[derive(Debug, Default)]
struct Outcome {
    /// Share of the consumed capacity that went to jobs that ended on time, in percent.
    consumed_percent: u64,
    /// Share of the pool's capacity that went to jobs that ended on time, in percent.
    held_percent: u64,
    /// Jobs after the burst that could have been on time, and those of them that were.
    after: Served,
    /// Jobs of the burst that could have been on time, and those of them that were.
    all: Served,
    /// Those of the largest tenth of their queue.
    largest: Served,
}

#[derive(Debug, Default)]
struct Served {
    submitted: u64,
    on_time: u64,
}

impl Served {
    fn add(&mut self, other: &Self) {
        self.submitted += other.submitted;
        self.on_time += other.on_time;
    }
}

/// Asks the pool for three times what it holds for ten seconds, between times of moderate
/// load.
fn overload(seed: u64, features: Features) -> Outcome {
    let mut load = Load::new(seed, features);
    load.run(5, 50);
    let began = load.simulation.now;
    load.run(10, 300);
    let ended = load.simulation.now;
    load.run(6, 40);
    load.simulation.run_for(10 * SECOND);
    let (on_time, all) = load.work_done(began, ended);
    let held = HOSTS as u64 * CAPACITY.cpu * 10_000;
    let mut outcome = Outcome {
        consumed_percent: on_time * 100 / all,
        held_percent: on_time * 100 / held,
        ..Outcome::default()
    };
    for (queue, _) in QUEUES {
        let (all, largest) = load.served(queue, began, ended);
        outcome.all.add(&all);
        outcome.largest.add(&largest);
        let recovered = ended + MAX_RECOVERY;
        let (after, _) = load.served(queue, recovered, load.simulation.now);
        outcome.after.add(&after);
    }
    eprintln!("SEED {seed} {outcome:?}");
    outcome
}

/// Without the feasible set, most of the capacity goes to jobs that end late, and their
/// backlog makes later jobs late.
#[test]
fn capacity_goes_to_jobs_that_end_on_time() {
    let mut after = Served::default();
    let (mut all, mut largest) = (Served::default(), Served::default());
    for seed in SEEDS {
        let outcome = overload(
            seed,
            Features::NONE
                .with(Feature::Admission)
                .with(Feature::FeasibleSet),
        );
        assert!(
            outcome.consumed_percent >= MIN_ON_TIME_PERCENT,
            "{outcome:?}"
        );
        assert!(outcome.held_percent >= MIN_ON_TIME_PERCENT, "{outcome:?}");
        after.add(&outcome.after);
        all.add(&outcome.all);
        largest.add(&outcome.largest);
    }
    assert!(
        after.on_time * 100 >= after.submitted * MIN_ON_TIME_PERCENT,
        "after the burst: {after:?}"
    );
    // The largest tenth is served at least half as often as all jobs.
    assert!(
        largest.on_time * 2 * all.submitted >= all.on_time * largest.submitted,
        "{largest:?} of {all:?}"
    );
}
