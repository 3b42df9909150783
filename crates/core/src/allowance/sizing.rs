//! Determines how many units of one workspace an entry host should hold.

use std::time::Duration;

use super::Command;
use crate::time::Instant;

/// The highest recent demand, in units; it falls only after the hold time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeakDemand {
    peak: u32,
    /// When the peak was last reached.
    reached_at: Instant,
}

impl PeakDemand {
    /// Records the units needed at `now`, and returns the peak.
    pub(super) fn peak(&mut self, needed: u32, now: Instant, hold_time: Duration) -> u32 {
        if needed >= self.peak || now.saturating_since(self.reached_at) >= hold_time {
            self.peak = needed;
            self.reached_at = now;
        }
        self.peak
    }
}

/// The state of one workspace on one entry host from which its units are determined.
#[derive(Clone, Copy, Debug)]
pub(super) struct SizingInput {
    /// Units in the recorded floor.
    pub floor: u32,
    /// Units in the recorded loan.
    pub loaned: u32,
    /// The entry host's floor under the current limit and division.
    pub floor_target: u32,
    /// Units occupied by running work.
    pub running: u32,
    /// Units occupied by running work or needed by waiting requests.
    pub needed: u32,
    /// The highest recent number of units needed, from [`PeakDemand`].
    pub peak: u32,
    /// Units that no entry host holds.
    pub free: u32,
    /// Free units that aren't set aside for the floor of another entry host.
    pub lendable: u32,
    /// Maximum number of units to keep while more is held than the declared limit.
    pub cap: Option<u32>,
    /// Whether units may be borrowed, which needs a valid member lease.
    pub can_borrow: bool,
}

impl SizingInput {
    /// Returns the commands that change the workspace's units to their targets.
    pub(super) fn commands(&self, workspace: &str) -> Vec<Command> {
        let (floor, loaned) = self.targets();
        let mut commands = Vec::new();
        let mut push = |from: u32, to: u32, command: fn(String, u32) -> Command| {
            if to > from {
                commands.push(command(workspace.to_owned(), to - from));
            }
        };
        push(loaned, self.loaned, |workspace, units| {
            Command::ReturnLoan { workspace, units }
        });
        push(floor, self.floor, |workspace, units| Command::LowerFloor {
            workspace,
            units,
        });
        push(self.floor, floor, |workspace, units| Command::RaiseFloor {
            workspace,
            units,
        });
        push(self.loaned, loaned, |workspace, units| Command::Borrow {
            workspace,
            units,
        });
        commands
    }

    /// Returns the target floor and the target loan.
    fn targets(&self) -> (u32, u32) {
        let total = self.target_total();
        if self.cap.is_some() {
            let floor = total.min(self.floor);
            return (floor, total - floor);
        }
        let floor = total.min(self.floor_target);
        let loaned = total - floor;
        if self.can_borrow || loaned <= self.loaned {
            return (floor, loaned);
        }
        (floor.max(self.floor), self.loaned)
    }

    /// Returns the number of units that the entry host should obtain now.
    ///
    /// The recent peak isn't part of it: units in excess of the demand are kept for the
    /// hold time, but never borrowed.
    pub(super) fn desired(&self) -> u32 {
        self.needed.max(self.floor_target)
    }

    fn target_total(&self) -> u32 {
        let held = self.floor + self.loaned;
        if let Some(cap) = self.cap {
            return held.min(cap.max(self.running));
        }
        let wanted = self.desired();
        if wanted <= held {
            let kept = if self.lendable == 0 { 0 } else { self.peak };
            return held.min(wanted.max(kept));
        }
        let claim = self.floor_target.saturating_sub(held).min(self.free);
        let rest = self.lendable.saturating_sub(claim).div_ceil(2);
        held + claim + rest.min(wanted - held - claim)
    }
}
