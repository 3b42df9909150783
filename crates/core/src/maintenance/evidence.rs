//! Evidence that nothing runs at a leaving host.

use std::fmt;
use std::time::Duration;

use crate::member::Member;

/// Longest time until an entry host has stopped sending to a leaving host.
///
/// An entry host whose news is older stops sending; see [`super::Freshness`].
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(4);

/// What the planner knows about the work at a leaving host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    witnesses: Vec<Witness>,
    waited: Duration,
}

/// An entry host and what it said.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Witness {
    /// The entry host.
    pub member: Member,
    /// What it said.
    pub report: DrainReport,
}

/// What an entry host said about its own work at a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainReport {
    /// Nothing of it runs there, and it sends no more.
    Idle {
        /// Generation of the ledger that the entry host acts on.
        generation: u64,
    },
    /// Requests of it run there.
    Busy,
    /// It gave no answer, or its member record has lapsed.
    NoAnswer,
}

/// What is missing before a host counts as drained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Gap {
    /// This entry host still has requests there.
    Busy(String),
    /// This entry host hasn't confirmed, and the time to wait instead isn't over.
    Unconfirmed(String),
    /// No entry host of the host's own zone has confirmed: the zone may be cut off, and
    /// would then go on sending.
    ZoneSilent(String),
    /// No entry host is known, and the time to wait instead isn't over.
    Waiting,
}

impl Evidence {
    /// Returns evidence of no witness, `waited` after the planner first read that the
    /// host is leaving.
    ///
    /// `waited` is taken on the planner's own monotonic clock; a planner that takes over
    /// starts at zero.
    pub fn after(waited: Duration) -> Self {
        Self {
            witnesses: Vec::new(),
            waited,
        }
    }

    /// Adds what an entry host said. Name every member whose record exists, or lapsed
    /// since the host began to leave.
    #[must_use]
    pub fn with(mut self, member: Member, report: DrainReport) -> Self {
        self.witnesses.push(Witness { member, report });
        self
    }

    /// Checks that nothing runs at a host that leaves since generation `since`.
    pub(super) fn check(
        &self,
        since: u64,
        zone: &str,
        outwait: Duration,
    ) -> Result<(), Gap> {
        if let Some(busy) = self
            .witnesses
            .iter()
            .find(|w| w.report == DrainReport::Busy)
        {
            return Err(Gap::Busy(busy.member.entry.clone()));
        }
        let mut open = self.witnesses.iter().filter(|w| !w.confirms(since));
        let Some(first) = open.next() else {
            return self.check_nobody(outwait);
        };
        if self.waited < outwait {
            return Err(Gap::Unconfirmed(first.member.entry.clone()));
        }
        self.check_zone(since, zone)
    }

    fn check_nobody(&self, outwait: Duration) -> Result<(), Gap> {
        if self.witnesses.is_empty() && self.waited < outwait {
            return Err(Gap::Waiting);
        }
        Ok(())
    }

    fn check_zone(&self, since: u64, zone: &str) -> Result<(), Gap> {
        let mut own = self
            .witnesses
            .iter()
            .filter(|w| w.member.zone == zone)
            .peekable();
        if own.peek().is_some() && !own.any(|w| w.confirms(since)) {
            return Err(Gap::ZoneSilent(zone.to_owned()));
        }
        Ok(())
    }
}

impl Witness {
    fn confirms(&self, since: u64) -> bool {
        matches!(self.report, DrainReport::Idle { generation } if generation >= since)
    }
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy(entry) => write!(f, "{entry} has requests there"),
            Self::Unconfirmed(entry) => write!(f, "{entry} hasn't confirmed"),
            Self::ZoneSilent(zone) => write!(f, "zone {zone} may be cut off"),
            Self::Waiting => write!(f, "the time to wait isn't over"),
        }
    }
}
