//! Applies commands to the ledger, with the checks of generations, reasons, drain
//! evidence and budgets.

use super::budget::Charge;
use super::command::{Command, Decision};
use super::ledger::Ledger;
use super::record::{Reason, Record, Step};
use super::refusal::Refusal;
use super::transition::{self, Transition};
use super::wave::{Pause, Phase};
use crate::fleet::{Fleet, Host, HostKey};

impl Ledger {
    /// Applies a command whose sender read the ledger at generation `seen`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a budget, the step of the host, missing drain evidence or
    /// the state of its wave doesn't allow the change, or if the sender, this copy of the
    /// ledger or the declarations are out of date. The ledger is then left unchanged.
    pub fn apply(
        &mut self,
        fleet: &Fleet,
        seen: u64,
        command: &Command,
    ) -> Result<Decision, Refusal> {
        if seen > self.generation {
            let have = self.generation;
            return Err(Refusal::StaleLedger { seen, have });
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
        self.update_wave_phases(fleet);
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
        if next == Ok(Transition::Unchanged) {
            return Ok(false);
        }
        self.check_generation(name, seen)?;
        let next = next?;
        self.check_reason(fleet, command, key)?;
        self.check_evidence(fleet, command, key)?;
        if let Transition::Update(after) = &next {
            self.check_budget(fleet, command, key, after)?;
        }
        self.write(declared, name, command, next);
        Ok(true)
    }

    /// Refuses a command whose sender read the ledger before the host last changed.
    ///
    /// A host that isn't listed has no record to compare with, so the generation of the
    /// last removal of any host from the list is used in its place.
    fn check_generation(&self, name: &str, seen: u64) -> Result<(), Refusal> {
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
                Err(Refusal::AlreadyOutOfService)
            }
        }
    }

    /// Refuses to drain a host for a wave that is paused by an operator or done, or in
    /// which the host isn't pending.
    ///
    /// A wave that is paused by budgets passes: the budget check decides on its hosts,
    /// since draining a failed host takes nothing more from the budgets.
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
        let drain_grace_period = self.drain_grace_period(fleet, key);
        evidence
            .check(since, zone.unwrap_or_default(), drain_grace_period)
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
        if !starts && charge.not_in(before).next().is_none() {
            return Ok(());
        }
        let budget_usage = self.budget_usage(fleet);
        if let Some(pool) = charge.pools().find(|&pool| budget_usage.is_exceeded(pool)) {
            let name = fleet.pools.name(pool).unwrap_or_default();
            return Err(Refusal::BudgetExceeded(name.to_owned()));
        }
        charge
            .not_in(before)
            .try_for_each(|pool| budget_usage.check(fleet, pool, key))
    }

    fn charge(&self, fleet: &Fleet, key: HostKey, host: &Host) -> Charge {
        let name = fleet.hosts.name(key).unwrap_or_default();
        self.hosts
            .get(name)
            .map_or_else(Charge::default, |record| Charge::of(fleet, host, record))
    }

    fn write(&mut self, declared: &str, name: &str, command: &Command, next: Transition) {
        let generation = self.generation + 1;
        match next {
            Transition::Unchanged => {}
            Transition::Update(record) => {
                let changed = generation;
                let record = Record { changed, ..record };
                self.hosts.insert(name.to_owned(), record);
            }
            Transition::Serve(record) => {
                if matches!(command, Command::ResumeService { .. }) {
                    self.complete_in_wave(&record, name);
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

    fn complete_in_wave(&mut self, record: &Record, host: &str) {
        let wave = record.wave().and_then(|name| self.waves.get_mut(name));
        if let Some(wave) = wave {
            wave.finish(host);
        }
    }
}
