//! Status of entry hosts, read from their operator addresses.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use eyre::Result;
use serde::{Deserialize, Serialize};

use crate::settings::EntryHostSettings;

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const MAX_STATUS_BYTES: u64 = 4 << 20;

/// Status that an entry host reports about itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    pub entry: String,
    pub zone: String,
    pub incarnation: u64,
    pub revision: u64,
    #[serde(default)]
    pub store_reachable: bool,
    #[serde(default)]
    pub draining: bool,
    #[serde(default)]
    #[serde(rename = "teams")]
    pub workspaces: Vec<Workspace>,
    #[serde(default)]
    pub waves: Vec<Wave>,
}

/// Usage and limits of one workspace at one entry host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    pub name: String,
    pub running: u32,
    pub waiting: u32,
    pub share: u32,
    pub limit: u32,
    pub floor: u32,
    pub loan: u32,
}

/// Progress of one maintenance wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    pub name: String,
    pub state: String,
    pub done: usize,
    pub total: usize,
}

/// Response of an entry host to a status request, or the error if there is none.
#[derive(Clone, Debug, Serialize)]
pub struct PollResult {
    pub operators: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

impl PollResult {
    /// Returns whether the entry host has at least this revision in force.
    pub fn confirms(&self, revision: u64) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|status| status.revision >= revision)
    }

    /// Returns the entry host's name, or its address if it did not respond.
    pub fn name(&self) -> String {
        match &self.status {
            Some(status) => status.entry.clone(),
            None => self.operators.to_string(),
        }
    }
}

/// Requests the status of all entry hosts concurrently.
pub fn poll(entries: &EntryHostSettings) -> Vec<PollResult> {
    thread::scope(|scope| {
        let running: Vec<_> = entries
            .operators
            .iter()
            .map(|&address| scope.spawn(move || poll_entry(address, entries.timeout)))
            .collect();
        running
            .into_iter()
            .filter_map(|run| run.join().ok())
            .collect()
    })
}

/// Polls until every entry host that responds has the revision in force, or the
/// configured `patience` has passed.
pub fn wait_for_revision(entries: &EntryHostSettings, revision: u64) -> Vec<PollResult> {
    let start = Instant::now();
    loop {
        let results = poll(entries);
        let is_lagging =
            |entry: &PollResult| entry.status.is_some() && !entry.confirms(revision);
        if !results.iter().any(is_lagging) || start.elapsed() >= entries.patience {
            return results;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn poll_entry(operators: SocketAddr, timeout: Duration) -> PollResult {
    let result = fetch_status(operators, timeout);
    let error = result.as_ref().err().map(|error| format!("{error:#}"));
    PollResult {
        operators,
        status: result.ok(),
        error,
    }
}

fn fetch_status(operators: SocketAddr, timeout: Duration) -> Result<Status> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .max_redirects(0)
        .proxy(None)
        .build()
        .into();
    let mut response = agent.get(format!("http://{operators}/status")).call()?;
    let body = response.body_mut().with_config().limit(MAX_STATUS_BYTES);
    Ok(body.read_json()?)
}
