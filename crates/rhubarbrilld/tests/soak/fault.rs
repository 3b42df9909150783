//! Faults that the soak test injects, and how it removes them.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rhubarbrill_standin::link::{Direction, Link, NewConnections};
use rhubarbrill_standin::users::StoreFault;

use crate::Troubles;
use crate::deployment::{Deployment, ENDPOINTS, ENTRIES, FULL_CPU};
use crate::support::jobs::TASK_CPU;

/// A fault of a link.
#[derive(Clone, Copy, Debug)]
pub enum LinkFault {
    Cut,
    Reset,
    /// Existing connections stop transferring data; new ones work.
    SilentExisting,
    /// Existing and new connections transfer no data.
    SilentAll,
    SilentToTarget,
    SilentFromTarget,
    Slow(Duration),
}

/// A fault of a process, a link, the store or an endpoint, or a disruptive event.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// An entry host is killed with SIGKILL; it starts again when the fault ends.
    Kill(usize),
    /// An entry host is paused with SIGSTOP until the fault ends.
    Pause(usize),
    /// An entry host is stopped gracefully with SIGTERM; it starts again when the fault
    /// ends.
    Stop(usize),
    /// An entry host is told with SIGHUP that its settings have changed.
    Reload(usize),
    /// The link from an entry host to the store fails.
    StoreLink(usize, LinkFault),
    /// The link to an endpoint fails.
    EndpointLink(usize, LinkFault),
    /// The store itself fails.
    Store(StoreFault),
    /// The store discards its history.
    Compaction,
    /// An endpoint loses all its state and starts a new incarnation.
    RestartEndpoint(usize),
    /// An endpoint is cut off from the store and starts a new incarnation, which the store
    /// doesn't show until the fault ends.
    RestartBehindCut(usize),
    /// An endpoint rejects each start until the fault ends.
    RejectStarts(usize),
    /// The capacity of an endpoint changes to this many tasks, until the fault ends.
    Resize(usize, u64),
    /// A newer version of the configuration is published.
    Configuration,
}

/// How a lasting fault is removed.
#[derive(Clone, Copy, Debug)]
pub enum Recovery {
    Start(usize),
    Resume(usize),
    StoreLink(usize),
    EndpointLink(usize),
    Store,
    FullSize(usize),
    Reconnect(usize),
    AcceptStarts(usize),
}

impl LinkFault {
    fn random(random: &mut ChaCha8Rng) -> Self {
        match random.random_range(0..7) {
            0 => Self::Cut,
            1 => Self::Reset,
            2 => Self::SilentExisting,
            3 => Self::SilentAll,
            4 => Self::SilentToTarget,
            5 => Self::SilentFromTarget,
            _ => Self::Slow(Duration::from_millis(random.random_range(5..400))),
        }
    }

    fn apply(self, link: &Link) {
        match self {
            Self::Cut => link.cut(),
            Self::Reset => link.reset(),
            Self::SilentExisting => link.freeze(NewConnections::Forward),
            Self::SilentAll => link.freeze(NewConnections::Freeze),
            Self::SilentToTarget => link.stall(Direction::ToTarget),
            Self::SilentFromTarget => link.stall(Direction::ToCaller),
            Self::Slow(delay) => link.delay(delay),
        }
    }
}

impl Fault {
    pub fn random(
        random: &mut ChaCha8Rng,
        deployment: &Deployment,
        troubles: Troubles,
    ) -> Self {
        let any = random.random_range(0..ENTRIES);
        // In half of the cases the leader is chosen, if there is one, otherwise a random
        // entry host.
        let leader = deployment.leader().filter(|_| random.random_bool(0.5));
        let entry = leader.unwrap_or(any);
        let endpoint = random.random_range(0..ENDPOINTS);
        // Every second fault is one of those that this kind of run adds.
        if troubles == Troubles::Restarts && random.random_bool(0.5) {
            return if random.random_bool(0.7) {
                Self::RestartBehindCut(endpoint)
            } else {
                Self::RejectStarts(endpoint)
            };
        }
        let kinds = match troubles {
            Troubles::Faults | Troubles::Restarts => 14,
            Troubles::Endpoints => 16,
        };
        match random.random_range(0..kinds) {
            0 | 1 => Self::Kill(entry),
            2 | 3 => Self::Pause(entry),
            4 => Self::Stop(entry),
            5 => Self::Reload(entry),
            6 | 7 => Self::StoreLink(entry, LinkFault::random(random)),
            8 | 9 => Self::EndpointLink(endpoint, LinkFault::random(random)),
            10 => Self::Store(random_store_fault(random)),
            11 => Self::Compaction,
            12 => Self::RestartEndpoint(endpoint),
            13 => Self::Configuration,
            _ => Self::Resize(endpoint, random.random_range(0..4)),
        }
    }

    /// Injects the fault; returns how to remove it, or `None` if there is nothing to
    /// remove.
    pub fn inject(self, deployment: &mut Deployment) -> Option<Recovery> {
        match self {
            Self::Kill(index) => {
                deployment.entries[index].take()?.kill();
                Some(Recovery::Start(index))
            }
            Self::Stop(index) => {
                let mut entry = deployment.entries[index].take()?;
                entry.signal("TERM");
                // A paused process handles SIGTERM only after it is resumed.
                entry.signal("CONT");
                entry.wait();
                Some(Recovery::Start(index))
            }
            Self::Pause(index) => {
                deployment.entries[index].as_ref()?.signal("STOP");
                Some(Recovery::Resume(index))
            }
            Self::Reload(index) => {
                // A process that has just started has not installed its signal handlers
                // yet.
                let entry = deployment.entries[index].as_ref();
                entry.filter(|entry| entry.is_ready())?.signal("HUP");
                None
            }
            Self::StoreLink(index, fault) => {
                fault.apply(&deployment.store_links[index]);
                Some(Recovery::StoreLink(index))
            }
            Self::EndpointLink(index, fault) => {
                fault.apply(&deployment.endpoint_links[index]);
                Some(Recovery::EndpointLink(index))
            }
            Self::Store(trouble) => {
                deployment.users.set_store_fault(trouble);
                Some(Recovery::Store)
            }
            Self::Compaction => {
                deployment.users.compact();
                None
            }
            Self::RestartEndpoint(index) => {
                deployment.users.restart(&format!("i-{index}"));
                None
            }
            Self::RestartBehindCut(index) => {
                let id = format!("i-{index}");
                deployment.users.set_cut_off(&id, true);
                deployment.users.restart(&id);
                Some(Recovery::Reconnect(index))
            }
            Self::RejectStarts(index) => {
                deployment.users.set_rejecting(&format!("i-{index}"), true);
                Some(Recovery::AcceptStarts(index))
            }
            Self::Resize(index, tasks) => {
                let cpu = tasks * TASK_CPU;
                deployment.users.resize(&format!("i-{index}"), cpu);
                Some(Recovery::FullSize(index))
            }
            Self::Configuration => {
                deployment.configuration += 1;
                let version = deployment.configuration;
                deployment.users.configure(version, "a", &["k"]);
                None
            }
        }
    }
}

impl Recovery {
    pub fn apply(self, deployment: &mut Deployment) {
        match self {
            Self::Start(index) => {
                if deployment.entries[index].is_none() {
                    deployment.start_entry(index);
                }
            }
            Self::Resume(index) => {
                if let Some(entry) = &deployment.entries[index] {
                    entry.signal("CONT");
                }
            }
            Self::StoreLink(index) => deployment.store_links[index].heal(),
            Self::EndpointLink(index) => deployment.endpoint_links[index].heal(),
            Self::FullSize(index) => {
                deployment.users.resize(&format!("i-{index}"), FULL_CPU);
            }
            Self::Store => deployment.users.set_store_fault(StoreFault::None),
            Self::Reconnect(index) => {
                deployment.users.set_cut_off(&format!("i-{index}"), false);
            }
            Self::AcceptStarts(index) => {
                deployment.users.set_rejecting(&format!("i-{index}"), false);
            }
        }
    }
}

fn random_store_fault(random: &mut ChaCha8Rng) -> StoreFault {
    match random.random_range(0..3) {
        0 => StoreFault::Unavailable,
        1 => StoreFault::WritesUnanswered,
        _ => StoreFault::Delayed(random.random_range(20..900)),
    }
}
