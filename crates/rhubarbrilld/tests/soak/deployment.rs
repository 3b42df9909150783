//! The deployment under test, and the run of a single seed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrill_standin::link::Link;
use rhubarbrill_standin::users::{StoreFault, UserPlatform};

use crate::Troubles;
use crate::callers;
use crate::fault::{Fault, Recovery};
use crate::invariants;
use crate::support::daemon::Folder;
use crate::support::jobs::{Entry, TASK_CPU, free_addresses, wait_until};

/// Number of entry hosts.
pub const ENTRIES: usize = 3;

/// Number of endpoints.
pub const ENDPOINTS: usize = 4;

/// CPU of an endpoint that isn't resized, in thousandths of a core.
pub const FULL_CPU: u64 = 32_000;

/// Number of callers that submit jobs.
const CALLERS: u64 = 3;

/// Maximum number of concurrent faults.
const MAX_FAULTS: usize = 3;

/// Shortest duration of a fault.
const MIN_FAULT_DURATION: Duration = Duration::from_millis(200);

/// Longest duration of a fault.
pub const MAX_FAULT_DURATION: Duration = Duration::from_millis(4_500);

/// Longest pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 900;

/// Probability that a fault is followed by the next one without a pause.
const NO_PAUSE_PROBABILITY: f64 = 0.4;

/// Maximum deviation of the rate of an endpoint's clock, in thousandths.
const MAX_CLOCK_DRIFT_PERMILLE: u64 = 20;

/// The running processes and stand-ins, and the links between them.
pub struct Deployment {
    pub folder: Folder,
    pub users: UserPlatform,
    /// The entry hosts by index; `None` for one that is not running.
    pub entries: Vec<Option<Entry>>,
    /// The fixed addresses of each entry host: for callers, readiness and metrics.
    pub addresses: Vec<[SocketAddr; 3]>,
    /// The link from each entry host to the store.
    pub store_links: Vec<Link>,
    /// The link to each endpoint, shared by all entry hosts.
    pub endpoint_links: Vec<Link>,
    /// The version of the newest configuration.
    pub configuration: u64,
}

impl Deployment {
    fn start(random: &mut ChaCha8Rng, troubles: Troubles) -> Self {
        let mut users = UserPlatform::start();
        users.allow_host_moves();
        if troubles == Troubles::Endpoints {
            users.accept_overload(TASK_CPU);
            users.set_crashing_payload(callers::CRASHING_PAYLOAD);
        }
        let mut endpoint_links = Vec::new();
        for _ in 0..ENDPOINTS {
            let run_time = Duration::from_millis(random.random_range(200..3_000));
            let id = users.add_endpoint("a", run_time);
            let drift = MAX_CLOCK_DRIFT_PERMILLE;
            users
                .set_clock_speed(&id, random.random_range(1_000 - drift..=1_000 + drift));
            let link =
                Link::start(users.endpoint(&id).expect("the endpoint was added above"));
            users.register_at(&id, link.address());
            endpoint_links.push(link);
        }
        users.configure(1, "a", &["k"]);
        let store_links = (0..ENTRIES).map(|_| Link::start(users.store()));
        let mut deployment = Self {
            folder: Folder::new(),
            store_links: store_links.collect(),
            users,
            entries: (0..ENTRIES).map(|_| None).collect(),
            addresses: (0..ENTRIES).map(|_| free_addresses()).collect(),
            endpoint_links,
            configuration: 1,
        };
        for index in 0..ENTRIES {
            deployment.start_entry(index);
        }
        for entry in deployment.entries.iter().flatten() {
            wait_until("the entry host is ready", || entry.is_ready());
        }
        deployment
    }

    /// Starts an entry host at its fixed addresses.
    pub fn start_entry(&mut self, index: usize) {
        let entry = Entry::launch(
            &self.folder,
            &self.users,
            self.store_links[index].address(),
            &format!("entry-{index}"),
            self.addresses[index],
        );
        self.entries[index] = Some(entry);
    }

    /// Returns the index of the leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let name = self.users.leader()?;
        name.strip_prefix("entry-")?.parse().ok()
    }

    /// Removes every fault and restarts the entry hosts that are not running.
    fn heal(&mut self) {
        self.users.set_store_fault(StoreFault::None);
        for index in 0..ENDPOINTS {
            let id = format!("i-{index}");
            self.users.resize(&id, FULL_CPU);
            self.users.set_cut_off(&id, false);
            self.users.set_rejecting(&id, false);
        }
        for link in self.store_links.iter().chain(&self.endpoint_links) {
            link.heal();
        }
        for index in 0..ENTRIES {
            match &mut self.entries[index] {
                Some(entry) => entry.signal("CONT"),
                None => self.start_entry(index),
            }
        }
    }
}

/// Runs a seed with faults for `duration`, and returns the violations, followed by the
/// injected faults if there are any violations.
pub fn run(seed: u64, duration: Duration, troubles: Troubles) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut deployment = Deployment::start(&mut random, troubles);
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> =
        deployment.addresses.iter().map(|all| all[0]).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (stop, addresses) = (Arc::clone(&stop), addresses.clone());
            let random = ChaCha8Rng::seed_from_u64(seed ^ (number + 1) << 32);
            std::thread::spawn(move || {
                callers::run(number, random, &addresses, troubles, &stop)
            })
        })
        .collect();
    let injected = inject_faults(&mut deployment, &mut random, duration, troubles);
    deployment.heal();
    stop.store(true, Ordering::SeqCst);
    let jobs = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap());
    let jobs: Vec<callers::Job> = jobs.collect();
    let mut violations = invariants::check(&deployment, &addresses, &jobs);
    if !violations.is_empty() {
        violations.extend(injected);
        invariants::keep_logs(&deployment, seed);
    }
    violations
}

/// Injects and removes faults for `duration`, up to `MAX_FAULTS` concurrently; returns a
/// description of each injected fault.
fn inject_faults(
    deployment: &mut Deployment,
    random: &mut ChaCha8Rng,
    duration: Duration,
    troubles: Troubles,
) -> Vec<String> {
    let start = Instant::now();
    let mut injected = Vec::new();
    let mut active: Vec<(Instant, Recovery)> = Vec::new();
    while start.elapsed() < duration {
        let now = Instant::now();
        let (due, rest) = active.into_iter().partition(|(at, _)| *at <= now);
        active = rest;
        for (_, recovery) in due {
            recovery.apply(deployment);
        }
        if active.len() < MAX_FAULTS {
            let fault = Fault::random(random, deployment, troubles);
            let fault_duration =
                random.random_range(MIN_FAULT_DURATION..MAX_FAULT_DURATION);
            let at = start.elapsed().as_millis();
            injected.push(format!(
                "{at} ms: {fault:?} for {} ms",
                fault_duration.as_millis()
            ));
            if let Some(recovery) = fault.inject(deployment) {
                active.push((now + fault_duration, recovery));
            }
        }
        // Often the next fault follows without a pause.
        let pause = if random.random_bool(NO_PAUSE_PROBABILITY) {
            0
        } else {
            random.random_range(50..MAX_PAUSE_MS)
        };
        std::thread::sleep(Duration::from_millis(pause));
    }
    injected
}
