//! What must hold, from what callers and endpoints saw.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rhubarbrill_standin::users::StartedRun;
use serde_json::Value;

use crate::callers::Job;
use crate::deployment::{Deployment, MAX_FAULT};
use crate::support::jobs::{agent, call};

/// Longest time after the last fault until every job is over: a lease that an earlier leader
/// granted may have to run out, and what waited is caught up.
const SETTLE_TIME: Duration = Duration::from_secs(25);

/// Time after the acknowledgement of a cancellation in which tasks may still start.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// Time after which every entry host shows an accepted job.
const VISIBLE_TIME: Duration = Duration::from_secs(3);

/// Time for which an entry host may show an older state than another: the time until it must
/// show the newer one, and the longest fault that keeps it from the store.
const STALE_TIME: Duration = VISIBLE_TIME.saturating_add(MAX_FAULT);

/// Returns what was broken.
pub fn check(
    deployment: &Deployment,
    addresses: &[SocketAddr],
    jobs: &[Job],
) -> Vec<String> {
    let mut broken = deployment.users.violations();
    let last = settle(addresses, jobs, &mut broken);
    let ran = deployment.users.started_runs();
    if deployment.users.max_concurrent_runs() > 1 {
        broken.push("a task ran twice at once".to_owned());
    }
    let ran_jobs: BTreeSet<&str> = ran.iter().filter_map(job_of).collect();
    for (job, last) in jobs.iter().zip(last) {
        let mut states: Vec<(Instant, &str)> = Vec::new();
        states.extend(job.shown.iter().map(|(at, state)| (*at, state.as_str())));
        states.extend(last.iter().map(|(at, state)| (*at, state.as_str())));
        check_states(job, &states, &mut broken);
        if job.is_refused && ran_jobs.contains(job.id.as_str()) {
            broken.push(format!("{} was refused and ran", job.id));
        }
        if let Some(cancelled_at) = job.cancelled_at {
            let late = ran.iter().find(|ran| {
                job_of(ran) == Some(job.id.as_str())
                    && ran.at > cancelled_at + CANCEL_TIME
            });
            if let Some(late) = late {
                broken.push(format!("{} started after its cancellation", late.task));
            }
        }
    }
    broken
}

fn job_of(ran: &StartedRun) -> Option<&str> {
    ran.task.split('.').next()
}

fn check_states(job: &Job, states: &[(Instant, &str)], broken: &mut Vec<String>) {
    let is_final = |state: &str| matches!(state, "completed" | "failed" | "cancelled");
    let mut over: Option<(Instant, &str)> = None;
    for &(at, state) in states {
        if state == "failed" {
            broken.push(format!("{} failed, and no task did", job.id));
        }
        if state == "cancelled" && !job.cancels {
            broken.push(format!("{} is cancelled by nobody", job.id));
        }
        if let Some((since, end)) = over {
            let is_stale = !is_final(state) && at < since + STALE_TIME;
            // What was shown as cancelled may have been done just before.
            let is_allowed = end == state || end == "cancelled" || is_stale;
            if !is_allowed {
                broken.push(format!("{} was {end} and then {state}", job.id));
            }
        }
        let visible = job.accepted_at.is_some_and(|from| at > from + VISIBLE_TIME);
        if state == "gone" && visible {
            broken.push(format!("{} was accepted and is gone", job.id));
        }
        if is_final(state) {
            over.get_or_insert((at, state));
        }
    }
}

/// Waits until every entry host shows each job's end; returns what was shown last.
fn settle(
    addresses: &[SocketAddr],
    jobs: &[Job],
    broken: &mut Vec<String>,
) -> Vec<Vec<(Instant, String)>> {
    let agent = agent();
    let end = Instant::now() + SETTLE_TIME;
    let mut all = Vec::new();
    for job in jobs {
        let mut shown = Vec::new();
        for &address in addresses {
            let state = loop {
                let answer = call(&agent, address, "GET", &job.id, "k", &Value::Null);
                let state = match &answer {
                    Some(answer) if answer.status == 200 => {
                        answer.body["state"].as_str().unwrap_or("").to_owned()
                    }
                    Some(answer) if answer.status == 410 => "gone".to_owned(),
                    Some(answer) => format!("answered {}", answer.status),
                    None => "no answer".to_owned(),
                };
                let is_over =
                    matches!(state.as_str(), "completed" | "cancelled" | "failed");
                let may_be_gone = state == "gone" && job.accepted_at.is_none();
                if is_over || may_be_gone {
                    break state;
                }
                if Instant::now() > end {
                    broken.push(format!("{} is {state} at {address}", job.id));
                    break state;
                }
                std::thread::sleep(Duration::from_millis(30));
            };
            shown.push((Instant::now(), state));
        }
        all.push(shown);
    }
    all
}

/// Keeps the processes' logs of a seed that broke something.
pub fn keep_logs(deployment: &Deployment, seed: u64) {
    let to = std::env::temp_dir().join(format!("soak-{seed}"));
    let _ = std::fs::create_dir_all(&to);
    for place in 0..deployment.entries.len() {
        let name = format!("entry-{place}.log");
        // Without the log the report still names the seed.
        let _ = std::fs::copy(deployment.folder.path().join(&name), to.join(&name));
    }
}
