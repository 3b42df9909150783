//! Ways to choose which host leaves next.

use rhubarbrill_core::fleet::{Fleet, HostKey};
use rhubarbrill_core::maintenance::{Command, Ledger, Reason, Record, Step};
use rhubarbrill_core::wave::{Estimate, Planner};

/// A way to choose which host leaves next.
///
/// Every strategy goes through the ledger, so budgets hold in each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// The wave planner.
    Planner,
    /// The longest outage first, as many at once as the budgets allow.
    LongestFirst,
    /// One host after another in each pool.
    PoolSerial,
    /// One host after another in the whole fleet.
    Serial,
}

impl Strategy {
    /// Every strategy.
    pub const ALL: [Self; 4] = [
        Self::Planner,
        Self::LongestFirst,
        Self::PoolSerial,
        Self::Serial,
    ];

    /// Returns the name that the tables print.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Planner => "planner",
            Self::LongestFirst => "longest first",
            Self::PoolSerial => "one by one in each pool",
            Self::Serial => "one by one",
        }
    }

    /// Returns the commands that are due.
    pub(super) fn next(
        self,
        ledger: &Ledger,
        fleet: &Fleet,
        estimate: &Estimate,
    ) -> Vec<Command> {
        let drain = |(_, wave, host): (HostKey, &str, &str)| Command::BeginDrain {
            host: host.to_owned(),
            reason: Reason::Wave {
                wave: wave.to_owned(),
            },
        };
        let mut waiting = waiting(ledger, fleet);
        let drains: Vec<_> = match self {
            Self::Planner => return Planner.next(ledger, fleet, estimate),
            Self::LongestFirst => {
                waiting
                    .sort_by_key(|(key, _, _)| std::cmp::Reverse(estimate.outage(*key)));
                waiting.into_iter().map(drain).collect()
            }
            Self::PoolSerial => {
                waiting.retain(|(_, wave, _)| !is_out(ledger, Some(wave)));
                waiting.dedup_by_key(|(_, wave, _)| *wave);
                waiting.into_iter().map(drain).collect()
            }
            Self::Serial if is_out(ledger, None) => Vec::new(),
            Self::Serial => waiting.into_iter().take(1).map(drain).collect(),
        };
        reboots(ledger).chain(drains).collect()
    }
}

/// Returns the hosts that no wave has reached, in order of wave and name.
fn waiting<'a>(ledger: &'a Ledger, fleet: &'a Fleet) -> Vec<(HostKey, &'a str, &'a str)> {
    ledger
        .waves()
        .flat_map(|(name, wave)| {
            wave.pending(fleet)
                .map(move |(key, host)| (key, name, host))
        })
        .filter(|(_, _, host)| ledger.record(host).is_none_or(Record::may_drain))
        .collect()
}

/// Returns whether the wave, or any, has a host out of service.
fn is_out(ledger: &Ledger, wave: Option<&str>) -> bool {
    ledger
        .records()
        .filter_map(|(_, record)| record.wave())
        .any(|name| wave.is_none_or(|wave| wave == name))
}

fn reboots(ledger: &Ledger) -> impl Iterator<Item = Command> {
    ledger
        .records()
        .filter(|(_, record)| record.step == Step::Drained)
        .map(|(host, _)| Command::BeginReboot { host: host.into() })
}
