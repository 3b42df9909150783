//! Applies commands on waves, and updates the phases of waves after each change.

use super::budget::BudgetUsage;
use super::command::Command;
use super::ledger::Ledger;
use super::record::Step;
use super::refusal::Refusal;
use super::wave::{Pause, Phase, Selection, Wave};
use crate::fleet::{Fleet, HostKey};
use crate::time::Timestamp;

/// The state of the pending hosts of a wave.
enum WaveProgress {
    /// No host is pending.
    Finished,
    /// Every pending host is already out of service.
    InProgress,
    /// Some pending host can be drained, now or after the wave's own outages end.
    Eligible,
    /// Unplanned outages or exceeded budgets block every host that waits to be drained.
    Blocked,
}

impl Ledger {
    /// Applies a command that concerns waves or the whole ledger, and returns whether the
    /// ledger changed.
    pub(super) fn apply_to_waves(
        &mut self,
        fleet: &Fleet,
        command: &Command,
    ) -> Result<bool, Refusal> {
        match command {
            Command::StartWave {
                wave,
                selection,
                finish_by,
            } => self.start_wave(fleet, wave, selection, *finish_by),
            Command::PauseWave { wave } => self.pause_wave(wave),
            Command::ResumeWave { wave } => self.resume_wave(wave),
            Command::ForgetWave { wave } => self.forget_wave(wave),
            _ => Ok(self.prune(fleet)),
        }
    }

    fn start_wave(
        &mut self,
        fleet: &Fleet,
        name: &str,
        selection: &Selection,
        finish_by: Option<Timestamp>,
    ) -> Result<bool, Refusal> {
        if let Some(wave) = self.waves.get(name) {
            let same = wave.selection == *selection && wave.finish_by == finish_by;
            if same && wave.phase != Phase::Done {
                return Ok(false);
            }
            return Err(Refusal::WaveExists(name.to_owned()));
        }
        check_selection(fleet, selection)?;
        let wave = Wave::new(fleet, selection.clone(), finish_by);
        if wave.pending.is_empty() {
            return Err(Refusal::EmptySelection);
        }
        self.waves.insert(name.to_owned(), wave);
        Ok(true)
    }

    fn pause_wave(&mut self, name: &str) -> Result<bool, Refusal> {
        let wave = self.unfinished_wave(name)?;
        let paused = Phase::Paused(Pause::Operator);
        let changes = wave.phase != paused;
        wave.phase = paused;
        Ok(changes)
    }

    fn resume_wave(&mut self, name: &str) -> Result<bool, Refusal> {
        let wave = self.unfinished_wave(name)?;
        let changes = wave.phase == Phase::Paused(Pause::Operator);
        if changes {
            wave.phase = Phase::Running;
        }
        Ok(changes)
    }

    fn unfinished_wave(&mut self, name: &str) -> Result<&mut Wave, Refusal> {
        match self.waves.get_mut(name) {
            None => Err(Refusal::UnknownWave(name.to_owned())),
            Some(wave) if wave.phase == Phase::Done => {
                Err(Refusal::WaveNotRunning(name.to_owned()))
            }
            Some(wave) => Ok(wave),
        }
    }

    fn forget_wave(&mut self, name: &str) -> Result<bool, Refusal> {
        match self.waves.get(name).map(|wave| wave.phase) {
            None => Ok(false),
            Some(Phase::Done) => {
                self.waves.remove(name);
                Ok(true)
            }
            Some(_) => Err(Refusal::WaveExists(name.to_owned())),
        }
    }

    /// Removes the records of hosts that are no longer declared, and of hosts that serve
    /// the pool that they are now declared for. Returns whether the ledger changed.
    fn prune(&mut self, fleet: &Fleet) -> bool {
        let before = self.clone();
        self.hosts.retain(|name, record| {
            let host = fleet.hosts.find(name).and_then(|key| fleet.hosts.get(key));
            let declared = host.and_then(|host| fleet.pools.name(host.pool));
            let is_home = declared == Some(record.pool.as_str());
            host.is_some() && !(is_home && record.step == Step::Serving)
        });
        if self.hosts.len() != before.hosts.len() {
            self.last_removal = self.generation + 1;
        }
        self.update_wave_phases(fleet);
        *self != before
    }

    /// Ends waves without pending hosts, and pauses or resumes waves as the budgets
    /// require.
    pub(super) fn update_wave_phases(&mut self, fleet: &Fleet) {
        if self.waves.values().all(|wave| wave.phase == Phase::Done) {
            return;
        }
        let budget_usage = self.budget_usage(fleet);
        let mut waves = std::mem::take(&mut self.waves);
        for wave in waves.values_mut().filter(|wave| wave.phase != Phase::Done) {
            self.update_wave_phase(fleet, &budget_usage, wave);
        }
        self.waves = waves;
    }

    fn update_wave_phase(
        &self,
        fleet: &Fleet,
        budget_usage: &BudgetUsage<'_>,
        wave: &mut Wave,
    ) {
        let budget_pause = Phase::Paused(Pause::Budget);
        match (self.progress(fleet, budget_usage, wave), wave.phase) {
            (WaveProgress::Finished, _) => wave.close(),
            (WaveProgress::Blocked, Phase::Running) => wave.phase = budget_pause,
            (WaveProgress::Eligible | WaveProgress::InProgress, phase)
                if phase == budget_pause =>
            {
                wave.phase = Phase::Running;
            }
            _ => {}
        }
    }

    fn progress(
        &self,
        fleet: &Fleet,
        budget_usage: &BudgetUsage<'_>,
        wave: &Wave,
    ) -> WaveProgress {
        let mut progress = WaveProgress::Finished;
        for (key, name) in wave.pending(fleet) {
            if self.is_under_way(name) {
                if matches!(progress, WaveProgress::Finished) {
                    progress = WaveProgress::InProgress;
                }
            } else if self.may_drain(fleet, budget_usage, key) {
                return WaveProgress::Eligible;
            } else {
                progress = WaveProgress::Blocked;
            }
        }
        progress
    }

    fn is_under_way(&self, host: &str) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|record| !record.may_drain())
    }

    fn may_drain(
        &self,
        fleet: &Fleet,
        budget_usage: &BudgetUsage<'_>,
        key: HostKey,
    ) -> bool {
        self.pool(fleet, key)
            .is_some_and(|pool| !budget_usage.is_exhausted(fleet, pool))
    }
}

fn check_selection(fleet: &Fleet, selection: &Selection) -> Result<(), Refusal> {
    match selection {
        Selection::Pool(pool) => match fleet.pools.find(pool) {
            Some(_) => Ok(()),
            None => Err(Refusal::UnknownPool(pool.clone())),
        },
        Selection::Hosts(hosts) => {
            match hosts.iter().find(|host| fleet.hosts.find(host).is_none()) {
                Some(host) => Err(Refusal::UnknownHost(host.clone())),
                None => Ok(()),
            }
        }
    }
}
