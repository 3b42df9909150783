//! Simulated hosts, their endpoints, and moves and maintenance.

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::{Host, HostState};
use rhubarbrill_core::job::{Registration, Resource};

use super::{CAPACITY, Endpoint, REGISTRATION_TTL, Simulation};

impl Simulation {
    /// Adds `count` hosts to a pool, each with an endpoint unless the pool is `spare`.
    pub fn add_hosts(&mut self, pool: &str, count: usize) {
        for _ in 0..count {
            let host = format!("m{}", self.hosts.len());
            self.hosts.insert(
                host.clone(),
                Host {
                    name: host.clone(),
                    pool: pool.to_owned(),
                    zone: format!("z{}", self.hosts.len() % 3),
                    state: HostState::Up,
                    capacity: CAPACITY,
                    endpoint: None,
                },
            );
            self.boot(&host);
        }
        self.list_hosts();
    }

    /// Starts the endpoint of a host, unless the host is in the standby pool.
    fn boot(&mut self, host: &str) {
        if self.hosts[host].pool == "spare" {
            return;
        }
        self.started_endpoints += 1;
        let id = format!("e{}", self.started_endpoints);
        let address: SocketAddr =
            format!("127.0.0.1:{}", 10_000 + self.started_endpoints)
                .parse()
                .expect("the address is well formed");
        let pool = self.hosts[host].pool.clone();
        let report = Registration {
            id: id.clone(),
            born: self.started_endpoints,
            pool,
            address,
            zone: self.hosts[host].zone.clone(),
            labels: vec![
                "kind".to_owned(),
                format!("rack{}", self.started_endpoints % 4),
            ],
            capacity: CAPACITY,
            draining: false,
            cold_remaining: self.cold_remaining,
            clock_ms: 0,
        };
        if let Some(host) = self.hosts.get_mut(host) {
            host.endpoint = Some(id.clone());
        }
        self.scheduler.set_endpoint(self.now, report.clone());
        let endpoint = Endpoint::new(report, host.to_owned());
        self.endpoints.insert(id, endpoint);
    }

    /// Changes the capacity of an endpoint, which its registration doesn't show yet.
    pub fn resize(&mut self, id: &str, capacity: Resource) {
        let endpoint = self.endpoints.get_mut(id).expect("the endpoint exists");
        endpoint.capacity = capacity;
        endpoint.is_resized = true;
    }

    /// Passes an endpoint's registration to the scheduler, as its next heartbeat does.
    pub fn publish(&mut self, id: &str) {
        let now = self.now;
        let endpoint = self.endpoints.get_mut(id).expect("the endpoint exists");
        endpoint.report.capacity = endpoint.capacity;
        endpoint.report.clock_ms = endpoint.clock_ms(now);
        endpoint.stale_report = None;
        self.scheduler.set_endpoint(now, endpoint.report.clone());
    }

    /// Passes the current list of hosts to the scheduler.
    pub fn list_hosts(&mut self) {
        let hosts = self.hosts.values().cloned().collect();
        self.scheduler.set_hosts(self.now, self.now, hosts);
    }

    pub(super) fn advance_hosts(&mut self) {
        let now = self.now;
        let due: Vec<String> = self
            .hosts_in_transition
            .iter()
            .filter(|(_, (end, _, _))| *end <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for name in due {
            self.hosts_in_transition.remove(&name);
            if let Some(host) = self.hosts.get_mut(&name) {
                host.state = HostState::Up;
            }
            self.boot(&name);
        }
    }

    pub(super) fn take_down(
        &mut self,
        name: &str,
        pool: &str,
        state: HostState,
        duration_ms: u64,
    ) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.state = state;
        pool.clone_into(&mut host.pool);
        if let Some(id) = host.endpoint.take() {
            let endpoint = self
                .endpoints
                .remove(&id)
                .expect("the endpoint of a running host exists");
            assert!(
                endpoint.active_runs.iter().all(|run| run.ends_at.is_some())
                    || duration_ms == 0,
                "{name} is taken down while a long-running task runs on it"
            );
            assert!(
                endpoint.active_runs.is_empty(),
                "{name} is taken down while a run is active on it"
            );
            self.expiring_registrations
                .push((self.now + REGISTRATION_TTL, endpoint.report));
        }
        let end = self.now + Duration::from_millis(duration_ms);
        self.hosts_in_transition
            .insert(name.to_owned(), (end, pool.to_owned(), state));
        let in_maintenance = self
            .hosts
            .values()
            .filter(|host| host.state == HostState::Maintained)
            .count();
        self.observed.max_in_maintenance =
            self.observed.max_in_maintenance.max(in_maintenance);
    }
}
