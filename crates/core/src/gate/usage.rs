//! Usage reports exchanged between entry hosts, so that shares hold across the whole
//! pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Gate;
use crate::fleet::{PoolKey, WorkspaceKey};
use crate::time::Instant;

/// Requests of one workspace at one entry host in one pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// The workspace that the requests belong to.
    pub workspace: WorkspaceKey,
    /// The pool in which they run or wait.
    pub pool: PoolKey,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Mean run time in the pool as seen by the entry host; `None` if it isn't reported.
    pub run_time: Option<Duration>,
}

/// The latest valid report of each other entry host.
#[derive(Clone, Debug, Default)]
pub(super) struct Reports {
    reports: BTreeMap<String, Report>,
    /// Entry hosts by the time their report expires.
    expirations: BTreeSet<(Instant, String)>,
}

#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    expires_at: Instant,
    usage: Vec<Usage>,
}

impl Reports {
    pub(super) fn next_wake(&self) -> Option<Instant> {
        self.expirations.first().map(|&(expires_at, _)| expires_at)
    }

    /// Returns the rows of all reports, each with the entry host that sent it.
    pub(super) fn rows(&self) -> impl Iterator<Item = (&str, &Usage)> {
        self.reports.iter().flat_map(|(member, report)| {
            report.usage.iter().map(move |row| (member.as_str(), row))
        })
    }

    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.reports.len()).unwrap_or(u32::MAX)
    }

    fn take(&mut self, member: &str) -> Option<Report> {
        let report = self.reports.remove(member)?;
        self.expirations
            .remove(&(report.expires_at, member.to_owned()));
        Some(report)
    }

    fn insert(&mut self, member: &str, report: Report) {
        self.expirations
            .insert((report.expires_at, member.to_owned()));
        self.reports.insert(member.to_owned(), report);
    }

    fn pop_expired(&mut self, now: Instant) -> Option<Report> {
        let (expires_at, member) = self.expirations.first()?;
        if *expires_at > now {
            return None;
        }
        let member = member.clone();
        self.take(&member)
    }
}

impl Gate {
    /// Returns the usage of each workspace at this entry host, to be sent to the others.
    pub fn usage(&self) -> Vec<Usage> {
        let of_pool = |(pool, pool_state): (PoolKey, &super::PoolState)| {
            let rows = pool_state.fair_queue.usage().map(
                move |(workspace, running, waiting)| Usage {
                    workspace,
                    pool,
                    running,
                    waiting,
                    run_time: Some(pool_state.fair_queue.run_time()),
                },
            );
            rows.collect::<Vec<_>>()
        };
        self.pools.iter().flat_map(of_pool).collect()
    }

    /// Replaces the latest usage report of another entry host with a full new one.
    pub fn apply_usage_report(&mut self, now: Instant, member: &str, usage: Vec<Usage>) {
        if let Some(old) = self.reports.take(member) {
            self.remove_report(&old, now);
        }
        let (workspaces, pools) = (&self.workspaces, &mut self.pools);
        for row in &usage {
            let Some(workspace) = workspaces.get(row.workspace) else {
                continue;
            };
            let Some(pool_state) = pools.get_mut(row.pool) else {
                continue;
            };
            let fair_queue = &mut pool_state.fair_queue;
            fair_queue.set_share(row.workspace, workspace.share);
            fair_queue.update_remote_running(
                row.workspace,
                0,
                row.running,
                Duration::ZERO,
            );
        }
        let expires_at = now + self.options.usage_ttl;
        let report = Report {
            at: now,
            expires_at,
            usage,
        };
        self.reports.insert(member, report);
        self.update_entry_host_count();
    }

    /// Removes expired reports.
    pub(super) fn expire_reports(&mut self, now: Instant) {
        while let Some(old) = self.reports.pop_expired(now) {
            self.remove_report(&old, now);
            self.update_entry_host_count();
        }
    }

    fn update_entry_host_count(&mut self) {
        let entry_hosts = self.reports.count().saturating_add(1);
        for pool_state in self.pools.values_mut() {
            pool_state.fair_queue.set_entry_hosts(entry_hosts);
        }
    }

    /// Removes a report from the fair queues, and charges the slot time that its work has
    /// used since it was received.
    fn remove_report(&mut self, old: &Report, now: Instant) {
        let span = now.saturating_since(old.at);
        for row in &old.usage {
            if let Some(pool_state) = self.pools.get_mut(row.pool) {
                let used = span.saturating_mul(row.running);
                pool_state.fair_queue.update_remote_running(
                    row.workspace,
                    row.running,
                    0,
                    used,
                );
            }
        }
    }
}
