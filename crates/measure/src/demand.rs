//! Generates synthetic demand in which the queues burst one after another.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrill_core::gate::Class;
use rhubarbrill_core::time::Instant;

use crate::deployment::Deployment;

/// Duration of the burst of one queue.
const BURST_DURATION: Duration = Duration::from_secs(8);
/// Demand during a burst, as a multiple of the mean.
const BURST_FACTOR: f64 = 5.0;
/// Demand between bursts, as a multiple of the mean.
const BASELINE_FACTOR: f64 = 0.05;
/// Fraction of the demand that each workspace sends.
const WORKSPACE_FRACTIONS: [f64; 6] = [0.15, 0.10, 0.25, 0.10, 0.30, 0.10];
/// Multiple of its fraction that the leading workspace sends.
const LEADING_FACTOR: f64 = 3.0;
const URGENT_FRACTION: f64 = 0.2;
const REPEATABLE_FRACTION: f64 = 0.5;
const URGENT_DEADLINE: Duration = Duration::from_secs(15);
const NORMAL_DEADLINE: Duration = Duration::from_secs(30);

/// One request of the generated demand.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Time at which the request reaches its entry host.
    pub arrival: Instant,
    /// Index of the service in the deployment.
    pub service: usize,
    /// Index of the workspace in the deployment.
    pub workspace: usize,
    pub class: Class,
    /// Time by which the request must have started.
    pub deadline: Instant,
    /// Whether the request may be sent again after a failed attempt.
    pub repeatable: bool,
    /// Uniform random number that selects the entry host, modulo their number.
    pub entry_selector: u32,
    /// Time that a successful run takes at its endpoint.
    pub run_time: Duration,
}

/// Returns every request that arrives within `duration`, in order of arrival.
///
/// The mean demand of each queue occupies the fraction `load` of its pool's slots.
pub fn generate_requests(
    deployment: &Deployment,
    seed: u64,
    load: f64,
    duration: Duration,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for service in 0..deployment.services.len() {
        let stream = seed.wrapping_mul(31).wrapping_add(service as u64);
        let mut rng = ChaCha8Rng::seed_from_u64(stream);
        let generator = RequestGenerator {
            deployment,
            service,
            load,
            duration,
        };
        generator.add_requests(&mut requests, &mut rng);
    }
    requests.sort_by_key(|request| (request.arrival, request.service));
    requests
}

/// Draws the requests of one service.
struct RequestGenerator<'a> {
    deployment: &'a Deployment,
    service: usize,
    load: f64,
    duration: Duration,
}

impl RequestGenerator<'_> {
    /// Appends the arrivals of a Poisson process, thinned from the burst rate to the
    /// demand of the moment.
    fn add_requests(&self, requests: &mut Vec<Request>, rng: &mut ChaCha8Rng) {
        let Self {
            service, duration, ..
        } = *self;
        let service_profile = self.deployment.services[service];
        let run_time = service_profile.mean_run_time.as_secs_f64();
        let mean_rate = self.load * f64::from(service_profile.slots) / run_time;
        let peak_rate = mean_rate * BURST_FACTOR;
        let mut at = 0.0;
        loop {
            at += draw_exponential(rng) / peak_rate;
            if at >= duration.as_secs_f64() {
                return;
            }
            let factor = demand_factor(at, service, self.deployment.services.len());
            if rng.random::<f64>() * BURST_FACTOR >= factor {
                continue;
            }
            let workspace = draw_workspace(at, rng);
            let urgent = rng.random_bool(URGENT_FRACTION);
            let (class, time_limit) = match urgent {
                true => (Class::Urgent, URGENT_DEADLINE),
                false => (Class::Normal, NORMAL_DEADLINE),
            };
            let start = Instant::ZERO + Duration::from_secs_f64(at);
            requests.push(Request {
                arrival: start,
                service,
                workspace,
                class,
                deadline: start + time_limit,
                repeatable: rng.random_bool(REPEATABLE_FRACTION),
                entry_selector: rng.random(),
                run_time: Duration::from_secs_f64(draw_exponential(rng) * run_time),
            });
        }
    }
}

/// Returns the demand of a queue at a time, as a multiple of its mean.
fn demand_factor(at: f64, service: usize, services: usize) -> f64 {
    let bursting = (at / BURST_DURATION.as_secs_f64()) as usize % services;
    if bursting == service {
        BURST_FACTOR
    } else {
        BASELINE_FACTOR
    }
}

/// Draws the workspace of a request; the leading workspace changes with each cycle of
/// five bursts.
fn draw_workspace(at: f64, rng: &mut ChaCha8Rng) -> usize {
    let leading =
        (at / (5.0 * BURST_DURATION.as_secs_f64())) as usize % WORKSPACE_FRACTIONS.len();
    let weight = |workspace: usize| match workspace == leading {
        true => WORKSPACE_FRACTIONS[workspace] * LEADING_FACTOR,
        false => WORKSPACE_FRACTIONS[workspace],
    };
    let total: f64 = (0..WORKSPACE_FRACTIONS.len()).map(weight).sum();
    let mut remaining = rng.random::<f64>() * total;
    for workspace in 0..WORKSPACE_FRACTIONS.len() {
        remaining -= weight(workspace);
        if remaining < 0.0 {
            return workspace;
        }
    }
    WORKSPACE_FRACTIONS.len() - 1
}

/// Draws from the exponential distribution with mean 1.
fn draw_exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
