//! Applying commands: freshness, budgets, evidence and waves.

use super::budget::Charge;
use super::command::{Command, Decision};
use super::ledger::Ledger;
use super::record::{Reason, Record, Step};
use super::refusal::Refusal;
use super::transition::{self, Next};
use super::wave::{Pause, Phase};
use crate::fleet::{Fleet, Host, HostKey};

impl Ledger {
    /// Applies a command of a sender that decided on it at generation `seen`.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] when a budget, the host's step or the sender's age doesn't
    /// allow the change; the ledger is then as before.
    pub fn apply(
        &mut self,
        fleet: &Fleet,
        seen: u64,
        command: &Command,
    ) -> Result<Decision, Refusal> {
        if seen > self.generation {
            let have = self.generation;
            return Err(Refusal::StaleCopy { seen, have });
        }
        if fleet.revision < self.fleet_revision {
            return Err(Refusal::StaleFleet {
                have: fleet.revision,
                need: self.fleet_revision,
            });
        }
        let changed = match command.host() {
            Some(host) => self.apply_to_host(fleet, seen, command, host)?,
            None => self.apply_to_waves(fleet, command)?,
        };
        if !changed {
            return Ok(Decision::Unchanged);
        }
        self.generation += 1;
        self.fleet_revision = fleet.revision;
        self.settle_waves(fleet);
        Ok(Decision::Changed(self.generation))
    }

    fn apply_to_host(
        &mut self,
        fleet: &Fleet,
        seen: u64,
        command: &Command,
        name: &str,
    ) -> Result<bool, Refusal> {
        let unknown = || Refusal::UnknownHost(name.to_owned());
        let key = fleet.hosts.find(name).ok_or_else(unknown)?;
        let host = fleet.hosts.get(key).ok_or_else(unknown)?;
        let declared = fleet.pools.name(host.pool).unwrap_or_default();
        let record = self.hosts.get(name);
        let next = transition::next(command, record, declared, self.generation + 1);
        if next == Ok(Next::Keep) {
            return Ok(false);
        }
        self.check_fresh(name, seen)?;
        let next = next?;
        self.check_reason(fleet, command, key)?;
        self.check_evidence(fleet, command, key)?;
        if let Next::Put(after) = &next {
            self.check_budget(fleet, command, key, after)?;
        }
        self.write(declared, name, command, next);
        Ok(true)
    }

    /// Refuses a sender that decided before the host last changed.
    ///
    /// A host that isn't listed has no record to compare with, so the last time that any
    /// host was taken off the list stands for it.
    fn check_fresh(&self, name: &str, seen: u64) -> Result<(), Refusal> {
        let record = self.hosts.get(name);
        let changed = record.map_or(self.last_removal, |record| record.changed);
        if seen < changed {
            return Err(Refusal::StaleGeneration { seen, changed });
        }
        Ok(())
    }

    fn check_reason(
        &self,
        fleet: &Fleet,
        command: &Command,
        key: HostKey,
    ) -> Result<(), Refusal> {
        let Command::BeginDrain { host, reason } = command else {
            return Ok(());
        };
        match reason {
            Reason::Wave { wave } => self.check_wave(wave, host),
            Reason::Move { to } => self.check_target(fleet, to, key),
            Reason::Cancelled | Reason::Failure | Reason::PlatformLeaving => {
                Err(Refusal::AlreadyOut)
            }
        }
    }

    /// Refuses a host that its wave doesn't ask for now. A wave that budgets hold up is
    /// left to the budgets, since a failed host may join it at no cost to them.
    fn check_wave(&self, name: &str, host: &str) -> Result<(), Refusal> {
        let unknown = || Refusal::UnknownWave(name.to_owned());
        let wave = self.waves.get(name).ok_or_else(unknown)?;
        match wave.phase {
            Phase::Running | Phase::Paused(Pause::Budget) => {}
            Phase::Done | Phase::Paused(Pause::Operator) => {
                return Err(Refusal::WaveNotRunning(name.to_owned()));
            }
        }
        if !wave.is_pending(host) {
            return Err(Refusal::NotInWave(name.to_owned()));
        }
        Ok(())
    }

    fn check_target(&self, fleet: &Fleet, to: &str, key: HostKey) -> Result<(), Refusal> {
        let target = fleet.pools.find(to);
        let target = target.ok_or_else(|| Refusal::UnknownPool(to.to_owned()))?;
        if self.pool(fleet, key) == Some(target) {
            return Err(Refusal::SamePool(to.to_owned()));
        }
        Ok(())
    }

    fn check_evidence(
        &self,
        fleet: &Fleet,
        command: &Command,
        key: HostKey,
    ) -> Result<(), Refusal> {
        let Command::ConfirmDrained { host, evidence } = command else {
            return Ok(());
        };
        let Some(since) = self.leaving_since(host) else {
            return Ok(());
        };
        let zone = fleet.hosts.get(key).map(|host| host.zone);
        let zone = zone.and_then(|zone| fleet.zones.name(zone));
        let outwait = self.outwait(fleet, key);
        evidence
            .check(since, zone.unwrap_or_default(), outwait)
            .map_err(Refusal::NotDrained)
    }

    fn check_budget(
        &self,
        fleet: &Fleet,
        command: &Command,
        key: HostKey,
        after: &Record,
    ) -> Result<(), Refusal> {
        if matches!(
            command,
            Command::MarkFailed { .. } | Command::MarkLeaving { .. }
        ) {
            return Ok(());
        }
        let Some(host) = fleet.hosts.get(key) else {
            return Ok(());
        };
        let before = self.charge(fleet, key, host);
        let charge = Charge::of(fleet, host, after);
        let starts = matches!(command, Command::BeginDrain { .. });
        if !starts && charge.beyond(before).next().is_none() {
            return Ok(());
        }
        let budget_usage = self.budget_usage(fleet);
        if let Some(pool) = charge.pools().find(|&pool| budget_usage.is_overdrawn(pool)) {
            let name = fleet.pools.name(pool).unwrap_or_default();
            return Err(Refusal::Overdrawn(name.to_owned()));
        }
        charge
            .beyond(before)
            .try_for_each(|pool| budget_usage.check(fleet, pool, key))
    }

    fn charge(&self, fleet: &Fleet, key: HostKey, host: &Host) -> Charge {
        let name = fleet.hosts.name(key).unwrap_or_default();
        self.hosts
            .get(name)
            .map_or_else(Charge::default, |record| Charge::of(fleet, host, record))
    }

    fn write(&mut self, declared: &str, name: &str, command: &Command, next: Next) {
        let generation = self.generation + 1;
        match next {
            Next::Keep => {}
            Next::Put(record) => {
                let changed = generation;
                let record = Record { changed, ..record };
                self.hosts.insert(name.to_owned(), record);
            }
            Next::Serve(record) => {
                if matches!(command, Command::ResumeService { .. }) {
                    self.finish_in_wave(&record, name);
                }
                self.serve(declared, name, record, generation);
            }
        }
    }

    fn serve(&mut self, declared: &str, name: &str, record: Record, generation: u64) {
        if record.pool == declared {
            self.hosts.remove(name);
            self.last_removal = generation;
            return;
        }
        let to = record.pool.clone();
        let serving = Record {
            step: Step::Serving,
            reason: Reason::Move { to },
            arriving: false,
            changed: generation,
            ..record
        };
        self.hosts.insert(name.to_owned(), serving);
    }

    fn finish_in_wave(&mut self, record: &Record, host: &str) {
        let wave = record.wave().and_then(|name| self.waves.get_mut(name));
        if let Some(wave) = wave {
            wave.finish(host);
        }
    }
}
