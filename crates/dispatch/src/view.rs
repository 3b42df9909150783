//! What the process knows of the store: a copy that a watch keeps up to date.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use rhubarbrill_core::job::scheduler::Wave;
use rhubarbrill_core::job::{Configuration, Progress, Record, Report, State, Submission};
use rhubarbrill_core::time::Instant;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::edge::{Change, Fact};
use crate::key::{self, Key};

/// The leader's record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leader {
    /// Name of the entry host.
    pub name: String,
    /// Distinguishes the leader's processes.
    pub nonce: String,
}

/// The record that counts terms.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// Number of the newest term.
    pub number: u64,
}

/// The record of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// Hosts that have had their maintenance.
    pub done: BTreeSet<String>,
    /// Whether the wave was reported as completed.
    pub completed: bool,
}

/// The record of orders for hosts, written before each order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Orders {
    /// Hosts that the leader gave orders to lately, with the age of the last order when the
    /// record was written, in milliseconds.
    pub hosts: BTreeMap<String, u64>,
}

/// A value with the store revision of its last change.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Store revision of its last change.
    pub revision: u64,
}

/// What is known of one job.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// The accepted job; nothing if it was refused or isn't known.
    pub record: Option<Versioned<Rc<Record>>>,
    /// How far it is.
    pub progress: Option<Versioned<Progress>>,
    /// Whether a caller cancelled it.
    pub cancelled: bool,
}

impl Job {
    /// Returns the state that callers are shown.
    pub fn state(&self) -> State {
        let state = self
            .progress
            .as_ref()
            .map_or(State::Queued, |progress| progress.value.state);
        if self.cancelled && !state.is_final() {
            State::Cancelled
        } else {
            state
        }
    }
}

/// What a change means for the process.
#[derive(Clone, Debug)]
pub enum Delta {
    /// A newer configuration.
    Configuration,
    /// An endpoint was registered or reported something new.
    Endpoint(String),
    /// An endpoint's registration is gone.
    EndpointGone(String),
    /// A job was accepted.
    Job(String),
    /// A job's progress has changed.
    Progress,
    /// A job was cancelled.
    Cancelled(String),
    /// A job left the store.
    JobGone(String),
    /// A wave was asked for.
    Wave(u64),
    /// The leader has changed.
    Leader,
    /// An item can't be read.
    Unreadable {
        /// Its key.
        key: String,
        /// Why.
        reason: String,
    },
}

/// The copy of the store.
#[derive(Debug, Default)]
pub struct View {
    /// Store revision up to which changes were seen.
    pub as_of: u64,
    /// When the store last answered, and nothing before is missing.
    pub heard_at: Option<Instant>,
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// The endpoints' registrations.
    pub endpoints: BTreeMap<String, Report>,
    /// The jobs.
    pub jobs: HashMap<String, Job>,
    /// The leader.
    pub leader: Option<Versioned<Leader>>,
    /// The count of terms.
    pub term: Option<Versioned<Count>>,
    /// The hosts that were given orders lately.
    pub orders: Orders,
    /// The waves.
    pub waves: BTreeMap<u64, Wave>,
    /// What is recorded of the waves.
    pub wave_records: BTreeMap<u64, Versioned<WaveRecord>>,
    revisions: HashMap<String, u64>,
    registered: HashMap<String, String>,
}

impl View {
    /// Takes in changes, or items that were read, and returns what they mean.
    pub fn apply(&mut self, changes: Vec<Change>) -> Vec<Delta> {
        let mut deltas = Vec::new();
        for change in changes {
            let known = self.revisions.get(&change.key).copied().unwrap_or(0);
            if change.revision <= known {
                continue;
            }
            if change.fact.is_some() {
                self.revisions.insert(change.key.clone(), change.revision);
            } else {
                self.revisions.remove(&change.key);
            }
            self.apply_one(change, &mut deltas);
        }
        deltas
    }

    /// Returns the changes that remove what a whole listing no longer has.
    ///
    /// `listed` are the keys of the listing, and `as_of` the revision of its first page.
    pub fn missing(&self, listed: &BTreeSet<String>, as_of: u64) -> Vec<Change> {
        self.revisions
            .iter()
            .filter(|(key, revision)| **revision <= as_of && !listed.contains(*key))
            .map(|(key, revision)| Change {
                key: key.clone(),
                // A removal is newer than what it removes.
                revision: as_of.max(revision + 1),
                fact: None,
            })
            .collect()
    }

    fn apply_one(&mut self, change: Change, deltas: &mut Vec<Delta>) {
        let Change {
            key,
            revision,
            fact,
        } = change;
        match fact {
            None => self.remove(&key, deltas),
            Some(Fact::Foreign) => {}
            Some(Fact::Unreadable(reason)) => {
                // An entry that can't be read names no endpoint to use.
                self.remove(&key, deltas);
                deltas.push(Delta::Unreadable { key, reason });
            }
            Some(Fact::Configuration(configuration)) => {
                let newer = self
                    .configuration
                    .as_ref()
                    .is_none_or(|held| configuration.version > held.version);
                if newer {
                    self.configuration = Some(Rc::new(*configuration));
                    deltas.push(Delta::Configuration);
                }
            }
            Some(Fact::Endpoint(report)) => {
                let id = report.id.clone();
                self.registered.insert(key, id.clone());
                self.endpoints.insert(id.clone(), *report);
                deltas.push(Delta::Endpoint(id));
            }
            Some(Fact::Wave(wave)) => {
                deltas.push(Delta::Wave(wave.number));
                self.waves.insert(wave.number, wave);
            }
            Some(Fact::Own(value)) => {
                if let Some(reason) = self.apply_own(&key, revision, &value, deltas) {
                    deltas.push(Delta::Unreadable { key, reason });
                }
            }
        }
    }

    fn remove(&mut self, key: &str, deltas: &mut Vec<Delta>) {
        if let Some(id) = self.registered.remove(key) {
            self.endpoints.remove(&id);
            deltas.push(Delta::EndpointGone(id));
            return;
        }
        match key::parse(key) {
            Some(Key::Leader) => {
                self.leader = None;
                deltas.push(Delta::Leader);
            }
            Some(Key::Job(id)) => {
                self.jobs.remove(&id);
                deltas.push(Delta::JobGone(id));
            }
            Some(
                Key::Term
                | Key::Orders
                | Key::Progress(_)
                | Key::Cancellation(_)
                | Key::Wave(_),
            )
            | None => {}
        }
    }

    /// Takes in a record of the project; returns why it can't be read, if so.
    fn apply_own(
        &mut self,
        key: &str,
        revision: u64,
        value: &[u8],
        deltas: &mut Vec<Delta>,
    ) -> Option<String> {
        match key::parse(key)? {
            Key::Leader => match decode(value) {
                Ok(value) => {
                    self.leader = Some(Versioned { value, revision });
                    deltas.push(Delta::Leader);
                }
                Err(reason) => return Some(reason),
            },
            Key::Term => match decode(value) {
                Ok(value) => self.term = Some(Versioned { value, revision }),
                Err(reason) => return Some(reason),
            },
            Key::Orders => match decode(value) {
                Ok(value) => self.orders = value,
                Err(reason) => return Some(reason),
            },
            Key::Job(id) => match decode(value) {
                Ok(Submission::Accepted(record)) => {
                    let value = Rc::from(record);
                    self.jobs.entry(id.clone()).or_default().record =
                        Some(Versioned { value, revision });
                    deltas.push(Delta::Job(id));
                }
                Ok(Submission::Refused) => {}
                Err(reason) => return Some(reason),
            },
            Key::Progress(id) => match decode(value) {
                Ok(value) => {
                    self.jobs.entry(id).or_default().progress =
                        Some(Versioned { value, revision });
                    deltas.push(Delta::Progress);
                }
                Err(reason) => return Some(reason),
            },
            Key::Cancellation(id) => {
                self.jobs.entry(id.clone()).or_default().cancelled = true;
                deltas.push(Delta::Cancelled(id));
            }
            Key::Wave(number) => match decode(value) {
                Ok(value) => {
                    self.wave_records
                        .insert(number, Versioned { value, revision });
                }
                Err(reason) => return Some(reason),
            },
        }
        None
    }
}

fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    serde_json::from_slice(value).map_err(|error| error.to_string())
}
