//! Faults, and how they end.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rhubarbrill_standin::link::{Direction, Link, NewConnections};
use rhubarbrill_standin::users::StoreFault;

use crate::deployment::{Deployment, ENDPOINTS, ENTRIES};

/// What happens to a link.
#[derive(Clone, Copy, Debug)]
pub enum LinkFault {
    Cut,
    Reset,
    /// The present connections go silent.
    SilentOld,
    /// All connections are silent.
    SilentAll,
    SilentThere,
    SilentBack,
    Slow(Duration),
}

/// What happens.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A process is killed; it starts again when the fault ends.
    Kill(usize),
    /// A process is paused.
    Pause(usize),
    /// A process is asked to stop; it starts again when the fault ends.
    Stop(usize),
    /// A process is told that its settings have changed.
    HangUp(usize),
    /// The way of an entry host to the store.
    StoreLink(usize, LinkFault),
    /// The way to an endpoint.
    EndpointLink(usize, LinkFault),
    /// The store itself.
    Store(StoreFault),
    /// The store forgets its history.
    Compaction,
    /// An endpoint loses all and begins another life.
    Rebirth(usize),
    /// A newer configuration.
    Configuration,
}

/// How a fault ends.
#[derive(Clone, Copy, Debug)]
pub enum Healing {
    Start(usize),
    Continue(usize),
    StoreLink(usize),
    EndpointLink(usize),
    Store,
}

impl LinkFault {
    fn random(random: &mut ChaCha8Rng) -> Self {
        match random.random_range(0..7) {
            0 => Self::Cut,
            1 => Self::Reset,
            2 => Self::SilentOld,
            3 => Self::SilentAll,
            4 => Self::SilentThere,
            5 => Self::SilentBack,
            _ => Self::Slow(Duration::from_millis(random.random_range(5..400))),
        }
    }

    fn carry_out(self, link: &Link) {
        match self {
            Self::Cut => link.cut(),
            Self::Reset => link.reset(),
            Self::SilentOld => link.freeze(NewConnections::Forward),
            Self::SilentAll => link.freeze(NewConnections::Freeze),
            Self::SilentThere => link.stall(Direction::ToTarget),
            Self::SilentBack => link.stall(Direction::ToCaller),
            Self::Slow(delay) => link.delay(delay),
        }
    }
}

impl Fault {
    pub fn random(random: &mut ChaCha8Rng, deployment: &Deployment) -> Self {
        let any = random.random_range(0..ENTRIES);
        // The leader is hit as often as the others together.
        let leader = deployment.leader().filter(|_| random.random_bool(0.5));
        let entry = leader.unwrap_or(any);
        let endpoint = random.random_range(0..ENDPOINTS);
        match random.random_range(0..14) {
            0 | 1 => Self::Kill(entry),
            2 | 3 => Self::Pause(entry),
            4 => Self::Stop(entry),
            5 => Self::HangUp(entry),
            6 | 7 => Self::StoreLink(entry, LinkFault::random(random)),
            8 | 9 => Self::EndpointLink(endpoint, LinkFault::random(random)),
            10 => Self::Store(trouble(random)),
            11 => Self::Compaction,
            12 => Self::Rebirth(endpoint),
            _ => Self::Configuration,
        }
    }

    /// Makes it happen; returns how it ends, if it lasts.
    pub fn carry_out(self, deployment: &mut Deployment) -> Option<Healing> {
        match self {
            Self::Kill(place) => {
                deployment.entries[place].take()?.kill();
                Some(Healing::Start(place))
            }
            Self::Stop(place) => {
                let mut entry = deployment.entries[place].take()?;
                entry.signal("TERM");
                // A paused process can't stop by itself.
                entry.signal("CONT");
                entry.wait();
                Some(Healing::Start(place))
            }
            Self::Pause(place) => {
                deployment.entries[place].as_ref()?.signal("STOP");
                Some(Healing::Continue(place))
            }
            Self::HangUp(place) => {
                // A process that has just begun to run doesn't heed signals yet.
                let entry = deployment.entries[place].as_ref();
                entry.filter(|entry| entry.is_ready())?.signal("HUP");
                None
            }
            Self::StoreLink(place, fault) => {
                fault.carry_out(&deployment.store_links[place]);
                Some(Healing::StoreLink(place))
            }
            Self::EndpointLink(place, fault) => {
                fault.carry_out(&deployment.endpoint_links[place]);
                Some(Healing::EndpointLink(place))
            }
            Self::Store(trouble) => {
                deployment.users.set_store_fault(trouble);
                Some(Healing::Store)
            }
            Self::Compaction => {
                deployment.users.compact();
                None
            }
            Self::Rebirth(place) => {
                deployment.users.restart(&format!("i-{place}"));
                None
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

impl Healing {
    pub fn carry_out(self, deployment: &mut Deployment) {
        match self {
            Self::Start(place) => {
                if deployment.entries[place].is_none() {
                    deployment.start_entry(place);
                }
            }
            Self::Continue(place) => {
                if let Some(entry) = &deployment.entries[place] {
                    entry.signal("CONT");
                }
            }
            Self::StoreLink(place) => deployment.store_links[place].heal(),
            Self::EndpointLink(place) => deployment.endpoint_links[place].heal(),
            Self::Store => deployment.users.set_store_fault(StoreFault::None),
        }
    }
}

fn trouble(random: &mut ChaCha8Rng) -> StoreFault {
    match random.random_range(0..3) {
        0 => StoreFault::Unavailable,
        1 => StoreFault::WritesUnanswered,
        _ => StoreFault::Delayed(random.random_range(20..900)),
    }
}
