//! Issues orders to hold and to stop.

use std::time::Duration;

use super::crash::START_TIME;
use super::{Command, Hold, Scheduler, Stop};
use crate::job::EndpointKey;
use crate::job::endpoint::Reachability;
use crate::job::run::Phase;
use crate::time::Instant;

/// Longest time that an endpoint waits for a run to end before it answers a hold.
const HOLD_WAIT: Duration = Duration::from_millis(1_500);

/// Longest wait on endpoints whose latencies are being controlled.
const PACED_HOLD_WAIT: Duration = Duration::from_millis(700);

/// Longest wait on endpoints that have lately left orders unanswered. Together with the
/// pause between two holds it is shorter than the timeout of an order, which is 300 ms or
/// more. A reply therefore arrives within each timeout, and an order without an answer
/// doesn't make its endpoint count as unresponsive.
const DOUBTED_HOLD_WAIT: Duration = Duration::from_millis(220);

/// Pause between two holds of an endpoint, in which ends accumulate.
const HOLD_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause between two holds while some ends aren't in the store.
const UNSAVED_HOLD_PAUSE: Duration = Duration::from_millis(300);

impl Scheduler {
    pub(super) fn issue_holds(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let due: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                let wanted = !endpoint.runs.is_empty()
                    || endpoint.ends.has_unconfirmed()
                    || endpoint.reachability != Reachability::Reachable
                    || endpoint.must_confirm_presence()
                    || endpoint.must_read_clock(now);
                endpoint.hold_sent_at.is_none() && wanted && now >= endpoint.next_hold
            })
            .map(|(key, _)| key)
            .collect();
        for key in due {
            let wait = self.hold_wait(now, key);
            let acknowledged = self.next_acknowledgement(now, key);
            let endpoint = &mut self.endpoints[key];
            let renews = matches!(
                endpoint.reachability,
                Reachability::Reachable | Reachability::Unknown
            );
            endpoint.hold_sent_at = Some(now);
            endpoint.ends.record_hold(acknowledged);
            commands.push(Command::Hold(Hold {
                endpoint: key,
                sent: now,
                target: endpoint.target(),
                acknowledged: acknowledged.unwrap_or(0),
                lease_end_ms: renews
                    .then(|| endpoint.grant_lease(now, self.options.lease_term)),
                wait,
                fencing_token: endpoint.fence.token(),
            }));
        }
    }

    /// Returns how long an endpoint may wait for an end before it answers a hold.
    fn hold_wait(&self, now: Instant, key: EndpointKey) -> Duration {
        if !self.can_wait(key) {
            return Duration::ZERO;
        }
        if self.endpoints[key].has_unanswered_orders(now) {
            return DOUBTED_HOLD_WAIT;
        }
        if self.job_on_probation(now, key).is_some() {
            return START_TIME;
        }
        if self.needs_pacing(key) {
            return PACED_HOLD_WAIT;
        }
        HOLD_WAIT
    }

    /// Returns whether a hold may wait at all, which is the case if no run's state must
    /// be confirmed and no end is still to be saved or acknowledged.
    fn can_wait(&self, key: EndpointKey) -> bool {
        let endpoint = &self.endpoints[key];
        let unconfirmed = |run| {
            matches!(
                self.runs[run].phase,
                Phase::Unconfirmed | Phase::Inherited | Phase::StopAcknowledged(_)
            )
        };
        endpoint.reachability == Reachability::Reachable
            && !endpoint.ends.has_unsaved()
            && endpoint.ends.due().is_none()
            && !endpoint.runs.is_empty()
            && !endpoint.runs.iter().copied().any(unconfirmed)
    }

    /// Schedules the next hold of an endpoint that has just reported.
    pub(super) fn schedule_next_hold(&mut self, now: Instant, key: EndpointKey) {
        let pause = if self.next_acknowledgement(now, key).is_some() {
            Duration::ZERO
        } else if self.endpoints[key].ends.has_unsaved() {
            UNSAVED_HOLD_PAUSE
        } else {
            HOLD_PAUSE
        };
        self.endpoints[key].next_hold = now + pause;
    }

    /// Schedules an immediate hold of an endpoint whose ends are now in the store.
    pub(super) fn schedule_hold_after_save(&mut self, now: Instant, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        endpoint.next_hold = endpoint.next_hold.min(now);
    }

    pub(super) fn issue_stops(&mut self, now: Instant, commands: &mut Vec<Command>) {
        for (key, run) in &mut self.runs {
            let Phase::Stopping(due) = run.phase else {
                continue;
            };
            let Some(endpoint) = self.endpoints.get(run.endpoint) else {
                continue;
            };
            if now < due {
                continue;
            }
            run.phase = Phase::StopSent(now);
            commands.push(Command::Stop(Stop {
                run: key,
                target: endpoint.target(),
                name: run.name.clone(),
                number: run.number,
                fencing_token: endpoint.fence.token(),
            }));
        }
    }
}
