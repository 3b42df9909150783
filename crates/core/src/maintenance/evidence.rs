//! Evidence that no work runs on a leaving host.

use std::fmt;
use std::time::Duration;

use crate::member::Member;

/// Longest time that an entry host may go on sending to a host after it began to leave.
///
/// An entry host whose copy of the ledger is older than this stops sending; see
/// [`super::Freshness`].
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(4);

/// What the planner knows about the work that still runs on a leaving host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    reports: Vec<MemberReport>,
    waited: Duration,
}

/// The report of one entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// The entry host that reported.
    pub member: Member,
    /// What it reported about its own work on the leaving host.
    pub report: DrainReport,
}

/// What an entry host reported about its own work on a leaving host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainReport {
    /// It has no requests on the host and sends no more.
    Idle {
        /// Generation of the ledger that the entry host uses.
        generation: u64,
    },
    /// Some of its requests still run on the host.
    Busy,
    /// It didn't answer, or its member record has expired.
    NoAnswer,
}

/// Why a leaving host can't be considered drained yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DrainBlocker {
    /// The named entry host still has requests on it.
    Busy(String),
    /// The named entry host hasn't confirmed that it sends no more, and the drain grace
    /// period hasn't elapsed; see [`super::Ledger::drain_grace_period`].
    Unconfirmed(String),
    /// None of the entry hosts in the availability zone of the leaving host, which is
    /// named, has confirmed. The zone may be partitioned from the rest, and its entry
    /// hosts would then continue to send.
    ZoneUnconfirmed(String),
    /// No entry host is known, and the drain grace period hasn't elapsed.
    NoReports,
}

impl Evidence {
    /// Returns evidence without reports, collected `waited` after the planner first read
    /// that the host is leaving.
    ///
    /// `waited` is measured with the planner's own monotonic clock. A planner that takes
    /// over from another one starts again at zero.
    pub fn after(waited: Duration) -> Self {
        Self {
            reports: Vec::new(),
            waited,
        }
    }

    /// Adds the report of an entry host.
    ///
    /// The evidence must include every member whose record exists or expired since the
    /// host began to leave.
    #[must_use]
    pub fn with(mut self, member: Member, report: DrainReport) -> Self {
        self.reports.push(MemberReport { member, report });
        self
    }

    /// Checks that no work runs on a host that began to leave at generation `since`.
    ///
    /// A busy entry host always blocks. One that hasn't confirmed blocks until the grace
    /// period has elapsed, and longer if the host's own zone, `zone`, has entry hosts and
    /// none of them has confirmed.
    pub(super) fn check(
        &self,
        since: u64,
        zone: &str,
        drain_grace_period: Duration,
    ) -> Result<(), DrainBlocker> {
        if let Some(busy) = self.reports.iter().find(|r| r.report == DrainReport::Busy) {
            return Err(DrainBlocker::Busy(busy.member.entry.clone()));
        }
        let mut unconfirmed = self.reports.iter().filter(|r| !r.confirms(since));
        let Some(first) = unconfirmed.next() else {
            return self.check_no_reports(drain_grace_period);
        };
        if self.waited < drain_grace_period {
            return Err(DrainBlocker::Unconfirmed(first.member.entry.clone()));
        }
        self.check_zone(since, zone)
    }

    fn check_no_reports(&self, drain_grace_period: Duration) -> Result<(), DrainBlocker> {
        if self.reports.is_empty() && self.waited < drain_grace_period {
            return Err(DrainBlocker::NoReports);
        }
        Ok(())
    }

    fn check_zone(&self, since: u64, zone: &str) -> Result<(), DrainBlocker> {
        let mut own = self
            .reports
            .iter()
            .filter(|r| r.member.zone == zone)
            .peekable();
        if own.peek().is_some() && !own.any(|r| r.confirms(since)) {
            return Err(DrainBlocker::ZoneUnconfirmed(zone.to_owned()));
        }
        Ok(())
    }
}

impl MemberReport {
    fn confirms(&self, since: u64) -> bool {
        matches!(self.report, DrainReport::Idle { generation } if generation >= since)
    }
}

impl fmt::Display for DrainBlocker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy(entry) => write!(f, "entry host {entry} still has requests on it"),
            Self::Unconfirmed(entry) => {
                write!(f, "entry host {entry} has not confirmed the drain")
            }
            Self::ZoneUnconfirmed(zone) => {
                write!(f, "no entry host in availability zone {zone} has confirmed")
            }
            Self::NoReports => write!(f, "the drain grace period has not elapsed"),
        }
    }
}
