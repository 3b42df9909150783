//! Collects the statistics of one run.

use std::time::Duration;

use rhubarbrill_core::gate::Class;
use rhubarbrill_core::time::Instant;

/// Statistics of one run of a policy.
#[derive(Clone, Debug)]
pub struct Stats {
    shares: Vec<f64>,
    pools: Vec<PoolStats>,
    urgent: ClassStats,
    normal: ClassStats,
    /// Attempts that found no free slot at their endpoint and queued there.
    pub queued_at_endpoint: u64,
    /// Usage reports, each sent to every other entry host and counted once.
    pub reports: u64,
    /// Loans of slots, each to one entry host for one term.
    pub loans: u64,
    /// Rows in the usage reports.
    pub report_rows: u64,
    /// Requests that reached their deadline while they waited; also counted as refused.
    pub expired: u64,
    /// Requests that were sent and whose last attempt failed.
    pub failed: u64,
    workspaces: Vec<WorkspaceStats>,
}

/// Counts of one pool by workspace, and their integrals over time.
#[derive(Clone, Debug)]
struct PoolStats {
    slots: f64,
    /// Time up to which the integrals are complete.
    last_change: Instant,
    running: Vec<u32>,
    waiting: Vec<u32>,
    /// Time during which running and waiting requests would occupy at least all slots.
    saturated_secs: f64,
    /// Integral of the share distance over the saturated time.
    share_distance_secs: f64,
    /// Integral of the fraction of idle slots over the saturated time.
    idle_secs: f64,
}

/// Slot-seconds of one workspace while pools were saturated.
#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceStats {
    /// Used slot-seconds minus the fair allocation.
    deviation: f64,
    /// Slot-seconds of the fair allocation.
    entitlement: f64,
}

/// Counts and waiting times of one class.
#[derive(Clone, Debug, Default)]
struct ClassStats {
    /// Waiting time of each request that started.
    start_waits_micros: Vec<u64>,
    submitted: u64,
    refused: u64,
}

/// Waiting times and refusals of one class.
#[derive(Clone, Copy, Debug)]
pub struct ClassSummary {
    /// Median waiting time until the start.
    pub p50: Duration,
    /// 99th percentile of the waiting time until the start.
    pub p99: Duration,
    /// Fraction of the submitted requests that were refused or expired.
    pub refused: f64,
}

impl Stats {
    /// Returns empty statistics for pools with the given slots and workspaces with the
    /// given shares.
    pub fn new(slots: &[u32], shares: &[u32]) -> Self {
        let pool = |&slots| PoolStats {
            slots: f64::from(slots),
            last_change: Instant::ZERO,
            running: vec![0; shares.len()],
            waiting: vec![0; shares.len()],
            saturated_secs: 0.0,
            share_distance_secs: 0.0,
            idle_secs: 0.0,
        };
        Self {
            shares: shares.iter().map(|&share| f64::from(share)).collect(),
            pools: slots.iter().map(pool).collect(),
            urgent: ClassStats::default(),
            normal: ClassStats::default(),
            queued_at_endpoint: 0,
            expired: 0,
            reports: 0,
            loans: 0,
            report_rows: 0,
            failed: 0,
            workspaces: vec![WorkspaceStats::default(); shares.len()],
        }
    }

    /// Counts a submitted request.
    pub fn record_submission(&mut self, class: Class) {
        self.class_stats_mut(class).submitted += 1;
    }

    /// Counts a refused request.
    pub fn record_refusal(&mut self, class: Class) {
        self.class_stats_mut(class).refused += 1;
    }

    /// Counts a request that reached its deadline before it could start.
    pub fn record_expiry(&mut self, class: Class) {
        self.record_refusal(class);
        self.expired += 1;
    }

    /// Records the waiting time of a request that starts.
    pub fn record_start(&mut self, class: Class, wait: Duration) {
        let micros = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        self.class_stats_mut(class).start_waits_micros.push(micros);
    }

    /// Changes the numbers of a workspace's waiting and running requests in a pool.
    ///
    /// Brings the integrals up to `now` first, with the previous counts.
    pub fn change_counts(
        &mut self,
        now: Instant,
        pool: usize,
        workspace: usize,
        waiting: i32,
        running: i32,
    ) {
        self.integrate_until(now, pool);
        let stats = &mut self.pools[pool];
        stats.waiting[workspace] =
            stats.waiting[workspace].saturating_add_signed(waiting);
        stats.running[workspace] =
            stats.running[workspace].saturating_add_signed(running);
    }

    /// Returns the share distance, averaged over the saturated time of all pools.
    ///
    /// The share distance of a pool is half the sum of the workspaces' absolute
    /// deviations from the weighted max-min allocation, divided by the pool's slots.
    pub fn share_distance(&self) -> f64 {
        self.mean_while_saturated(|pool| pool.share_distance_secs)
    }

    /// Returns the fraction of slots that were idle, averaged over the saturated time of
    /// all pools.
    pub fn idle_fraction(&self) -> f64 {
        self.mean_while_saturated(|pool| pool.idle_secs)
    }

    fn mean_while_saturated(&self, value: impl Fn(&PoolStats) -> f64) -> f64 {
        let saturated: f64 = self.pools.iter().map(|pool| pool.saturated_secs).sum();
        let sum: f64 = self.pools.iter().map(value).sum();
        if saturated > 0.0 {
            sum / saturated
        } else {
            0.0
        }
    }

    /// Returns each workspace's signed deviation, relative to its fair allocation.
    pub fn workspace_deviations(&self) -> Vec<f64> {
        let deviation_ratio =
            |workspace: &WorkspaceStats| match workspace.entitlement > 0.0 {
                true => workspace.deviation / workspace.entitlement,
                false => 0.0,
            };
        self.workspaces.iter().map(deviation_ratio).collect()
    }

    /// Returns the percentiles of the waiting time and the refused fraction of a class.
    pub fn class_summary(&self, class: Class) -> ClassSummary {
        let class_stats = match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
        };
        let mut sorted = class_stats.start_waits_micros.clone();
        sorted.sort_unstable();
        ClassSummary {
            p50: percentile(&sorted, 50),
            p99: percentile(&sorted, 99),
            refused: class_stats.refused as f64 / class_stats.submitted.max(1) as f64,
        }
    }

    /// Returns the number of refused requests, including expired ones.
    pub fn refused_count(&self) -> u64 {
        self.urgent.refused + self.normal.refused
    }

    /// Returns a count as a fraction of all submitted requests.
    pub fn fraction_of_requests(&self, count: u64) -> f64 {
        let submitted = self.urgent.submitted + self.normal.submitted;
        count as f64 / submitted.max(1) as f64
    }

    fn class_stats_mut(&mut self, class: Class) -> &mut ClassStats {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
        }
    }

    /// Adds the time since the last change of a pool to its integrals.
    ///
    /// Only time counts during which running and waiting requests would occupy at least
    /// all slots.
    fn integrate_until(&mut self, now: Instant, pool: usize) {
        let stats = &mut self.pools[pool];
        let elapsed_secs = now.saturating_since(stats.last_change).as_secs_f64();
        stats.last_change = now;
        if elapsed_secs == 0.0 {
            return;
        }
        let demand =
            |workspace: usize| stats.running[workspace] + stats.waiting[workspace];
        let demands: Vec<f64> = (0..self.shares.len())
            .map(|workspace| f64::from(demand(workspace)))
            .collect();
        if demands.iter().sum::<f64>() < stats.slots {
            return;
        }
        let allocation = weighted_max_min(stats.slots, &self.shares, &demands);
        let mut deviation = 0.0;
        for (workspace, entitlement) in allocation.iter().enumerate() {
            let difference = f64::from(stats.running[workspace]) - entitlement;
            deviation += difference.abs();
            self.workspaces[workspace].deviation += difference * elapsed_secs;
            self.workspaces[workspace].entitlement += entitlement * elapsed_secs;
        }
        let running: u32 = stats.running.iter().sum();
        let idle = (stats.slots - f64::from(running)).max(0.0);
        stats.idle_secs += elapsed_secs * idle / stats.slots;
        stats.saturated_secs += elapsed_secs;
        stats.share_distance_secs += elapsed_secs * deviation / 2.0 / stats.slots;
    }
}

/// Returns the weighted max-min fair allocation of `slots`.
///
/// Workspaces that demand less than their weighted part receive their demand; the others
/// divide the rest in proportion to their shares.
pub fn weighted_max_min(slots: f64, shares: &[f64], demands: &[f64]) -> Vec<f64> {
    let mut allocation = vec![0.0; shares.len()];
    let mut unsatisfied: Vec<usize> = (0..shares.len()).collect();
    let mut remaining = slots;
    loop {
        let weight: f64 = unsatisfied.iter().map(|&workspace| shares[workspace]).sum();
        let is_satisfied = |workspace: usize| {
            demands[workspace] * weight <= remaining * shares[workspace]
        };
        let (satisfied, rest): (Vec<usize>, Vec<usize>) = unsatisfied
            .iter()
            .partition(|&&workspace| is_satisfied(workspace));
        if satisfied.is_empty() {
            for &workspace in &unsatisfied {
                allocation[workspace] = remaining * shares[workspace] / weight;
            }
            return allocation;
        }
        for workspace in satisfied {
            allocation[workspace] = demands[workspace];
            remaining -= demands[workspace];
        }
        unsatisfied = rest;
    }
}

fn percentile(sorted: &[u64], percent: usize) -> Duration {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    Duration::from_micros(sorted.get(index).copied().unwrap_or(0))
}
