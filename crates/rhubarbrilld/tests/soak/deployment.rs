//! The deployment that a soak plays on, and the course of one seed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrill_standin::link::Link;
use rhubarbrill_standin::users::{StoreFault, UserPlatform};

use crate::callers;
use crate::fault::{Fault, Healing};
use crate::promise;
use crate::support::daemon::Folder;
use crate::support::jobs::{Entry, free_addresses, until};

/// Number of entry hosts.
pub const ENTRIES: usize = 3;

/// Number of endpoints.
pub const ENDPOINTS: usize = 4;

/// Number of callers that submit jobs.
const CALLERS: u64 = 3;

/// Most faults at once.
const MAX_FAULTS: usize = 3;

/// Shortest time that a fault lasts.
const MIN_FAULT: Duration = Duration::from_millis(200);

/// Longest time that a fault lasts.
pub const MAX_FAULT: Duration = Duration::from_millis(4_500);

/// Longest pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 900;

/// Part of the faults that the next one follows at once.
const AT_ONCE: f64 = 0.4;

/// Most that an endpoint's clock runs fast or slow, in thousandths.
const MAX_DRIFT_PERMILLE: u64 = 20;

/// What runs, and the ways between.
pub struct Deployment {
    pub folder: Folder,
    pub users: UserPlatform,
    /// An entry host that isn't running is absent.
    pub entries: Vec<Option<Entry>>,
    pub addresses: Vec<[SocketAddr; 3]>,
    /// The way of each entry host to the store.
    pub store_links: Vec<Link>,
    /// The way of all entry hosts to each endpoint.
    pub endpoint_links: Vec<Link>,
    pub configuration: u64,
}

impl Deployment {
    fn start(random: &mut ChaCha8Rng) -> Self {
        let mut users = UserPlatform::start();
        users.allow_host_moves();
        let mut endpoint_links = Vec::new();
        for _ in 0..ENDPOINTS {
            let run_time = Duration::from_millis(random.random_range(200..3_000));
            let id = users.add_endpoint("a", run_time);
            let drift = MAX_DRIFT_PERMILLE;
            users
                .set_clock_speed(&id, random.random_range(1_000 - drift..=1_000 + drift));
            let link = Link::start(users.endpoint(&id).expect("it was added"));
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
        for place in 0..ENTRIES {
            deployment.start_entry(place);
        }
        for entry in deployment.entries.iter().flatten() {
            until("the entry host is ready", || entry.is_ready());
        }
        deployment
    }

    /// Starts an entry host, at the addresses that it always has.
    pub fn start_entry(&mut self, place: usize) {
        let entry = Entry::launch(
            &self.folder,
            &self.users,
            self.store_links[place].address(),
            &format!("entry-{place}"),
            self.addresses[place],
        );
        self.entries[place] = Some(entry);
    }

    /// Returns the place of the leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let name = self.users.leader()?;
        name.strip_prefix("entry-")?.parse().ok()
    }

    /// Ends every fault.
    fn heal(&mut self) {
        self.users.set_store_fault(StoreFault::None);
        for link in self.store_links.iter().chain(&self.endpoint_links) {
            link.heal();
        }
        for place in 0..ENTRIES {
            match &mut self.entries[place] {
                Some(entry) => entry.signal("CONT"),
                None => self.start_entry(place),
            }
        }
    }
}

/// Plays a seed and returns the promises that were broken.
pub fn soak(seed: u64, span: Duration) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut deployment = Deployment::start(&mut random);
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> =
        deployment.addresses.iter().map(|all| all[0]).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (stop, addresses) = (Arc::clone(&stop), addresses.clone());
            let random = ChaCha8Rng::seed_from_u64(seed ^ (number + 1) << 32);
            std::thread::spawn(move || callers::run(number, random, &addresses, &stop))
        })
        .collect();
    let story = trouble(&mut deployment, &mut random, span);
    deployment.heal();
    stop.store(true, Ordering::SeqCst);
    let calls = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap());
    let calls: Vec<callers::Job> = calls.collect();
    let mut broken = promise::check(&deployment, &addresses, &calls);
    if !broken.is_empty() {
        broken.extend(story);
        promise::keep_logs(&deployment, seed);
    }
    broken
}

/// Lets faults come and go, one after the other and beside each other; returns what was done.
fn trouble(
    deployment: &mut Deployment,
    random: &mut ChaCha8Rng,
    span: Duration,
) -> Vec<String> {
    let start = Instant::now();
    let mut story = Vec::new();
    let mut open: Vec<(Instant, Healing)> = Vec::new();
    while start.elapsed() < span {
        let now = Instant::now();
        let (due, rest) = open.into_iter().partition(|(at, _)| *at <= now);
        open = rest;
        for (_, healing) in due {
            healing.carry_out(deployment);
        }
        if open.len() < MAX_FAULTS {
            let fault = Fault::random(random, deployment);
            let lasts = random.random_range(MIN_FAULT..MAX_FAULT);
            let at = start.elapsed().as_millis();
            story.push(format!("{at} ms: {fault:?} for {} ms", lasts.as_millis()));
            if let Some(healing) = fault.carry_out(deployment) {
                open.push((now + lasts, healing));
            }
        }
        // Many a fault comes right upon another.
        let pause = if random.random_bool(AT_ONCE) {
            0
        } else {
            random.random_range(50..MAX_PAUSE_MS)
        };
        std::thread::sleep(Duration::from_millis(pause));
    }
    story
}
