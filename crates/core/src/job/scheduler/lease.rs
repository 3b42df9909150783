//! Expiry of leases at endpoints that don't answer.

use std::time::Duration;

use super::Scheduler;
use crate::job::endpoint::{Departure, Reachability};
use crate::job::{EndpointKey, longest_lease};
use crate::time::Instant;

/// Time after which a reachable endpoint without a registration is forgotten once it is
/// idle.
const UNREGISTERED_RETENTION: Duration = Duration::from_secs(20);

impl Scheduler {
    /// Returns the latest time at which a lease may end that was granted before now to an
    /// endpoint which has restarted since. Its end was reckoned by the clock of the earlier
    /// incarnation, which may be far ahead of the newer one.
    pub(super) fn restart_bound(&self, now: Instant) -> Instant {
        now + longest_lease(self.options.max_lease)
    }

    /// Releases the runs of unreachable endpoints whose leases have expired, and removes
    /// endpoints that have left.
    pub(super) fn release_lapsed(&mut self, now: Instant) {
        let unreachable: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                matches!(endpoint.reachability, Reachability::Unreachable(_))
                    && now > endpoint.lease_bound
            })
            .map(|(key, _)| key)
            .collect();
        for key in unreachable {
            let runs: Vec<_> = self.endpoints[key].runs.iter().copied().collect();
            for run in runs {
                self.release_departed(
                    now,
                    run,
                    Departure::Silent,
                    "its lease expired and its endpoint doesn't answer",
                );
            }
        }
        let left: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.is_idle() && self.has_left(now, endpoint))
            .map(|(key, _)| key)
            .collect();
        for key in left {
            self.remove_endpoint(now, key, "registration gone");
        }
    }

    /// Records that the registration of an endpoint has expired.
    ///
    /// After an outage of the store, the registrations of all endpoints expire at once, and
    /// most endpoints have nothing left to run. One that was reachable is asked whether it
    /// still is, and receives work again as soon as it replies.
    pub fn expire_registration(&mut self, now: Instant, id: &str) {
        let Some(&key) = self.endpoints_by_id.get(id) else {
            return;
        };
        let endpoint = &mut self.endpoints[key];
        if endpoint.reachability != Reachability::Reachable {
            return self.set_endpoint_unregistered(now, id);
        }
        endpoint.unregistered_since.get_or_insert(now);
        if endpoint.is_idle() {
            endpoint.next_hold = endpoint.next_hold.min(now);
        }
    }

    /// Records that the registration of an endpoint can't be read, so that its capacity isn't
    /// known. The endpoint receives no work until it can.
    pub fn suspend_registration(&mut self, now: Instant, id: &str) {
        if let Some(&key) = self.endpoints_by_id.get(id) {
            self.endpoints[key].is_registration_unreadable = true;
        }
        self.expire_registration(now, id);
    }

    fn has_left(&self, now: Instant, endpoint: &super::Endpoint) -> bool {
        let Some(since) = endpoint.unregistered_since else {
            return false;
        };
        match endpoint.reachability {
            Reachability::Reachable => {
                now.saturating_since(since) > UNREGISTERED_RETENTION
            }
            Reachability::Doubtful => now > endpoint.lease_bound,
            // An endpoint that replied until its registration expired, and has nothing to
            // run, needn't wait for the end of a lease.
            Reachability::Unreachable(lost) => {
                lost >= since || now > endpoint.lease_bound
            }
            Reachability::Unknown => {
                now.saturating_since(since) > self.options.inherited_bound
            }
        }
    }
}
