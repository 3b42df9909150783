//! Test fixture: a small fleet and one gate.
#![allow(dead_code)]

use std::time::Duration;

use rhubarbrill_core::fleet::{
    Access, Budget, DisconnectedPolicy, Fleet, Host, HostKey, Pool, PoolKey, Queue,
    QueueKey, Workspace, WorkspaceKey, Zone,
};
use rhubarbrill_core::gate::{Class, Gate, Options, Start, Submission};
use rhubarbrill_core::placement::Placement;
use rhubarbrill_core::time::Instant;

pub struct Fixture {
    pub gate: Gate,
    pub fleet: Fleet,
    pub placement: Placement,
    pub pool: PoolKey,
    pub queue: QueueKey,
    pub workspaces: Vec<WorkspaceKey>,
}

/// Maximum run time of the fixture's queue.
pub const MAX_RUN_TIME: Duration = Duration::from_secs(10);

pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub fn submission(fixture: &Fixture, workspace: usize, deadline: Instant) -> Submission {
    Submission {
        workspace: fixture.workspaces[workspace],
        queue: fixture.queue,
        class: Class::Normal,
        deadline,
        repeatable: true,
    }
}

impl Fixture {
    /// Returns a fixture with one pool of `hosts` hosts with `slots` slots each. Each
    /// workspace is a pair of share and floor.
    pub fn new(hosts: usize, slots: u32, workspaces: &[(u32, u32)]) -> Self {
        let mut fleet = Fleet::default();
        let budget = Budget {
            max_out: 2,
            max_out_per_rack: 2,
            max_out_per_zone: 2,
        };
        let pool = fleet.pools.upsert(
            "p",
            Pool {
                budget,
                spare: false,
            },
        );
        add_hosts(&mut fleet, pool, hosts, slots);
        let queue = Queue {
            pool,
            path: "/q".into(),
            access: Access::Keyed,
            max_run_time: MAX_RUN_TIME,
            stops_on_close: true,
            max_waiting: 10_000,
        };
        let queue = fleet.queues.upsert("q", queue);
        let placement = Placement::declared(&fleet);
        let gate = Gate::new(Options::default().seed(7));
        let mut fixture = Self {
            gate,
            fleet,
            placement,
            pool,
            queue,
            workspaces: Vec::new(),
        };
        for (index, &(share, floor)) in workspaces.iter().enumerate() {
            fixture.declare_workspace(index, share, floor);
        }
        fixture.reconfigure();
        fixture
    }

    /// Declares a workspace or replaces its declaration, and sets its floor at the gate.
    pub fn declare_workspace(&mut self, index: usize, share: u32, floor: u32) {
        let workspace = Workspace {
            share,
            limit: 1_000,
            when_disconnected: DisconnectedPolicy::Serve,
        };
        let key = self
            .fleet
            .workspaces
            .upsert(&format!("t{index}"), workspace);
        self.gate.holder_mut().set_floor(key, floor);
        match self.workspaces.get_mut(index) {
            Some(known) => *known = key,
            None => self.workspaces.push(key),
        }
    }

    pub fn reconfigure(&mut self) {
        self.gate.reconfigure(&self.fleet, &self.placement, at(0));
    }

    /// Places every declared host in its pool, accepting work.
    pub fn place_as_declared(&mut self) {
        self.placement = Placement::declared(&self.fleet);
        self.reconfigure();
    }

    pub fn start_all(&mut self, now: Instant) -> Vec<Start> {
        std::iter::from_fn(|| self.gate.next_start(now)).collect()
    }

    pub fn hosts(&self) -> Vec<HostKey> {
        self.fleet.hosts.iter().map(|(key, _, _)| key).collect()
    }

    pub fn set_limit(&mut self, workspace: usize, limit: u32) {
        let mut workspace = self
            .fleet
            .workspaces
            .get(self.workspaces[workspace])
            .unwrap()
            .clone();
        workspace.limit = limit;
        self.fleet.workspaces.upsert("t0", workspace);
    }

    pub fn set_accepting(&mut self, accepts: bool) {
        for host in self.hosts() {
            let mut standing = self.placement.get(host).unwrap();
            standing.accepts = accepts;
            self.placement.set(host, standing);
        }
    }

    /// Declares another pool with one host, and assigns the queue to it.
    pub fn move_queue(&mut self) {
        let declared = self.fleet.pools.get(self.pool).unwrap().clone();
        let pool = self.fleet.pools.upsert("other", declared);
        let mut host = self.fleet.hosts.get(self.hosts()[0]).unwrap().clone();
        host.pool = pool;
        self.fleet.hosts.upsert("other", host);
        self.placement = Placement::declared(&self.fleet);
        let mut queue = self.fleet.queues.get(self.queue).unwrap().clone();
        queue.pool = pool;
        self.fleet.queues.upsert("q", queue);
    }

    pub fn set_stops_on_close(&mut self, stops_on_close: bool) {
        let mut queue = self.fleet.queues.get(self.queue).unwrap().clone();
        queue.stops_on_close = stops_on_close;
        self.fleet.queues.upsert("q", queue);
    }

    pub fn set_max_waiting(&mut self, max_waiting: u32) {
        let mut queue = self.fleet.queues.get(self.queue).unwrap().clone();
        queue.max_waiting = max_waiting;
        self.fleet.queues.upsert("q", queue);
    }
}

pub fn add_hosts(fleet: &mut Fleet, pool: PoolKey, hosts: usize, slots: u32) {
    for index in 0..hosts {
        let zone = format!("z{}", index % 3);
        let region = String::from("south");
        let zone = fleet.zones.upsert(&zone, Zone { region });
        let host = Host {
            pool,
            zone,
            rack: format!("r{}", index / 4),
            address: "127.0.0.1:1".parse().unwrap(),
            slots,
            connections: 64,
        };
        fleet.hosts.upsert(&format!("h{index}"), host);
    }
}
