//! Sections that only the leader watches: registrations of endpoints, and submitted jobs.

use std::collections::HashMap;

use rhubarbrill_core::job::scheduler::Scheduler;
use rhubarbrill_core::job::{Submission, Tombstone};

use super::recovery::RecoveredState;
use crate::key::{self, Key};
use crate::node::Node;
use crate::platform::{Change, Content};
use crate::view::decode;
use crate::{clock, sync};

/// Passes changes of registrations and of submitted jobs on to the scheduler.
#[derive(Debug)]
pub(super) struct Registrations {
    /// State that earlier leaders stored.
    recovered: RecoveredState,
    /// Endpoint ID by the store key of the registration.
    endpoints: HashMap<String, String>,
}

impl Registrations {
    /// Returns an empty set of registrations with the state that earlier leaders stored.
    pub(super) fn new(recovered: RecoveredState) -> Self {
        Self {
            recovered,
            endpoints: HashMap::new(),
        }
    }

    /// Applies a change of a registration or of a submitted job to the scheduler.
    pub(super) fn apply<P>(
        &mut self,
        node: &Node<P>,
        scheduler: &mut Scheduler,
        change: Change,
    ) {
        match change.content {
            Some(Content::Endpoint(report)) => {
                self.endpoints.insert(change.key, report.id.clone());
                scheduler.set_endpoint(clock::now(), *report);
            }
            Some(Content::Unreadable(reason)) => {
                sync::log_unreadable(node, &change.key, &reason);
                // An entry that can't be decoded names no usable endpoint.
                if let Some(id) = self.endpoints.get(&change.key) {
                    scheduler.suspend_registration(clock::now(), id);
                }
            }
            Some(Content::Record(value)) => {
                if let Some(Key::Job(id)) = key::parse(&change.key) {
                    self.add_job(node, scheduler, &id, change.revision, &value);
                }
            }
            None => self.remove_endpoint(scheduler, &change.key),
            Some(
                Content::Configuration(_)
                | Content::Evacuation(_)
                | Content::Foreign
                | Content::Wave(_),
            ) => {}
        }
    }

    fn remove_endpoint(&mut self, scheduler: &mut Scheduler, key: &str) {
        if let Some(id) = self.endpoints.remove(key) {
            scheduler.expire_registration(clock::now(), &id);
        }
    }

    fn add_job<P>(
        &mut self,
        node: &Node<P>,
        scheduler: &mut Scheduler,
        id: &str,
        revision: u64,
        value: &[u8],
    ) {
        let record = match decode(value) {
            Ok(Submission::Accepted(record)) => *record,
            Ok(Submission::Cancelled { cancelled }) => {
                let id = id.to_owned();
                return scheduler.add_tombstone(
                    clock::now(),
                    clock::wall_clock(),
                    Tombstone { id, revision },
                    cancelled,
                );
            }
            Err(reason) => return sync::log_unreadable(node, &key::job(id), &reason),
        };
        let progress = self.recovered.progress.remove(id);
        let now = clock::now();
        scheduler.add_job(now, clock::wall_clock(), id, revision, record, progress);
        if node.view.borrow().is_cancelled(id) {
            scheduler.cancel_job(now, id);
        }
    }
}
