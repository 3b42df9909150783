//! The record of the endpoints that may hold runs.

use super::{Command, Scheduler};
use crate::job::endpoint::{Contact, Endpoint};
use crate::job::record::{Member, Roster};
use crate::job::{EndpointKey, Report, Resource};
use crate::time::Instant;

/// A record on its way to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Recording {
    /// What the store should hold.
    pub roster: Roster,
    /// Store revision of the record that this replaces; 0 for none.
    pub version: u64,
    keys: Vec<EndpointKey>,
}

/// What is known of the record.
#[derive(Debug, Default)]
pub(super) struct State {
    version: u64,
    in_flight: bool,
    /// Whether the record names endpoints that are certainly gone.
    pub(super) stale: bool,
}

impl Scheduler {
    /// Takes the record that earlier leaders left, after the registrations.
    pub fn inherit(&mut self, now: Instant, roster: &Roster, version: u64) {
        self.roster.version = version;
        for member in &roster.members {
            let known = self.by_id.get(&member.id).copied();
            match known {
                Some(key) if self.endpoints[key].report.born > member.born => {
                    // That life, and all that ran in it, is over.
                    self.roster.stale = true;
                }
                Some(key) => {
                    self.endpoints[key].inherited = true;
                    self.endpoints[key].recorded = true;
                }
                None => self.inherit_unlisted(now, member),
            }
        }
    }

    fn inherit_unlisted(&mut self, now: Instant, member: &Member) {
        let report = Report {
            id: member.id.clone(),
            born: member.born,
            pool: member.pool.clone(),
            address: member.address,
            zone: String::new(),
            labels: Vec::new(),
            capacity: Resource::default(),
            draining: false,
            clock_ms: 0,
        };
        let mut endpoint = Endpoint::new(report, now);
        endpoint.unlisted_since = Some(now);
        endpoint.inherited = true;
        endpoint.recorded = true;
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(member.id.clone(), key);
    }

    /// Returns whether what earlier leaders started in a pool has been seen, or can't run any
    /// more.
    pub(super) fn is_settled(&self, now: Instant, pool: &str) -> bool {
        now.saturating_since(self.began) >= self.options.inherited_bound
            || !self
                .endpoints
                .values()
                .any(|endpoint| endpoint.inherited && endpoint.report.pool == pool)
    }

    /// Returns whether an endpoint may run what an earlier leader started and nobody has
    /// seen yet.
    pub(super) fn may_hold_unseen(&self, now: Instant, key: EndpointKey) -> bool {
        self.endpoints[key].inherited
            && now.saturating_since(self.began) < self.options.inherited_bound
    }

    /// Has endpoints that answer recorded, so that they can get work.
    pub(super) fn record_endpoints(&mut self, commands: &mut Vec<Command>) {
        let is_new =
            |endpoint: &Endpoint| !endpoint.recorded && endpoint.contact == Contact::Live;
        let outdated = self.roster.stale || self.endpoints.values().any(is_new);
        if self.roster.in_flight || !outdated {
            return;
        }
        let mut members = Vec::new();
        let mut keys = Vec::new();
        for &key in self.by_id.values() {
            let endpoint = &self.endpoints[key];
            if endpoint.recorded || is_new(endpoint) {
                keys.push(key);
                members.push(Member {
                    id: endpoint.report.id.clone(),
                    born: endpoint.report.born,
                    address: endpoint.report.address,
                    pool: endpoint.report.pool.clone(),
                });
            }
        }
        self.roster.in_flight = true;
        self.roster.stale = false;
        commands.push(Command::Record(Recording {
            roster: Roster { members },
            version: self.roster.version,
            keys,
        }));
    }

    /// Takes how a recording ended: the revision of the record if it is in the store, or the
    /// revision that stood in the way.
    pub fn recorded(&mut self, recording: &Recording, ended: Result<u64, Option<u64>>) {
        self.roster.in_flight = false;
        match ended {
            Ok(version) => {
                self.roster.version = version;
                for &key in &recording.keys {
                    if let Some(endpoint) = self.endpoints.get_mut(key) {
                        endpoint.recorded = true;
                    }
                }
            }
            Err(version) => {
                self.roster.stale = true;
                self.roster.version = version.unwrap_or(self.roster.version);
            }
        }
    }
}
