//! When ends are acknowledged to an endpoint, and start orders to it have to wait.
//!
//! The rules are those of [`acknowledgement`].

use std::collections::BTreeSet;

use super::Scheduler;
use crate::job::endpoint::Reachability;
use crate::job::run::{Phase, Run};
use crate::job::{EndpointKey, acknowledgement};
use crate::time::Instant;

impl Scheduler {
    /// Returns the highest sequence number that the next hold acknowledges; `None` if it
    /// acknowledges none. Until all start orders are settled, holds only ask for reports.
    pub(super) fn next_acknowledgement(
        &self,
        now: Instant,
        key: EndpointKey,
    ) -> Option<u64> {
        let due = self.endpoints[key].ends.due()?;
        self.unsettled_runs(now, key)
            .next()
            .is_none()
            .then_some(due)
    }

    /// Returns the runs whose start orders may still be executed by another incarnation than
    /// that of the latest report.
    fn unsettled_runs(
        &self,
        now: Instant,
        key: EndpointKey,
    ) -> impl Iterator<Item = &Run> {
        let endpoint = &self.endpoints[key];
        let reported = endpoint.ends.reported().unwrap_or(Instant::ZERO);
        let runs = endpoint.runs.iter().map(|&run| &self.runs[run]);
        runs.filter(move |run| !acknowledgement::is_settled(run, now, reported))
    }

    /// Returns the endpoints to which no start order may be sent now, as an acknowledgement is in
    /// flight or is about to be sent.
    pub(super) fn endpoints_being_acknowledged(
        &self,
        now: Instant,
    ) -> BTreeSet<EndpointKey> {
        let endpoints = self.endpoints.iter().filter(|(key, endpoint)| {
            endpoint.ends.is_in_flight() || self.is_acknowledged_next(now, *key)
        });
        endpoints.map(|(key, _)| key).collect()
    }

    /// Returns whether the next holds of an endpoint settle its runs, if necessary, and acknowledge
    /// all of its ends.
    fn is_acknowledged_next(&self, now: Instant, key: EndpointKey) -> bool {
        let endpoint = &self.endpoints[key];
        let is_answered_soon =
            |run: &Run| matches!(run.phase, Phase::Starting | Phase::Running(_));
        endpoint.reachability == Reachability::Reachable
            && !endpoint.ends.has_unsaved()
            && endpoint.ends.due().is_some()
            && self.unsettled_runs(now, key).all(is_answered_soon)
    }
}
