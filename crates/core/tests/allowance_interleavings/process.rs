//! The actions of the process of one entry host.

use std::time::Duration;

use rhubarbrill_core::allowance::{Demand, Lease, PlanInput, Shard, SwapOutcome};
use rhubarbrill_core::fleet::{DisconnectedPolicy, Workspace, WorkspaceKey};

use super::*;

impl World {
    pub fn configure(&mut self, index: usize) {
        let fleet = &mut self.processes[index].fleet;
        fleet.revision = self.config_revision;
        for (workspace, limit) in WORKSPACES.into_iter().zip(self.limits) {
            let when_disconnected = DisconnectedPolicy::Serve;
            fleet.workspaces.upsert(
                workspace,
                Workspace {
                    share: 1,
                    limit,
                    when_disconnected,
                },
            );
        }
    }

    /// Renews the lease, or registers the member.
    ///
    /// A process that finds a successor registered exits.
    pub fn renew(&mut self, index: usize, answered: bool) {
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        let expires = self.now + LEASE_MS;
        let member = &process.member;
        let found = self.store.registered(&member.entry);
        let superseded = found.is_some_and(|found| found != member);
        let lease = process
            .lease
            .filter(|id| self.store.leases.contains_key(id));
        if superseded
            && process.lease.is_some()
            && self.variant != Variant::SkipMemberCheck
        {
            process.alive = false;
            return;
        }
        let id = match lease {
            Some(id) => {
                self.store.leases.insert(id, expires);
                id
            }
            None => self.store.register(member, expires),
        };
        if answered {
            process.lease = Some(id);
            let valid_for = Duration::from_millis(LEASE_MS - MARGIN_MS);
            let renewed = now;
            process.holder.set_lease(
                Lease {
                    id,
                    renewed,
                    valid_for,
                },
                now,
            );
        }
    }

    pub fn plan(&mut self, index: usize, waiting: u32) {
        let now = self.local_time(index);
        let membership = self.store.membership();
        let process = &mut self.processes[index];
        let mut demand = Demand::default();
        for (key, _, _) in process.fleet.workspaces.iter() {
            demand.set(key, waiting);
        }
        let Process {
            allocator,
            holder,
            fleet,
            ..
        } = process;
        let mut shards = WORKSPACES.map(Shard::of).to_vec();
        shards.dedup();
        for shard in shards {
            if process
                .drafts
                .iter()
                .any(|(in_flight, _)| *in_flight == shard)
            {
                continue;
            }
            if allocator.needs_read(shard, holder, now) {
                allocator.refresh(shard, self.store.read(shard), now, holder);
            }
            let input = PlanInput {
                fleet,
                demand: &demand,
                membership: &membership,
                now,
            };
            if let Some(draft) = allocator.plan(shard, input, holder) {
                process.drafts.push((shard, draft));
            }
        }
    }

    pub fn deliver(&mut self, index: usize, delivery: Delivery) {
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        for (shard, draft) in std::mem::take(&mut process.drafts) {
            let version = draft.version;
            let mut outcome = match delivery {
                Delivery::Answered => self.store.swap(shard, draft),
                Delivery::RequestLost => SwapOutcome::Unknown,
                Delivery::ReplyLost => {
                    self.store.swap(shard, draft);
                    SwapOutcome::Unknown
                }
                Delivery::Delayed => {
                    self.delayed.push((shard, draft));
                    SwapOutcome::Unknown
                }
            };
            let assumes_applied = self.variant == Variant::AssumeLostSwapsApplied;
            if assumes_applied && outcome == SwapOutcome::Unknown {
                outcome = SwapOutcome::Done(version);
            }
            process
                .allocator
                .record_outcome(shard, outcome, &mut process.holder, now);
        }
    }

    pub fn deliver_delayed(&mut self, index: usize) {
        if index < self.delayed.len() {
            let (shard, draft) = self.delayed.swap_remove(index);
            self.store.swap(shard, draft);
        }
    }

    pub fn start(&mut self, index: usize, workspace: usize) {
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        let key = process
            .fleet
            .workspaces
            .find(WORKSPACES[workspace])
            .expect("the workspace is declared");
        let limit = process
            .fleet
            .workspaces
            .get(key)
            .expect("the workspace is declared")
            .limit;
        let starts = match self.variant {
            Variant::StaticSplit => {
                let hosts = u32::try_from(HOSTS).unwrap();
                process.local_runs[workspace] < limit / hosts
            }
            _ => process.holder.try_start(key, now).is_ok(),
        };
        if starts {
            process.local_runs[workspace] += 1;
            process.unsent.push(key);
        }
    }

    pub fn send(&mut self, index: usize, key: WorkspaceKey, ms: u64) {
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        let name = process
            .fleet
            .workspaces
            .name(key)
            .expect("the workspace is declared");
        let workspace = WORKSPACES
            .iter()
            .position(|workspace| *workspace == name)
            .expect("the workspace is one of `WORKSPACES`");
        let checked = !matches!(
            self.variant,
            Variant::NoCheckBeforeSend | Variant::StaticSplit
        );
        if checked && !process.holder.may_send(key, now) {
            process.holder.finish(key);
            process.local_runs[workspace] -= 1;
            return;
        }
        let ends_at = self.now + ms;
        self.runs.push(Run {
            process: index,
            workspace,
            ends_at,
            frees_at: ends_at,
            freed: false,
        });
        self.started_runs += 1;
    }

    /// Abandons the newest run, which continues to run on its endpoint.
    pub fn abandon(&mut self, index: usize) {
        let active = |run: &&mut Run| run.process == index && run.frees_at == run.ends_at;
        if let Some(run) = self.runs.iter_mut().rev().find(active) {
            run.frees_at = match self.variant {
                Variant::FreeUnitOnAbandon => self.now,
                _ => self.now + LONGEST_RUN_MS,
            };
        }
    }
}
