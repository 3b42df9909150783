//! Actual durations of maintenance steps, and injected faults.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rhubarbrill_core::fleet::{Fleet, HostKey};
use rhubarbrill_core::wave::Estimate;
use slotmap::SecondaryMap;

/// Duration of the probe that precedes a host's return to service.
pub(super) const PROBE_DURATION: Duration = Duration::from_secs(5);
/// Estimated duration of a reboot; the actual one differs by up to 20%.
const REBOOT_DURATION: Duration = Duration::from_secs(240);
/// Mean of the exponential distribution from which drain durations are drawn.
const MEAN_DRAIN_SECS: f64 = 90.0;
const MIN_DRAIN_SECS: f64 = 4.0;
const MAX_DRAIN_SECS: f64 = 900.0;
const MAX_REPAIR: Duration = Duration::from_secs(2_400);
const MIN_REPAIR: Duration = Duration::from_secs(1_200);
/// Percentage of hosts whose reboot gets stuck.
const STUCK_REBOOT_PERCENT: u32 = 6;
/// Maximum factor by which a drain estimate is too high or too low.
const MAX_ESTIMATE_ERROR: f64 = 3.0;

/// Time from the start of the waves until the rack fails.
pub(super) const RACK_FAILURE_TIME: Duration = Duration::from_secs(900);

/// Kind of faults that are injected during a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No faults.
    None,
    /// Some hosts don't return from their reboot until they are repaired.
    Reboots,
    /// Stuck reboots, and one rack fails while the wave runs.
    Rack,
}

impl Fault {
    /// Returns the name that the tables print.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Reboots => "stuck reboots",
            Self::Rack => "stuck reboots, rack fails",
        }
    }
}

/// Actual durations of one host's maintenance steps.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StepDurations {
    pub(super) drain: Duration,
    pub(super) reboot: Duration,
    pub(super) repair: Duration,
    /// Whether the reboot gets stuck, so that the host needs a repair.
    pub(super) stuck: bool,
}

impl StepDurations {
    /// Returns the total time out of service, including the repair of a stuck reboot.
    pub(super) fn outage(self) -> Duration {
        let repair = if self.stuck {
            self.repair
        } else {
            Duration::ZERO
        };
        self.drain + self.reboot + repair + PROBE_DURATION
    }
}

/// Step durations of every host, the estimates given to the planner, and the hosts of the
/// rack that fails.
pub(super) struct FaultPlan {
    pub(super) step_durations: SecondaryMap<HostKey, StepDurations>,
    pub(super) estimate: Estimate,
    pub(super) rack_hosts: Vec<HostKey>,
}

impl FaultPlan {
    pub(super) fn new(fleet: &Fleet, fault: Fault, rng: &mut ChaCha8Rng) -> Self {
        let mut step_durations = SecondaryMap::new();
        let mut estimate = Estimate::default()
            .with_reboot(REBOOT_DURATION)
            .with_probe(PROBE_DURATION);
        for (key, _, _) in fleet.hosts.iter() {
            let durations = draw_step_durations(fault, rng);
            let error = MAX_ESTIMATE_ERROR.powf(rng.random_range(-1.0..1.0));
            estimate.set_drain(key, durations.drain.mul_f64(error));
            step_durations.insert(key, durations);
        }
        Self {
            step_durations,
            estimate,
            rack_hosts: hosts_of_failing_rack(fleet, fault, rng),
        }
    }
}

/// Draws the step durations of one host.
fn draw_step_durations(fault: Fault, rng: &mut ChaCha8Rng) -> StepDurations {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    let drain = (-uniform.ln() * MEAN_DRAIN_SECS).clamp(MIN_DRAIN_SECS, MAX_DRAIN_SECS);
    let reboot = REBOOT_DURATION.mul_f64(rng.random_range(0.8..1.2));
    let stuck = rng.random_range(0..100) < STUCK_REBOOT_PERCENT;
    StepDurations {
        drain: Duration::from_secs_f64(drain),
        reboot,
        repair: rng.random_range(MIN_REPAIR..MAX_REPAIR),
        stuck: stuck && fault != Fault::None,
    }
}

/// Returns the hosts of a randomly chosen rack, or none if no rack fails.
fn hosts_of_failing_rack(
    fleet: &Fleet,
    fault: Fault,
    rng: &mut ChaCha8Rng,
) -> Vec<HostKey> {
    let hosts: Vec<_> = fleet.hosts.iter().collect();
    let Some((_, _, chosen)) = hosts.choose(rng) else {
        return Vec::new();
    };
    let rack_fails = fault == Fault::Rack;
    hosts
        .iter()
        .filter(|(_, _, host)| {
            rack_fails && host.zone == chosen.zone && host.rack == chosen.rack
        })
        .map(|(key, _, _)| *key)
        .collect()
}
