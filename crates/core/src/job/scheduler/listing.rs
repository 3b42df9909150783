//! Detects endpoints whose hosts have failed or restarted, from the platform's list of
//! hosts.
//!
//! An endpoint is one incarnation of a host, and the platform lists each host with its
//! endpoint. A host that was listed with an endpoint and no longer is has lost it,
//! together with everything that it executed, so its tasks needn't wait for the end of
//! the lease. An endpoint that is only cut off from the leader stays listed.

use std::collections::BTreeMap;

use super::Scheduler;
use super::hosts::Host;
use crate::job::EndpointKey;
use crate::job::endpoint::{Endpoint, Reachability};
use crate::time::Instant;

/// What a listing of hosts says about an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Listing {
    /// The endpoint is on its host, or nothing is known of its host.
    Present,
    /// Its host is listed without it.
    Replaced,
    /// Its host isn't listed.
    HostMissing,
}

impl Scheduler {
    /// Ends the incarnations of endpoints that a listing of hosts no longer names.
    ///
    /// An endpoint that replies to orders is removed only after two such listings with no
    /// reply since the first one, and so is one whose host is missing from the listing.
    pub(super) fn end_unlisted_incarnations(
        &mut self,
        now: Instant,
        asked: Instant,
        hosts: &[Host],
    ) {
        let mut ended = Vec::new();
        let by_name: BTreeMap<&str, &Host> = hosts
            .iter()
            .map(|host| (host.name.as_str(), host))
            .collect();
        for (key, endpoint) in &mut self.endpoints {
            let listing = look_up(endpoint, &by_name);
            if listing == Listing::Present || endpoint.has_replied_since(asked) {
                endpoint.unlisted_since = None;
                continue;
            }
            let first = *endpoint.unlisted_since.get_or_insert(asked);
            let is_confirmed = first < asked && !endpoint.has_replied_since(first);
            let is_silent = endpoint.reachability != Reachability::Reachable;
            if is_confirmed || (is_silent && listing == Listing::Replaced) {
                ended.push(key);
            }
        }
        self.record_hosts_of_endpoints(hosts);
        for key in ended {
            self.end_incarnation(now, key, "its host is listed without it");
        }
    }

    fn record_hosts_of_endpoints(&mut self, hosts: &[Host]) {
        for host in hosts {
            let Some(key) = self.endpoint_by_id(host.endpoint.as_deref()) else {
                continue;
            };
            self.endpoints[key].host = Some(host.name.clone());
        }
    }

    fn endpoint_by_id(&self, id: Option<&str>) -> Option<EndpointKey> {
        self.endpoints_by_id.get(id?).copied()
    }
}

fn look_up(endpoint: &Endpoint, hosts: &BTreeMap<&str, &Host>) -> Listing {
    let Some(name) = &endpoint.host else {
        return Listing::Present;
    };
    match hosts.get(name.as_str()) {
        None => Listing::HostMissing,
        Some(host) if host.endpoint.as_ref() == Some(&endpoint.registration.id) => {
            Listing::Present
        }
        Some(_) => Listing::Replaced,
    }
}
