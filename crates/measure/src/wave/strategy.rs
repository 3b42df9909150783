//! Strategies that choose which hosts are drained next.

use rhubarbrill_core::fleet::{Fleet, HostKey};
use rhubarbrill_core::maintenance::{Command, Ledger, Reason, Record, Step};
use rhubarbrill_core::wave::{Estimate, Planner};

/// A strategy that chooses which hosts are drained next.
///
/// The ledger checks the commands of every strategy, so all of them keep the budgets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// The wave planner.
    Planner,
    /// Longest estimated outage first, with as many hosts at once as the budgets allow.
    LongestFirst,
    /// One host at a time in each pool.
    PoolSerial,
    /// One host at a time in the whole fleet.
    Serial,
}

impl Strategy {
    /// Every strategy, in the order of the table.
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

    /// Returns the commands to apply now: reboots of drained hosts, then new drains.
    pub(super) fn next_commands(
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
        let mut pending = pending_hosts(ledger, fleet);
        let drains: Vec<_> = match self {
            Self::Planner => return Planner.next(ledger, fleet, estimate),
            Self::LongestFirst => {
                pending
                    .sort_by_key(|(key, _, _)| std::cmp::Reverse(estimate.outage(*key)));
                pending.into_iter().map(drain).collect()
            }
            Self::PoolSerial => {
                pending.retain(|(_, wave, _)| !has_host_out(ledger, Some(wave)));
                pending.dedup_by_key(|(_, wave, _)| *wave);
                pending.into_iter().map(drain).collect()
            }
            Self::Serial if has_host_out(ledger, None) => Vec::new(),
            Self::Serial => pending.into_iter().take(1).map(drain).collect(),
        };
        reboot_commands(ledger).chain(drains).collect()
    }
}

/// Returns the hosts that still have to be drained, with their waves, in order of wave
/// and name.
fn pending_hosts<'a>(
    ledger: &'a Ledger,
    fleet: &'a Fleet,
) -> Vec<(HostKey, &'a str, &'a str)> {
    ledger
        .waves()
        .flat_map(|(name, wave)| {
            wave.pending(fleet)
                .map(move |(key, host)| (key, name, host))
        })
        .filter(|(_, _, host)| ledger.record(host).is_none_or(Record::may_drain))
        .collect()
}

/// Returns whether the given wave, or any wave if `None`, has a host out of service.
fn has_host_out(ledger: &Ledger, wave: Option<&str>) -> bool {
    ledger
        .records()
        .filter_map(|(_, record)| record.wave())
        .any(|name| wave.is_none_or(|wave| wave == name))
}

/// Returns a reboot command for every drained host.
fn reboot_commands(ledger: &Ledger) -> impl Iterator<Item = Command> {
    ledger
        .records()
        .filter(|(_, record)| record.step == Step::Drained)
        .map(|(host, _)| Command::BeginReboot { host: host.into() })
}
