//! Property test: invariants of a gate under random events.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use rhubarbrill_core::fleet::HostKey;
use rhubarbrill_core::gate::{Class, Members, Outcome, Retry, Status, Ticket};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::time::Instant;
use rhubarbrill_core::verdict::Verdict;
use support::{Fixture, add_hosts, at, submission};

#[derive(Clone, Copy, Debug)]
enum Event {
    Submit {
        workspace: usize,
        urgent: bool,
        span: u64,
    },
    Finish {
        pick: usize,
        good: bool,
    },
    Retry {
        pick: usize,
        verdict: Verdict,
    },
    Requeue(usize),
    Cancel(usize),
    Accept {
        host: usize,
        accepts: bool,
    },
    Remove {
        workspace: usize,
    },
    Declare {
        workspace: usize,
    },
    Members(usize),
    RemoveHost(usize),
    AddHosts(usize),
    Floor {
        workspace: usize,
        units: u32,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let verdict = prop_oneof![Just(Verdict::NotRun), Just(Verdict::MayHaveRun)];
    let pick = 0..100_usize;
    prop_oneof![
        8 => (0..3_usize, any::<bool>(), 0..3_000_u64)
            .prop_map(|(workspace, urgent, span)| Event::Submit {
                workspace,
                urgent,
                span,
            }),
        4 => (pick.clone(), any::<bool>())
            .prop_map(|(pick, good)| Event::Finish { pick, good }),
        2 => (pick.clone(), verdict).prop_map(|(pick, verdict)| Event::Retry { pick, verdict }),
        1 => pick.clone().prop_map(Event::Requeue),
        2 => pick.prop_map(Event::Cancel),
        1 => (0..6_usize, any::<bool>())
            .prop_map(|(host, accepts)| Event::Accept { host, accepts }),
        1 => (0..3_usize).prop_map(|workspace| Event::Remove { workspace }),
        1 => (0..3_usize).prop_map(|workspace| Event::Declare { workspace }),
        1 => (1..5_usize).prop_map(Event::Members),
        1 => (0..6_usize).prop_map(Event::RemoveHost),
        1 => (1..7_usize).prop_map(Event::AddHosts),
        1 => (0..3_usize, 0..12_u32)
            .prop_map(|(workspace, units)| Event::Floor { workspace, units }),
    ]
}

/// A gate and the state that its caller expects it to have.
struct Simulation {
    fixture: Fixture,
    waiting: BTreeSet<Ticket>,
    /// Start time and host of each running request.
    running: BTreeMap<Ticket, (Instant, HostKey)>,
    now: Instant,
}

impl Simulation {
    fn new() -> Self {
        Self {
            fixture: Fixture::new(6, 2, &[(1, 5), (10, 5), (100, 5)]),
            waiting: BTreeSet::new(),
            running: BTreeMap::new(),
            now: at(0),
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Submit {
                workspace,
                urgent,
                span,
            } => {
                let mut submission = submission(
                    &self.fixture,
                    workspace,
                    at(now.as_micros() / 1_000 + span),
                );
                submission.class = if urgent { Class::Urgent } else { Class::Normal };
                submission.repeatable = span % 2 == 0;
                if let Ok(ticket) = self.fixture.gate.submit(now, submission) {
                    assert!(self.waiting.insert(ticket), "ticket issued twice");
                }
            }
            Event::Finish { pick, good } => {
                let Some(ticket) = self.pick_running(pick) else {
                    return;
                };
                let status = match good {
                    true => Status::Success,
                    false => Status::ServerError,
                };
                let latency = now.saturating_since(self.running[&ticket].0);
                let outcome = Outcome::Answered { status, latency };
                self.fixture.gate.finish(now, ticket, outcome);
                self.running.remove(&ticket);
            }
            Event::Retry { pick, verdict } => {
                let Some(ticket) = self.pick_running(pick) else {
                    return;
                };
                self.running.remove(&ticket);
                if self.fixture.gate.retry(now, ticket, verdict) == Retry::Requeued {
                    self.waiting.insert(ticket);
                }
            }
            Event::Requeue(pick) => {
                let Some(ticket) = self.pick_running(pick) else {
                    return;
                };
                self.running.remove(&ticket);
                self.fixture.gate.requeue(now, ticket);
                self.waiting.insert(ticket);
            }
            Event::Cancel(pick) => {
                let all = self.waiting.iter().chain(self.running.keys());
                let all: Vec<Ticket> = all.copied().collect();
                let Some(&ticket) = all.get(pick % all.len().max(1)) else {
                    return;
                };
                self.fixture.gate.cancel(now, ticket);
                self.waiting.remove(&ticket);
                self.running.remove(&ticket);
            }
            Event::Accept { host, accepts } => {
                let Some(&host) = self.fixture.hosts().get(host) else {
                    return;
                };
                let mut standing = self.fixture.placement.get(host).unwrap();
                standing.accepts = accepts;
                self.fixture.placement.set(host, standing);
                self.fixture.reconfigure();
            }
            Event::Remove { workspace } => {
                self.fixture
                    .fleet
                    .workspaces
                    .remove(&format!("t{workspace}"));
                self.fixture.reconfigure();
            }
            Event::Declare { workspace } => {
                self.fixture
                    .declare_workspace(workspace, 1 + 10 * workspace as u32, 5);
                self.fixture.reconfigure();
            }
            Event::Members(count) => {
                let member = |index| Member {
                    entry: format!("e{index}"),
                    zone: format!("z{}", index % 3),
                    incarnation: 1,
                };
                let live = (0..count).map(member).collect();
                let this = member(0);
                self.fixture.gate.set_members(Members { this, live });
            }
            Event::RemoveHost(host) => {
                self.fixture.fleet.hosts.remove(&format!("h{host}"));
                self.fixture.place_as_declared();
            }
            Event::AddHosts(count) => {
                let pool = self.fixture.pool;
                add_hosts(&mut self.fixture.fleet, pool, count, 2);
                self.fixture.place_as_declared();
            }
            Event::Floor { workspace, units } => {
                let workspace = self.fixture.workspaces[workspace];
                self.fixture.gate.holder_mut().set_floor(workspace, units);
            }
        }
    }

    fn pick_running(&self, pick: usize) -> Option<Ticket> {
        let count = self.running.len().max(1);
        self.running.keys().nth(pick % count).copied()
    }

    /// Applies expiries and starts, and checks the invariants.
    fn settle(&mut self) {
        for expired in self.fixture.gate.expire(self.now) {
            assert!(
                self.waiting.remove(&expired.ticket),
                "an expired request was not waiting"
            );
        }
        for start in self.fixture.start_all(self.now) {
            assert!(
                self.waiting.remove(&start.ticket),
                "a started request was not waiting"
            );
            assert!(
                self.running
                    .insert(start.ticket, (self.now, start.host))
                    .is_none()
            );
            let standing = self.fixture.placement.get(start.host).unwrap();
            assert!(standing.accepts, "sent to a host that accepts no work");
            let gate = &self.fixture.gate;
            assert!(gate.running(start.host) <= gate.units(start.host));
        }
        let gate = &self.fixture.gate;
        assert_eq!(gate.len(), self.waiting.len() + self.running.len());
        assert_eq!(gate.waiting(self.fixture.pool) as usize, self.waiting.len());
        let budget = self
            .fixture
            .fleet
            .pools
            .get(self.fixture.pool)
            .unwrap()
            .budget;
        assert!(gate.ejected().count() <= budget.max_out as usize);
        let workspaces = self.fixture.fleet.workspaces.iter();
        let running: u32 = workspaces.map(|(key, ..)| gate.holder().running(key)).sum();
        assert!(running as usize <= self.running.len());
        let hosts = self.fixture.hosts().into_iter();
        let occupied: u32 = hosts.map(|host| gate.running(host)).sum();
        let declared = |host| self.fixture.fleet.hosts.get(host).is_some();
        let running = self.running.values();
        let running = running.filter(|&&(_, host)| declared(host)).count();
        assert_eq!(occupied as usize, running);
        let usage = gate.usage();
        let running: u32 = usage.iter().map(|row| row.running).sum();
        assert_eq!(running as usize, self.running.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_ticket_is_lost_or_started_twice(
        events in prop::collection::vec((event(), 0..400_u64), 1..120),
    ) {
        let mut simulation = Simulation::new();
        for (event, pause) in events {
            simulation.now = simulation.now + std::time::Duration::from_millis(pause);
            simulation.apply(event);
            simulation.settle();
        }
        for ticket in simulation.running.keys().copied().collect::<Vec<_>>() {
            simulation.fixture.gate.finish(simulation.now, ticket, Outcome::Cancelled);
        }
        simulation.running.clear();
        simulation.now = simulation.now + std::time::Duration::from_secs(60);
        for expired in simulation.fixture.gate.expire(simulation.now) {
            prop_assert!(simulation.waiting.remove(&expired.ticket));
        }
        prop_assert!(simulation.waiting.is_empty(), "a waiting ticket was lost");
        prop_assert!(simulation.fixture.gate.is_empty());
    }
}
