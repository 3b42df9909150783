//! Puts together the commands of one swap.

use std::collections::BTreeMap;
use std::time::Duration;

use super::allocator::PlanInput;
use super::holder::Epoch;
use super::page::{Page, Pending, Standing, cap};
use super::sizing::Position;
use super::{
    AllowanceSettings, Command, Declaration, Division, Holder, Ledger, Limit, Shard,
};
use crate::fleet::{Fleet, WorkspaceKey};
use crate::member::Member;

/// All that a plan reads but doesn't change.
#[derive(Clone, Copy, Debug)]
pub(super) struct Context<'a> {
    pub(super) member: &'a Member,
    pub(super) settings: &'a AllowanceSettings,
    pub(super) names: &'a BTreeMap<String, WorkspaceKey>,
    pub(super) stopping: bool,
    pub(super) input: PlanInput<'a>,
    pub(super) holder: &'a Holder,
}

/// A ledger and the commands that made it.
#[derive(Clone, Debug)]
struct Work<'a> {
    member: &'a Member,
    ledger: Ledger,
    commands: Vec<Command>,
}

impl Work<'_> {
    /// Carries out a command, or drops it when the ledger refuses.
    fn apply(&mut self, command: Command) {
        if self.ledger.apply(self.member, &command).is_ok() {
            self.commands.push(command);
        }
    }

    fn apply_all(&mut self, commands: Vec<Command>) {
        for command in commands {
            self.apply(command);
        }
    }
}

impl<'a> Context<'a> {
    /// Returns the swap to send, or `None` when nothing should change.
    pub(super) fn plan(&self, shard: Shard, page: &mut Page) -> Option<Pending> {
        let mut work = Work {
            member: self.member,
            ledger: page.ledger.clone(),
            commands: Vec::new(),
        };
        let declared = self.declare(shard, page, &mut work);
        self.take_office(shard, page, &mut work);
        for evidence in page.lapses.matured(self.input.now, self.settings.outwait()) {
            work.apply(Command::TakeBack(evidence));
        }
        self.size_workspaces(page, &mut work);
        let epoch = self.holder.epoch(self.input.now);
        self.reassert(page, epoch, &mut work);
        let idle = work.commands.is_empty() && !declared && !page.unresolved;
        (!idle).then(|| self.pending(page, epoch, work))
    }

    /// Brings the limits up to date in passing; returns whether that alone needs a swap.
    fn declare(&self, shard: Shard, page: &mut Page, work: &mut Work<'a>) -> bool {
        let declaration = declaration(shard, self.input.fleet);
        let Page { limits, ledger, .. } = page;
        let needed = limits.note(&declaration.limits, declaration.revision, ledger);
        let command = Command::Declare(declaration);
        work.ledger.apply(self.member, &command).is_ok() && needed
    }

    /// Adopts the floors of the entry host, or releases them when the process ends.
    fn take_office(&self, shard: Shard, page: &mut Page, work: &mut Work<'a>) {
        if !self.stopping {
            if page.standing == Standing::Candidate {
                work.apply(Command::Adopt);
            }
            return;
        }
        let mut workspaces = self
            .names
            .iter()
            .filter(|(name, _)| Shard::of(name) == shard);
        if workspaces.all(|(_, &key)| self.holder.running(key) == 0) {
            page.standing = Standing::Left;
            work.apply(Command::Release);
        }
    }

    fn size_workspaces(&self, page: &mut Page, work: &mut Work<'a>) {
        let division = self.division(&work.ledger);
        let workspaces: Vec<String> =
            work.ledger.workspaces().map(str::to_owned).collect();
        page.short = false;
        for workspace in workspaces {
            match self.names.get(&workspace) {
                Some(&key) => {
                    let position = self.position(key, &workspace, &division, page, work);
                    work.apply_all(position.commands(&workspace));
                    let units = page.grant(&work.ledger, &workspace, self.member).units;
                    page.short |= position.wanted() > units.floor + units.loaned;
                }
                None => work.apply_all(self.give_up(&workspace, page, &work.ledger)),
            }
        }
    }

    fn division(&self, ledger: &Ledger) -> Division {
        let mut division = Division::default();
        ledger.divide(&mut division);
        for member in &self.input.membership.members {
            division.add(&member.zone, &member.entry);
        }
        division
    }

    fn position(
        &self,
        key: WorkspaceKey,
        workspace: &str,
        division: &Division,
        page: &mut Page,
        work: &Work<'a>,
    ) -> Position {
        let ledger = &work.ledger;
        let now = self.input.now;
        let units = page.grant(ledger, workspace, self.member).units;
        let owner = page.owns(now);
        let winding_down = self.stopping || page.standing == Standing::Left;
        let floor = if owner { units.floor } else { 0 };
        let floor_target = match (owner, winding_down) {
            (false, _) => 0,
            (true, true) => floor,
            (true, false) => {
                let units = self.floor_units(ledger.target(workspace));
                division.floor(workspace, units, &self.member.entry)
            }
        };
        let running = self.holder.running(key);
        let waiting = self.input.demand.waiting(key);
        let needed = running + if winding_down { 0 } else { waiting };
        let usage = page.usage.entry(workspace.to_owned()).or_default();
        Position {
            floor,
            loaned: units.loaned,
            floor_target,
            running,
            needed,
            peak: usage.peak(needed, now, self.settings.hold),
            free: if winding_down {
                0
            } else {
                ledger.free(workspace)
            },
            lendable: if winding_down {
                0
            } else {
                self.lendable(ledger, workspace, division)
            },
            cap: cap(ledger, workspace, floor + units.loaned),
            certain: self.holder.epoch(now).is_some(),
        }
    }

    /// Returns the part of a limit that is divided into floors.
    fn floor_units(&self, limit: u32) -> u32 {
        let units = u64::from(limit) * u64::from(self.settings.floor_percent) / 100;
        u32::try_from(units).unwrap_or(limit)
    }

    /// Returns the free units that are left once the others have claimed their floors.
    fn lendable(&self, ledger: &Ledger, workspace: &str, division: &Division) -> u32 {
        let units = self.floor_units(ledger.target(workspace));
        let others = division.floors(workspace, units);
        let unclaimed = others.filter(|&(name, _)| name != self.member.entry).map(
            |(entry, target)| {
                let holding = ledger.holding(workspace, entry);
                target.saturating_sub(holding.map_or(0, |holding| holding.floor))
            },
        );
        ledger.free(workspace).saturating_sub(unclaimed.sum())
    }

    /// Returns the units of a workspace that was removed, once its work must have ended.
    fn give_up(&self, workspace: &str, page: &Page, ledger: &Ledger) -> Vec<Command> {
        let now = self.input.now;
        let outwaited = page
            .removed
            .get(workspace)
            .is_some_and(|&at| now.saturating_since(at) >= self.settings.outwait());
        let lagging = self.input.fleet.revision < ledger.revision();
        if !outwaited || lagging {
            return Vec::new();
        }
        let units = page.grant(ledger, workspace, self.member).units;
        let floor = if page.owns(now) { units.floor } else { 0 };
        let position = Position {
            floor,
            loaned: units.loaned,
            floor_target: 0,
            running: 0,
            needed: 0,
            peak: 0,
            free: 0,
            lendable: 0,
            cap: Some(0),
            certain: false,
        };
        position.commands(workspace)
    }

    /// Confirms loans in a new epoch, unless the swap does so already.
    fn reassert(&self, page: &Page, epoch: Option<Epoch>, work: &mut Work<'a>) {
        let borrows = work.commands.iter().any(confirms);
        let stale = epoch.is_some() && epoch != page.confirmed;
        let holds = self.names.keys().any(|workspace| {
            let holding = work.ledger.holding(workspace, &self.member.entry);
            holding.is_some_and(|holding| holding.loan(self.member.incarnation) > 0)
        });
        if stale && holds && !borrows {
            work.apply(Command::Reassert);
        }
    }

    fn pending(&self, page: &Page, epoch: Option<Epoch>, work: Work<'a>) -> Pending {
        Pending {
            epoch: epoch.filter(|_| work.commands.iter().any(confirms)),
            outwait: work
                .commands
                .contains(&Command::Adopt)
                .then(|| self.outwait_of_predecessor(page)),
            ledger: work.ledger,
            started: self.input.now,
        }
    }

    fn outwait_of_predecessor(&self, page: &Page) -> Duration {
        match page.ledger.owner(&self.member.entry) {
            Some(_) => self.settings.outwait(),
            None => Duration::ZERO,
        }
    }
}

const fn confirms(command: &Command) -> bool {
    matches!(command, Command::Borrow { .. } | Command::Reassert)
}

fn declaration(shard: Shard, fleet: &Fleet) -> Declaration {
    let workspaces = fleet.workspaces.iter();
    Declaration {
        revision: fleet.revision,
        limits: workspaces
            .filter(|(_, name, _)| Shard::of(name) == shard)
            .map(|(_, name, workspace)| Limit {
                workspace: name.to_owned(),
                units: workspace.limit,
            })
            .collect(),
    }
}
