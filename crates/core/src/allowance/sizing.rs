//! How many units an entry host should hold of one workspace.

use std::time::Duration;

use super::Command;
use crate::time::Instant;

/// The most units that were needed lately; falls only after a hold time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    peak: u32,
    seen: Instant,
}

impl Usage {
    /// Records what is needed at `now` and returns the peak of the hold time.
    pub(super) fn peak(&mut self, needed: u32, now: Instant, hold: Duration) -> u32 {
        if needed >= self.peak || now.saturating_since(self.seen) >= hold {
            self.peak = needed;
            self.seen = now;
        }
        self.peak
    }
}

/// One workspace at one entry host, as its units are sized.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    /// Units recorded as floor.
    pub floor: u32,
    /// Units recorded as loan.
    pub loaned: u32,
    /// Floor that the configuration divides to the entry host.
    pub floor_target: u32,
    /// Units occupied.
    pub running: u32,
    /// Units occupied or waited for.
    pub needed: u32,
    /// The most that was needed lately.
    pub peak: u32,
    /// Units that nobody holds.
    pub free: u32,
    /// Free units that are no other entry host's floor.
    pub lendable: u32,
    /// Most units to keep while more is held than the declared limit.
    pub cap: Option<u32>,
    /// Whether units may be borrowed now.
    pub certain: bool,
}

impl Position {
    /// Returns the commands that bring the workspace's units to what they should be.
    pub(super) fn commands(&self, workspace: &str) -> Vec<Command> {
        let (floor, loaned) = self.aim();
        let mut commands = Vec::new();
        let mut push = |from: u32, to: u32, command: fn(String, u32) -> Command| {
            if to > from {
                commands.push(command(workspace.to_owned(), to - from));
            }
        };
        push(loaned, self.loaned, |workspace, units| Command::GiveBack {
            workspace,
            units,
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

    /// Returns the floor and the loan to aim for.
    fn aim(&self) -> (u32, u32) {
        let total = self.total();
        if self.cap.is_some() {
            let floor = total.min(self.floor);
            return (floor, total - floor);
        }
        let floor = total.min(self.floor_target);
        let loaned = total - floor;
        if self.certain || loaned <= self.loaned {
            return (floor, loaned);
        }
        (floor.max(self.floor), self.loaned)
    }

    /// Returns the units to have now; what was needed lately is kept and not borrowed.
    pub(super) fn wanted(&self) -> u32 {
        self.needed.max(self.floor_target)
    }

    fn total(&self) -> u32 {
        let held = self.floor + self.loaned;
        if let Some(cap) = self.cap {
            return held.min(cap.max(self.running));
        }
        let wanted = self.wanted();
        if wanted <= held {
            let kept = if self.lendable == 0 { 0 } else { self.peak };
            return held.min(wanted.max(kept));
        }
        let claim = self.floor_target.saturating_sub(held).min(self.free);
        let rest = self.lendable.saturating_sub(claim).div_ceil(2);
        held + claim + rest.min(wanted - held - claim)
    }
}
