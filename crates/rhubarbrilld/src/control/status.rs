//! Status of a node for the operators' address.

use std::collections::BTreeMap;

use eyre::Result;
use rhubarbrill_core::fleet::{Fleet, WorkspaceKey};
use rhubarbrill_core::gate::Gate;
use rhubarbrill_core::maintenance::{Pause, Phase};

use super::Node;
use crate::operator::{Status, StatusSource, Wave, Workspace};

impl StatusSource for Node {
    fn is_live(&self) -> bool {
        true
    }

    fn is_ready(&self) -> bool {
        !self.is_draining() && self.versions().0 > 0
    }

    fn status(&self) -> Status {
        let now = self.engine().clock().now();
        let (revision, ledger) = self.versions();
        let member = self.member();
        let current = self.revision();
        Status {
            entry: member.entry.clone(),
            zone: member.zone.clone(),
            incarnation: member.incarnation,
            revision,
            ledger,
            store_reachable: self.store_reachable(),
            relay: self.is_relay(),
            draining: self.is_draining(),
            open: self.engine().read(|gate, _| gate.len()),
            peers: self.roster(|roster| {
                roster
                    .live(now)
                    .map(|peer| peer.member.entry.clone())
                    .collect()
            }),
            workspaces: self
                .engine()
                .read(|gate, _| workspaces(&current.fleet, gate)),
            waves: self
                .with_applied(|applied| applied.ledger().waves().map(wave).collect()),
        }
    }

    fn metrics(&self) -> Result<String> {
        Self::metrics(self).render()
    }
}

fn workspaces(fleet: &Fleet, gate: &Gate) -> Vec<Workspace> {
    let mut waiting: BTreeMap<WorkspaceKey, u32> = BTreeMap::new();
    for usage in gate.usage() {
        *waiting.entry(usage.workspace).or_default() += usage.waiting;
    }
    let row = |(key, name, workspace): (
        WorkspaceKey,
        &str,
        &rhubarbrill_core::fleet::Workspace,
    )| Workspace {
        name: name.to_owned(),
        running: gate.holder().running(key),
        waiting: waiting.get(&key).copied().unwrap_or(0),
        share: workspace.share,
        limit: workspace.limit,
        floor: gate.holder().units(key).floor,
        loan: gate.holder().units(key).loaned,
    };
    fleet.workspaces.iter().map(row).collect()
}

fn wave((name, wave): (&str, &rhubarbrill_core::maintenance::Wave)) -> Wave {
    Wave {
        name: name.to_owned(),
        state: match wave.phase {
            Phase::Running => "running",
            Phase::Paused(Pause::Budget) => "paused by budgets",
            Phase::Paused(Pause::Operator) => "paused by an operator",
            Phase::Done => "done",
        },
        done: wave.finished as usize,
        total: wave.finished as usize + wave.remaining(),
    }
}
