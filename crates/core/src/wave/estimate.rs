//! Estimated durations of the steps of an outage.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::fleet::HostKey;

/// Estimated durations of the steps of an outage: drain, reboot, probe and repair.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use rhubarbrill_core::fleet::HostKey;
/// use rhubarbrill_core::wave::Estimate;
///
/// let estimate = Estimate::default().with_reboot(Duration::from_secs(300));
/// let host = HostKey::default();
/// assert_eq!(estimate.outage(host), estimate.drain(host) + estimate.restart());
/// assert_eq!(estimate.restart(), Duration::from_secs(300) + estimate.probe());
/// ```
#[derive(Clone, Debug)]
pub struct Estimate {
    drains: SecondaryMap<HostKey, Duration>,
    drain: Duration,
    reboot: Duration,
    probe: Duration,
    repair: Duration,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            drains: SecondaryMap::new(),
            drain: Duration::from_secs(60),
            reboot: Duration::from_secs(240),
            probe: Duration::from_secs(5),
            repair: Duration::from_secs(3_600),
        }
    }
}

impl Estimate {
    /// Sets the drain duration of hosts without a value of their own. The default is 60
    /// seconds.
    #[must_use]
    pub fn with_drain(self, drain: Duration) -> Self {
        Self { drain, ..self }
    }

    /// Sets the time from the end of the drain until the host is up again. The default is
    /// 240 seconds.
    #[must_use]
    pub fn with_reboot(self, reboot: Duration) -> Self {
        Self { reboot, ..self }
    }

    /// Sets the time for which a host that is up again is probed before it serves. The
    /// default is 5 seconds.
    #[must_use]
    pub fn with_probe(self, probe: Duration) -> Self {
        Self { probe, ..self }
    }

    /// Sets the time after which a failed host serves again. The default is one hour.
    #[must_use]
    pub fn with_repair(self, repair: Duration) -> Self {
        Self { repair, ..self }
    }

    /// Sets the drain duration of one host.
    pub fn set_drain(&mut self, host: HostKey, drain: Duration) {
        self.drains.insert(host, drain);
    }

    /// Returns the drain duration of a host: from the start of the drain until no work
    /// runs on it.
    pub fn drain(&self, host: HostKey) -> Duration {
        self.drains.get(host).copied().unwrap_or(self.drain)
    }

    /// Returns the time from the end of the drain until the host serves again.
    pub fn restart(&self) -> Duration {
        self.reboot + self.probe
    }

    /// Returns the time for which a host that is up again is probed before it serves.
    pub const fn probe(&self) -> Duration {
        self.probe
    }

    /// Returns the time after which a failed host serves again.
    pub const fn repair(&self) -> Duration {
        self.repair
    }

    /// Returns the time from the start of the drain until the host serves again.
    pub fn outage(&self, host: HostKey) -> Duration {
        self.drain(host) + self.restart()
    }
}
