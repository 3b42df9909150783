//! Contents of the heartbeats that an entry host sends.

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::gate::Usage;
use rhubarbrill_core::maintenance::Ledger;
use rhubarbrill_peer::{Heartbeat, Load, ResidualLoad};

use super::{Node, lock};

impl Node {
    /// Returns a heartbeat with the state of this entry host and without loans.
    pub fn heartbeat(&self) -> Heartbeat {
        let now = self.engine().clock().now();
        let usage = self.engine().read(|gate, _| gate.usage());
        let applied = lock(&self.applied);
        let (fleet, ledger) = (applied.fleet(), applied.ledger());
        Heartbeat {
            member: self.member().clone(),
            address: self.address(),
            revision: fleet.revision,
            ledger: ledger.generation(),
            store_reachable: self.store_reachable(),
            draining: self.is_draining(),
            loads: usage
                .iter()
                .filter_map(|usage| load(fleet, usage))
                .collect(),
            residents: self.residents(fleet, ledger),
            ejected: self.ejected(fleet),
            ledger_age_ms: self.news_age_ms(),
            slots: Vec::new(),
            known: self
                .roster(|roster| roster.live(now).map(|peer| peer.address).collect()),
        }
    }

    /// Returns the requests of this entry host that still run on hosts which accept no
    /// work.
    fn residents(&self, fleet: &Fleet, ledger: &Ledger) -> Vec<ResidualLoad> {
        let leaving = ledger
            .records()
            .filter(|(_, record)| !record.step.accepts());
        let keys = leaving.filter_map(|(name, _)| Some((name, fleet.hosts.find(name)?)));
        self.engine().read(|gate, _| {
            keys.map(|(name, key)| ResidualLoad {
                host: name.into(),
                running: gate.running(key),
            })
            .filter(|resident| resident.running > 0)
            .collect()
        })
    }

    /// Returns the names of the hosts that this entry host has ejected because they fail.
    pub(in crate::control) fn ejected(&self, fleet: &Fleet) -> Vec<String> {
        self.engine().read(|gate, _| {
            gate.ejected()
                .filter_map(|key| fleet.hosts.name(key).map(str::to_owned))
                .collect()
        })
    }
}

fn load(fleet: &Fleet, usage: &Usage) -> Option<Load> {
    Some(Load {
        workspace: fleet.workspaces.name(usage.workspace)?.to_owned(),
        pool: fleet.pools.name(usage.pool)?.to_owned(),
        running: usage.running,
        waiting: usage.waiting,
        run_time_ms: usage
            .run_time
            .and_then(|run_time| u64::try_from(run_time.as_millis()).ok()),
    })
}
