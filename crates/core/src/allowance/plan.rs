//! Plans the commands of one swap of an allowance record.

use std::collections::BTreeMap;
use std::time::Duration;

use super::allocator::PlanInput;
use super::holder::Epoch;
use super::record::{FloorOwnership, Pending, RecordState, cap};
use super::sizing::SizingInput;
use super::{
    AllowanceSettings, Command, Declaration, FloorDivision, Holder, Ledger, Limit, Shard,
};
use crate::fleet::{Fleet, WorkspaceKey};
use crate::member::Member;

/// The read-only inputs of a plan.
#[derive(Clone, Copy, Debug)]
pub(super) struct Context<'a> {
    pub(super) member: &'a Member,
    pub(super) settings: &'a AllowanceSettings,
    pub(super) workspaces: &'a BTreeMap<String, WorkspaceKey>,
    pub(super) stopping: bool,
    pub(super) input: PlanInput<'a>,
    pub(super) holder: &'a Holder,
}

/// A ledger under construction, and the commands applied to it.
#[derive(Clone, Debug)]
struct SwapBuilder<'a> {
    member: &'a Member,
    ledger: Ledger,
    commands: Vec<Command>,
}

impl SwapBuilder<'_> {
    /// Applies a command, or drops it when the ledger rejects it.
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
    /// Returns the swap to send, or `None` when nothing needs to change.
    pub(super) fn plan(&self, shard: Shard, record: &mut RecordState) -> Option<Pending> {
        let mut builder = SwapBuilder {
            member: self.member,
            ledger: record.ledger.clone(),
            commands: Vec::new(),
        };
        let declared = self.declare(shard, record, &mut builder);
        self.adopt_or_release_floors(shard, record, &mut builder);
        for evidence in record
            .expired_borrowers
            .reclaimable(self.input.now, self.settings.reuse_delay())
        {
            builder.apply(Command::Reclaim(evidence));
        }
        self.size_workspaces(record, &mut builder);
        let epoch = self.holder.epoch(self.input.now);
        self.confirm_loans(record, epoch, &mut builder);
        let idle = builder.commands.is_empty() && !declared && !record.unresolved;
        (!idle).then(|| self.pending(record, epoch, builder))
    }

    /// Updates the limits in the ledger, and returns whether that alone needs a swap.
    fn declare(
        &self,
        shard: Shard,
        record: &mut RecordState,
        builder: &mut SwapBuilder<'a>,
    ) -> bool {
        let declaration = declaration(shard, self.input.fleet);
        let RecordState { limits, ledger, .. } = record;
        let needed = limits.update(&declaration.limits, declaration.revision, ledger);
        let command = Command::Declare(declaration);
        builder.ledger.apply(self.member, &command).is_ok() && needed
    }

    /// Adopts the floors of the entry host, or releases them when the process shuts down
    /// and no work runs.
    fn adopt_or_release_floors(
        &self,
        shard: Shard,
        record: &mut RecordState,
        builder: &mut SwapBuilder<'a>,
    ) {
        if !self.stopping {
            if record.ownership == FloorOwnership::NotAdopted {
                builder.apply(Command::Adopt);
            }
            return;
        }
        let mut workspaces = self
            .workspaces
            .iter()
            .filter(|(name, _)| Shard::of(name) == shard);
        if workspaces.all(|(_, &key)| self.holder.running(key) == 0) {
            record.ownership = FloorOwnership::Relinquished;
            builder.apply(Command::Release);
        }
    }

    fn size_workspaces(&self, record: &mut RecordState, builder: &mut SwapBuilder<'a>) {
        let division = self.division(&builder.ledger);
        let workspaces: Vec<String> =
            builder.ledger.workspaces().map(str::to_owned).collect();
        record.below_demand = false;
        for workspace in workspaces {
            match self.workspaces.get(&workspace) {
                Some(&key) => {
                    let sizing =
                        self.sizing_input(key, &workspace, &division, record, builder);
                    builder.apply_all(sizing.commands(&workspace));
                    let units =
                        record.grant(&builder.ledger, &workspace, self.member).units;
                    record.below_demand |= sizing.desired() > units.floor + units.loaned;
                }
                None => builder.apply_all(self.release_removed_workspace(
                    &workspace,
                    record,
                    &builder.ledger,
                )),
            }
        }
    }

    fn division(&self, ledger: &Ledger) -> FloorDivision {
        let mut division = FloorDivision::default();
        ledger.add_entry_hosts_to(&mut division);
        for member in &self.input.membership.members {
            division.add(&member.zone, &member.entry);
        }
        division
    }

    fn sizing_input(
        &self,
        key: WorkspaceKey,
        workspace: &str,
        division: &FloorDivision,
        record: &mut RecordState,
        builder: &SwapBuilder<'a>,
    ) -> SizingInput {
        let ledger = &builder.ledger;
        let now = self.input.now;
        let units = record.grant(ledger, workspace, self.member).units;
        let owner = record.owns_floors(now);
        let draining = self.stopping || record.ownership == FloorOwnership::Relinquished;
        let floor = if owner { units.floor } else { 0 };
        let floor_target = match (owner, draining) {
            (false, _) => 0,
            (true, true) => floor,
            (true, false) => {
                let units = self.floor_units(ledger.target(workspace));
                division.floor(workspace, units, &self.member.entry)
            }
        };
        let running = self.holder.running(key);
        let waiting = self.input.demand.waiting(key);
        let needed = running + if draining { 0 } else { waiting };
        let peak_demand = record.peak_demand.entry(workspace.to_owned()).or_default();
        SizingInput {
            floor,
            loaned: units.loaned,
            floor_target,
            running,
            needed,
            peak: peak_demand.peak(needed, now, self.settings.hold_time),
            free: if draining { 0 } else { ledger.free(workspace) },
            lendable: if draining {
                0
            } else {
                self.lendable(ledger, workspace, division)
            },
            cap: cap(ledger, workspace, floor + units.loaned),
            can_borrow: self.holder.epoch(now).is_some(),
        }
    }

    /// Returns the number of units of a limit that are divided into floors.
    fn floor_units(&self, limit: u32) -> u32 {
        let units = u64::from(limit) * u64::from(self.settings.floor_percent) / 100;
        u32::try_from(units).unwrap_or(limit)
    }

    /// Returns the free units that remain after the other entry hosts have claimed their
    /// floors.
    fn lendable(
        &self,
        ledger: &Ledger,
        workspace: &str,
        division: &FloorDivision,
    ) -> u32 {
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

    /// Returns the commands that return the units of a removed workspace.
    ///
    /// There are none until the work of the workspace must have ended, nor while the
    /// ledger has a newer configuration revision than this entry host.
    fn release_removed_workspace(
        &self,
        workspace: &str,
        record: &RecordState,
        ledger: &Ledger,
    ) -> Vec<Command> {
        let now = self.input.now;
        let elapsed = record
            .removed
            .get(workspace)
            .is_some_and(|&at| now.saturating_since(at) >= self.settings.reuse_delay());
        let lagging = self.input.fleet.revision < ledger.revision();
        if !elapsed || lagging {
            return Vec::new();
        }
        let units = record.grant(ledger, workspace, self.member).units;
        let floor = if record.owns_floors(now) {
            units.floor
        } else {
            0
        };
        let sizing = SizingInput {
            floor,
            loaned: units.loaned,
            floor_target: 0,
            running: 0,
            needed: 0,
            peak: 0,
            free: 0,
            lendable: 0,
            cap: Some(0),
            can_borrow: false,
        };
        sizing.commands(workspace)
    }

    /// Confirms the loans in a new epoch, unless another command of the swap does so.
    fn confirm_loans(
        &self,
        record: &RecordState,
        epoch: Option<Epoch>,
        builder: &mut SwapBuilder<'a>,
    ) {
        let borrows = builder.commands.iter().any(confirms_loans);
        let stale = epoch.is_some() && epoch != record.confirmed;
        let holds = self.workspaces.keys().any(|workspace| {
            let holding = builder.ledger.holding(workspace, &self.member.entry);
            holding.is_some_and(|holding| holding.loan(self.member.incarnation) > 0)
        });
        if stale && holds && !borrows {
            builder.apply(Command::ConfirmLoans);
        }
    }

    fn pending(
        &self,
        record: &RecordState,
        epoch: Option<Epoch>,
        builder: SwapBuilder<'a>,
    ) -> Pending {
        Pending {
            epoch: epoch.filter(|_| builder.commands.iter().any(confirms_loans)),
            floor_delay: builder
                .commands
                .contains(&Command::Adopt)
                .then(|| self.adoption_delay(record)),
            ledger: builder.ledger,
            started: self.input.now,
        }
    }

    fn adoption_delay(&self, record: &RecordState) -> Duration {
        match record.ledger.owner(&self.member.entry) {
            Some(_) => self.settings.reuse_delay(),
            None => Duration::ZERO,
        }
    }
}

const fn confirms_loans(command: &Command) -> bool {
    matches!(command, Command::Borrow { .. } | Command::ConfirmLoans)
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
