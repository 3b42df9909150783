//! The local view of the store, which every process keeps up to date with watches.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::leader::Leader;
use rhubarbrill_core::job::scheduler::Wave;
use rhubarbrill_core::job::{Configuration, Estimate, State};
use rhubarbrill_core::time::Instant;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::evacuation::Evacuations;
use crate::key::{self, Key};
use crate::platform::{Change, Changes, Content, Section};

/// The record that counts terms.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TermCounter {
    /// Number of the newest term.
    pub number: u64,
}

/// The record of how many jobs wait in each queue.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pending {
    /// Number of accepted jobs without a started task, by queue name.
    pub queues: BTreeMap<String, usize>,
    /// Whether nothing starts because every zone is being evacuated.
    #[serde(default)]
    pub no_zone: bool,
}

/// The record of an entry host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Address that accepts calls of other entry hosts.
    pub address: SocketAddr,
}

/// A value with the store revision of its last change.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// The decoded value.
    pub value: T,
    /// Store revision of the last change.
    pub revision: u64,
}

/// A change of the view.
#[derive(Clone, Debug)]
pub enum Delta {
    /// A newer configuration is in force.
    Configuration,
    /// The state of a job was changed or removed.
    State,
    /// The job with this ID was cancelled.
    Cancelled(String),
    /// The wave with this number was requested or changed.
    Wave(u64),
    /// The set of zones that operators want to be evacuated has changed.
    Evacuations,
    /// The leader's record was written or removed.
    Leader,
    /// An item can't be decoded.
    Unreadable {
        /// Key of the item.
        key: String,
        /// Why the item can't be decoded.
        reason: String,
    },
}

/// Age of an estimate above which it is not used any more.
const ESTIMATE_VALIDITY: Duration = Duration::from_millis(1_500);

/// An estimate as it was read from the store.
#[derive(Clone, Debug)]
struct ReadEstimate {
    estimate: Estimate,
    revision: u64,
    at: Instant,
}

/// How far a section has been followed.
#[derive(Clone, Copy, Debug, Default)]
struct SectionProgress {
    as_of: u64,
    last_contact: Option<Instant>,
}

/// The local view of the store.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// Record of the current leader.
    pub leader: Option<Versioned<Leader>>,
    /// Term counter.
    pub term: Option<Versioned<TermCounter>>,
    /// Number of jobs that wait in each queue.
    pub pending: Pending,
    /// Requested waves, by wave number.
    pub waves: BTreeMap<u64, Wave>,
    /// Zones that operators want to be evacuated.
    pub evacuations: Evacuations,
    /// Records of entry hosts, by name. An entry host that failed may still have one.
    pub entries: BTreeMap<String, EntryRecord>,
    /// The leader's estimate of when new jobs start.
    estimate: Option<ReadEstimate>,
    operators: SectionProgress,
    shared: SectionProgress,
    states: HashMap<String, State>,
    cancelled: HashSet<String>,
    /// Jobs that this process accepted and whose state it hasn't read yet, with the store
    /// revision of each.
    accepted: HashMap<String, u64>,
}

impl View {
    /// Returns the time of the last contact with the store: up to then, no change of any
    /// section of the view is missing. Returns `None` before the first complete listing.
    pub fn last_contact(&self) -> Option<Instant> {
        Some(self.operators.last_contact?.min(self.shared.last_contact?))
    }

    /// Returns the store revision up to which the view contains the shared records.
    pub const fn as_of(&self) -> u64 {
        self.shared.as_of
    }

    /// Adds evacuated zones that were listed at the store revision `as_of`.
    pub fn read_evacuations_ahead(&mut self, zones: BTreeSet<String>, as_of: u64) {
        self.evacuations
            .read_ahead(zones, as_of, self.operators.as_of);
    }

    /// Returns the state of a job as it is shown to callers, if it is known.
    pub fn state(&self, id: &str) -> Option<State> {
        let state = self.states.get(id).copied();
        let state = state.or_else(|| self.accepted.get(id).map(|_| State::Queued));
        if state.is_some_and(State::is_final) || !self.cancelled.contains(id) {
            return state;
        }
        Some(State::Cancelled)
    }

    /// Returns whether a caller cancelled a job that hasn't finished.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.contains(id)
    }

    /// Returns the IDs of finished jobs whose state is still retained.
    pub fn finished(&self) -> impl Iterator<Item = &str> {
        let finished = self.states.iter().filter(|(_, state)| state.is_final());
        finished.map(|(id, _)| id.as_str())
    }

    /// Records that this process accepted a job.
    pub fn record_accepted(&mut self, id: &str, revision: u64) {
        if !self.states.contains_key(id) {
            self.accepted.insert(id.to_owned(), revision);
        }
    }

    /// Returns the store revision of a job that this process accepted and whose state it
    /// hasn't read yet.
    pub fn accepted_revision(&self, id: &str) -> Option<u64> {
        self.accepted.get(id).copied()
    }

    /// Returns the leader's estimate of when new jobs start and its age, unless it is too
    /// old or from an earlier term.
    pub fn estimate(&self, now: Instant) -> Option<(&Estimate, Duration)> {
        let read = self.estimate.as_ref()?;
        let age = now.saturating_since(read.at);
        let term = self.term.as_ref().map_or(0, |term| term.value.number);
        let is_valid = age <= ESTIMATE_VALIDITY && read.estimate.term >= term;
        is_valid.then_some((&read.estimate, age))
    }

    /// An estimate that is listed again doesn't become younger.
    fn set_estimate(&mut self, revision: u64, estimate: Estimate) {
        let known = self.estimate.as_ref();
        if known.is_some_and(|known| known.revision == revision) {
            return;
        }
        self.estimate = self.shared.last_contact.map(|at| ReadEstimate {
            estimate,
            revision,
            at,
        });
    }

    /// Applies the changes of a section and returns the resulting changes of the view.
    pub fn apply(
        &mut self,
        now: Instant,
        section: Section,
        changes: Changes,
    ) -> Vec<Delta> {
        let progress = match section {
            Section::Evacuations | Section::Operators => &mut self.operators,
            Section::Records(_) | Section::Registrations => &mut self.shared,
        };
        progress.as_of = progress.as_of.max(changes.as_of);
        progress.last_contact = Some(now);
        let mut deltas = Vec::new();
        for change in changes.changes {
            self.apply_change(change, &mut deltas);
        }
        if self.evacuations.reached(self.operators.as_of) {
            deltas.push(Delta::Evacuations);
        }
        deltas
    }

    fn apply_change(&mut self, change: Change, deltas: &mut Vec<Delta>) {
        let Change {
            key,
            revision,
            content,
        } = change;
        match content {
            None => self.remove(&key, deltas),
            Some(Content::Foreign | Content::Endpoint(_)) => {}
            Some(Content::Unreadable(reason)) => {
                deltas.push(Delta::Unreadable { key, reason });
            }
            Some(Content::Configuration(configuration)) => {
                let newer = self
                    .configuration
                    .as_ref()
                    .is_none_or(|held| configuration.version > held.version);
                if newer {
                    self.configuration = Some(Rc::new(*configuration));
                    deltas.push(Delta::Configuration);
                }
            }
            Some(Content::Evacuation(evacuation)) => {
                self.evacuations.insert(&key, &evacuation.zone);
                deltas.push(Delta::Evacuations);
                if let Some(reason) = evacuation.mistake {
                    deltas.push(Delta::Unreadable { key, reason });
                }
            }
            Some(Content::Wave(wave)) => {
                deltas.push(Delta::Wave(wave.number));
                self.waves.insert(wave.number, wave);
            }
            Some(Content::Record(value)) => {
                if let Some(reason) = self.apply_record(&key, revision, &value, deltas) {
                    deltas.push(Delta::Unreadable { key, reason });
                }
            }
        }
    }

    fn remove(&mut self, key: &str, deltas: &mut Vec<Delta>) {
        if self.evacuations.remove(key) {
            deltas.push(Delta::Evacuations);
        }
        match key::parse(key) {
            Some(Key::Leader) => {
                self.leader = None;
                deltas.push(Delta::Leader);
            }
            Some(Key::State(id)) => {
                self.states.remove(&id);
                deltas.push(Delta::State);
            }
            Some(Key::Cancellation(id)) => {
                self.cancelled.remove(&id);
            }
            Some(Key::Evacuation(zone)) => self.evacuations.remove_report(&zone),
            Some(Key::Entry(name)) => {
                self.entries.remove(&name);
            }
            Some(Key::Estimate) => self.estimate = None,
            Some(
                Key::Job(_)
                | Key::Orders
                | Key::Pending
                | Key::Orphans(_)
                | Key::Progress(_)
                | Key::Term
                | Key::Wave(_),
            )
            | None => {}
        }
    }

    /// Applies a record that Rhubarbrill writes. Returns the reason if it can't be
    /// decoded.
    fn apply_record(
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
            Key::Entry(name) => match decode(value) {
                Ok(value) => {
                    self.entries.insert(name, value);
                }
                Err(reason) => return Some(reason),
            },
            Key::Pending => match decode(value) {
                Ok(value) => self.pending = value,
                Err(reason) => return Some(reason),
            },
            Key::Estimate => match decode(value) {
                Ok(estimate) => self.set_estimate(revision, estimate),
                Err(reason) => {
                    self.estimate = None;
                    return Some(reason);
                }
            },
            Key::State(id) => match decode(value) {
                Ok(state) => {
                    self.accepted.remove(&id);
                    self.states.insert(id, state);
                    deltas.push(Delta::State);
                }
                Err(reason) => return Some(reason),
            },
            Key::Cancellation(id) => {
                self.cancelled.insert(id.clone());
                deltas.push(Delta::Cancelled(id));
            }
            Key::Evacuation(zone) => self.evacuations.add_report(zone),
            Key::Job(_)
            | Key::Orders
            | Key::Orphans(_)
            | Key::Progress(_)
            | Key::Wave(_) => {}
        }
        None
    }
}

/// Decodes a record that Rhubarbrill writes.
///
/// # Errors
///
/// Returns a description of what can't be decoded.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    serde_json::from_slice(value).map_err(|error| error.to_string())
}
