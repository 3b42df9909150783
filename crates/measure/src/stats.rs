//! Collects the figures of one run.

use std::time::Duration;

use rhubarbrill_core::gate::Class;
use rhubarbrill_core::time::Instant;

/// Figures of one run of a policy.
#[derive(Clone, Debug)]
pub struct Stats {
    shares: Vec<f64>,
    pools: Vec<PoolStats>,
    urgent: Waits,
    normal: Waits,
    /// Runs that had to queue at an endpoint.
    pub queued_at_endpoint: u64,
    /// Reports of usage that were made, each sent to every other entry host.
    pub reports: u64,
    /// Slots lent, each to one entry host for one term.
    pub loans: u64,
    /// Rows in those reports.
    pub report_rows: u64,
    /// Requests that were refused after they had waited.
    pub expired: u64,
    /// Requests that were sent and failed for good.
    pub failed: u64,
    workspaces: Vec<WorkspaceStats>,
}

#[derive(Clone, Debug)]
struct PoolStats {
    slots: f64,
    since: Instant,
    running: Vec<u32>,
    waiting: Vec<u32>,
    full_secs: f64,
    distance_secs: f64,
    idle_secs: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceStats {
    off: f64,
    due: f64,
}

#[derive(Clone, Debug, Default)]
struct Waits {
    started: Vec<u64>,
    submitted: u64,
    refused: u64,
}

/// The waits and refusals of one class.
#[derive(Clone, Copy, Debug)]
pub struct ClassFigures {
    pub p50: Duration,
    pub p99: Duration,
    pub refused: f64,
}

impl Stats {
    /// Returns empty figures for pools of so many slots and workspaces of such shares.
    pub fn new(slots: &[u32], shares: &[u32]) -> Self {
        let pool = |&slots| PoolStats {
            slots: f64::from(slots),
            since: Instant::ZERO,
            running: vec![0; shares.len()],
            waiting: vec![0; shares.len()],
            full_secs: 0.0,
            distance_secs: 0.0,
            idle_secs: 0.0,
        };
        Self {
            shares: shares.iter().map(|&share| f64::from(share)).collect(),
            pools: slots.iter().map(pool).collect(),
            urgent: Waits::default(),
            normal: Waits::default(),
            queued_at_endpoint: 0,
            expired: 0,
            reports: 0,
            loans: 0,
            report_rows: 0,
            failed: 0,
            workspaces: vec![WorkspaceStats::default(); shares.len()],
        }
    }

    /// Counts a request as submitted, and as waiting or refused at once.
    pub fn submitted(&mut self, class: Class) {
        self.waits(class).submitted += 1;
    }

    pub fn refused(&mut self, class: Class) {
        self.waits(class).refused += 1;
    }

    /// Counts a request that waited in vain.
    pub fn expired(&mut self, class: Class) {
        self.refused(class);
        self.expired += 1;
    }

    pub fn started(&mut self, class: Class, wait: Duration) {
        let micros = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        self.waits(class).started.push(micros);
    }

    /// Changes the counts of a workspace in a pool at an instant.
    pub fn change(
        &mut self,
        now: Instant,
        pool: usize,
        workspace: usize,
        waiting: i32,
        running: i32,
    ) {
        self.integrate(now, pool);
        let counts = &mut self.pools[pool];
        counts.waiting[workspace] =
            counts.waiting[workspace].saturating_add_signed(waiting);
        counts.running[workspace] =
            counts.running[workspace].saturating_add_signed(running);
    }

    /// Returns the share distance of the deployment.
    pub fn distance(&self) -> f64 {
        self.mean_while_full(|pool| pool.distance_secs)
    }

    /// Returns the part of the slots that stood idle while work waited.
    pub fn idle(&self) -> f64 {
        self.mean_while_full(|pool| pool.idle_secs)
    }

    fn mean_while_full(&self, value: impl Fn(&PoolStats) -> f64) -> f64 {
        let full: f64 = self.pools.iter().map(|pool| pool.full_secs).sum();
        let sum: f64 = self.pools.iter().map(value).sum();
        if full > 0.0 { sum / full } else { 0.0 }
    }

    /// Returns the distance of each workspace, signed.
    pub fn workspace_distances(&self) -> Vec<f64> {
        let distance = |workspace: &WorkspaceStats| match workspace.due > 0.0 {
            true => workspace.off / workspace.due,
            false => 0.0,
        };
        self.workspaces.iter().map(distance).collect()
    }

    pub fn class(&self, class: Class) -> ClassFigures {
        let waits = match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
        };
        let mut sorted = waits.started.clone();
        sorted.sort_unstable();
        ClassFigures {
            p50: percentile(&sorted, 50),
            p99: percentile(&sorted, 99),
            refused: waits.refused as f64 / waits.submitted.max(1) as f64,
        }
    }

    /// Returns the requests that were refused.
    pub fn refused_count(&self) -> u64 {
        self.urgent.refused + self.normal.refused
    }

    /// Returns a count as a part of all requests.
    pub fn part(&self, count: u64) -> f64 {
        let submitted = self.urgent.submitted + self.normal.submitted;
        count as f64 / submitted.max(1) as f64
    }

    fn waits(&mut self, class: Class) -> &mut Waits {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
        }
    }

    fn integrate(&mut self, now: Instant, pool: usize) {
        let counts = &mut self.pools[pool];
        let span = now.saturating_since(counts.since).as_secs_f64();
        counts.since = now;
        if span == 0.0 {
            return;
        }
        let demand =
            |workspace: usize| counts.running[workspace] + counts.waiting[workspace];
        let demands: Vec<f64> = (0..self.shares.len())
            .map(|workspace| f64::from(demand(workspace)))
            .collect();
        if demands.iter().sum::<f64>() < counts.slots {
            return;
        }
        let dues = max_min(counts.slots, &self.shares, &demands);
        let mut off = 0.0;
        for (workspace, due) in dues.iter().enumerate() {
            let difference = f64::from(counts.running[workspace]) - due;
            off += difference.abs();
            self.workspaces[workspace].off += difference * span;
            self.workspaces[workspace].due += due * span;
        }
        let running: u32 = counts.running.iter().sum();
        let idle = (counts.slots - f64::from(running)).max(0.0);
        counts.idle_secs += span * idle / counts.slots;
        counts.full_secs += span;
        counts.distance_secs += span * off / 2.0 / counts.slots;
    }
}

/// Returns the weighted max-min allocation of `slots`.
pub fn max_min(slots: f64, shares: &[f64], demands: &[f64]) -> Vec<f64> {
    let mut dues = vec![0.0; shares.len()];
    let mut open: Vec<usize> = (0..shares.len()).collect();
    let mut left = slots;
    loop {
        let weight: f64 = open.iter().map(|&workspace| shares[workspace]).sum();
        let is_met =
            |workspace: usize| demands[workspace] * weight <= left * shares[workspace];
        let (met, unmet): (Vec<usize>, Vec<usize>) =
            open.iter().partition(|&&workspace| is_met(workspace));
        if met.is_empty() {
            for &workspace in &open {
                dues[workspace] = left * shares[workspace] / weight;
            }
            return dues;
        }
        for workspace in met {
            dues[workspace] = demands[workspace];
            left -= demands[workspace];
        }
        open = unmet;
    }
}

fn percentile(sorted: &[u64], percent: usize) -> Duration {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    Duration::from_micros(sorted.get(index).copied().unwrap_or(0))
}
