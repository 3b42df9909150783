//! Detects hosts that fail and recover, from the platform's list, probes and ejections.

use std::collections::BTreeSet;

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Command, Ledger, Reason, Record, Step};
use rhubarbrill_core::time::Instant;
use rhubarbrill_edge::hosts::State;

use super::host_list::HostList;
use super::probe;
use super::suspect::Suspects;

/// Inputs for decisions about hosts that are or may be out of service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outages<'a> {
    pub(super) ledger: &'a Ledger,
    pub(super) fleet: &'a Fleet,
    pub(super) list: &'a HostList,
    pub(super) suspects: &'a Suspects,
    pub(super) now: Instant,
}

impl Outages<'_> {
    /// Returns the commands that follow from these inputs.
    pub(super) fn due_commands(&self) -> Vec<Command> {
        let reachable = self.reachable();
        let listed = self.ledger.records().filter_map(|(host, record)| {
            match record.step.accepts() {
                true => self.command_for_serving(host),
                false => self.command_for_out_of_service(
                    host,
                    record,
                    reachable.contains(host),
                ),
            }
        });
        let unlisted = self
            .fleet
            .hosts
            .iter()
            .filter(|(_, host, _)| self.ledger.record(host).is_none())
            .filter_map(|(_, host, _)| self.command_for_serving(host));
        listed.chain(unlisted).collect()
    }

    /// Returns the out-of-service hosts that may be up again and accept a connection.
    fn reachable(&self) -> BTreeSet<&str> {
        let returning = self
            .ledger
            .records()
            .filter(|(_, record)| may_be_up(record.step));
        let addresses = returning.filter_map(|(host, _)| {
            let key = self.fleet.hosts.find(host)?;
            Some((host, self.fleet.hosts.get(key)?.address))
        });
        probe::reachable(addresses.collect())
    }

    fn command_for_serving(&self, host: &str) -> Option<Command> {
        let host = host.to_owned();
        match self.list.state(&host) {
            Some(State::Leaving) => Some(Command::MarkLeaving { host }),
            Some(State::Gone) => Some(Command::MarkFailed { host }),
            Some(State::Live) | None => self
                .suspects
                .has_failed(&host, self.now)
                .then_some(Command::MarkFailed { host }),
        }
    }

    fn command_for_out_of_service(
        &self,
        name: &str,
        record: &Record,
        is_reachable: bool,
    ) -> Option<Command> {
        let host = name.to_owned();
        let state = self.list.state(name);
        let may_serve = matches!(state, Some(State::Live) | None);
        match record.step {
            Step::Leaving { .. } | Step::Drained => {
                let is_over = stays_in_pool(&record.reason) && may_serve;
                is_over.then_some(Command::CancelDrain { host })
            }
            Step::Rebooting => {
                let is_back = is_reachable && self.list.is_back(name, self.now);
                is_back.then_some(Command::Returned { host })
            }
            Step::Moving => is_reachable.then_some(Command::Returned { host }),
            Step::Returning if state == Some(State::Leaving) => {
                Some(Command::MarkLeaving { host })
            }
            Step::Returning => {
                (is_reachable && may_serve).then_some(Command::ResumeService { host })
            }
            Step::Failed => {
                let is_up = is_reachable && may_serve;
                let is_over = is_up && self.suspects.may_return(name, self.now);
                is_over.then_some(Command::MarkRecovered { host })
            }
            Step::Serving => None,
        }
    }
}

const fn may_be_up(step: Step) -> bool {
    match step {
        Step::Failed | Step::Moving | Step::Rebooting | Step::Returning => true,
        Step::Drained | Step::Leaving { .. } | Step::Serving => false,
    }
}

/// Returns whether the host left for a reason other than a wave or a move, so that it
/// stays in its pool.
const fn stays_in_pool(reason: &Reason) -> bool {
    match reason {
        Reason::Cancelled | Reason::Failure | Reason::PlatformLeaving => true,
        Reason::Move { .. } | Reason::Wave { .. } => false,
    }
}
