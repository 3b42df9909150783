//! Scripted demand: queues that burst in turn.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrill_core::gate::Class;
use rhubarbrill_core::time::Instant;

use crate::deployment::Deployment;

/// One queue's burst.
const BURST: Duration = Duration::from_secs(8);
/// Demand of a burst over the mean.
const BURST_FACTOR: f64 = 5.0;
/// Demand between bursts over the mean.
const REST_FACTOR: f64 = 0.05;
/// Parts of the demand that come from each workspace.
const PARTS: [f64; 6] = [0.15, 0.10, 0.25, 0.10, 0.30, 0.10];
/// What the leading workspace of a burst sends over its part.
const LEAD_FACTOR: f64 = 3.0;
const URGENT_PART: f64 = 0.2;
const REPEATABLE_PART: f64 = 0.5;
const URGENT_DEADLINE: Duration = Duration::from_secs(15);
const NORMAL_DEADLINE: Duration = Duration::from_secs(30);

/// One request of the script.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub at: Instant,
    pub service: usize,
    pub workspace: usize,
    pub class: Class,
    pub deadline: Instant,
    pub repeatable: bool,
    /// Picks the entry host, evenly.
    pub entry: u32,
    pub run_time: Duration,
}

/// Returns every request of so long a time, in order.
///
/// The mean demand of each queue occupies the part `load` of its pool.
pub fn script(
    deployment: &Deployment,
    seed: u64,
    load: f64,
    span: Duration,
) -> Vec<Call> {
    let mut calls = Vec::new();
    for service in 0..deployment.services.len() {
        let stream = seed.wrapping_mul(31).wrapping_add(service as u64);
        let mut random = ChaCha8Rng::seed_from_u64(stream);
        let script = Script {
            deployment,
            service,
            load,
            span,
        };
        script.add_calls(&mut calls, &mut random);
    }
    calls.sort_by_key(|call| (call.at, call.service));
    calls
}

/// What one service's requests are drawn from.
struct Script<'a> {
    deployment: &'a Deployment,
    service: usize,
    load: f64,
    span: Duration,
}

impl Script<'_> {
    fn add_calls(&self, calls: &mut Vec<Call>, random: &mut ChaCha8Rng) {
        let Self { service, span, .. } = *self;
        let known = self.deployment.services[service];
        let run_time = known.mean_run_time.as_secs_f64();
        let mean_rate = self.load * f64::from(known.slots) / run_time;
        let top_rate = mean_rate * BURST_FACTOR;
        let mut at = 0.0;
        loop {
            at += exponential(random) / top_rate;
            if at >= span.as_secs_f64() {
                return;
            }
            let factor = factor_at(at, service, self.deployment.services.len());
            if random.random::<f64>() * BURST_FACTOR >= factor {
                continue;
            }
            let workspace = workspace_at(at, random);
            let urgent = random.random_bool(URGENT_PART);
            let (class, patience) = match urgent {
                true => (Class::Urgent, URGENT_DEADLINE),
                false => (Class::Normal, NORMAL_DEADLINE),
            };
            let start = Instant::ZERO + Duration::from_secs_f64(at);
            calls.push(Call {
                at: start,
                service,
                workspace,
                class,
                deadline: start + patience,
                repeatable: random.random_bool(REPEATABLE_PART),
                entry: random.random(),
                run_time: Duration::from_secs_f64(exponential(random) * run_time),
            });
        }
    }
}

/// Returns the demand of a queue over its mean.
fn factor_at(at: f64, service: usize, services: usize) -> f64 {
    let turn = (at / BURST.as_secs_f64()) as usize % services;
    if turn == service {
        BURST_FACTOR
    } else {
        REST_FACTOR
    }
}

/// Draws the workspace of a request; the leading workspace changes with each cycle.
fn workspace_at(at: f64, random: &mut ChaCha8Rng) -> usize {
    let lead = (at / (5.0 * BURST.as_secs_f64())) as usize % PARTS.len();
    let weight = |workspace: usize| match workspace == lead {
        true => PARTS[workspace] * LEAD_FACTOR,
        false => PARTS[workspace],
    };
    let total: f64 = (0..PARTS.len()).map(weight).sum();
    let mut left = random.random::<f64>() * total;
    for workspace in 0..PARTS.len() {
        left -= weight(workspace);
        if left < 0.0 {
            return workspace;
        }
    }
    PARTS.len() - 1
}

fn exponential(random: &mut ChaCha8Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
