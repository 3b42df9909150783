//! Callers: each submits jobs, asks for them, and cancels some.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::support::jobs::{agent, call, two_steps};

/// Most tries to hand a job in.
const TRIES: usize = 4;

/// Part of the jobs that are cancelled.
const CANCELLED: f64 = 0.1;

/// What a caller was told of a job.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub id: String,
    /// When it was accepted, if it was.
    pub accepted_at: Option<Instant>,
    /// Whether every try was answered that the job is refused.
    pub is_refused: bool,
    /// Whether its cancellation was asked for.
    pub cancels: bool,
    /// When the cancellation was acknowledged, if it was.
    pub cancelled_at: Option<Instant>,
    /// The states that were shown, with the time, in order of the answers.
    pub shown: Vec<(Instant, String)>,
}

/// Submits jobs until told to stop, and returns them.
pub fn run(
    number: u64,
    mut random: ChaCha8Rng,
    addresses: &[SocketAddr],
    stop: &AtomicBool,
) -> Vec<Job> {
    // One agent: connections are kept and used again as long as they last.
    let agent = agent();
    let mut jobs: Vec<Job> = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let id = format!("{number:04x}{:012x}", jobs.len());
        let mut job = Job {
            id,
            ..Job::default()
        };
        submit(&agent, &mut random, addresses, &mut job);
        if job.accepted_at.is_some() && random.random_bool(CANCELLED) {
            cancel(&agent, &mut random, addresses, &mut job);
        }
        jobs.push(job);
        let asked = random.random_range(0..jobs.len());
        ask(&agent, &mut random, addresses, &mut jobs[asked]);
        std::thread::sleep(Duration::from_millis(random.random_range(10..150)));
    }
    jobs
}

fn any(random: &mut ChaCha8Rng, addresses: &[SocketAddr]) -> SocketAddr {
    addresses[random.random_range(0..addresses.len())]
}

fn submit(
    agent: &ureq::Agent,
    random: &mut ChaCha8Rng,
    addresses: &[SocketAddr],
    job: &mut Job,
) {
    let body = two_steps(random.random_range(1..4));
    job.is_refused = true;
    for _ in 0..TRIES {
        let to = any(random, addresses);
        let answer = call(agent, to, "POST", &job.id, "k", &body);
        match answer.map(|answer| answer.status) {
            Some(200) => {
                job.accepted_at = Some(Instant::now());
                job.is_refused = false;
                return;
            }
            Some(429 | 503) => {}
            // Whoever gets no answer doesn't know.
            _ => job.is_refused = false,
        }
        std::thread::sleep(Duration::from_millis(random.random_range(20..300)));
    }
}

fn cancel(
    agent: &ureq::Agent,
    random: &mut ChaCha8Rng,
    addresses: &[SocketAddr],
    job: &mut Job,
) {
    job.cancels = true;
    std::thread::sleep(Duration::from_millis(random.random_range(0..400)));
    let to = any(random, addresses);
    let answer = call(agent, to, "DELETE", &job.id, "k", &Value::Null);
    if answer.is_some_and(|answer| answer.status == 200) {
        job.cancelled_at = Some(Instant::now());
    }
}

fn ask(
    agent: &ureq::Agent,
    random: &mut ChaCha8Rng,
    addresses: &[SocketAddr],
    job: &mut Job,
) {
    let to = any(random, addresses);
    let Some(answer) = call(agent, to, "GET", &job.id, "k", &Value::Null) else {
        return;
    };
    let state = match answer.status {
        200 => answer.body["state"].as_str().unwrap_or("").to_owned(),
        410 => "gone".to_owned(),
        _ => return,
    };
    job.shown.push((Instant::now(), state));
}
