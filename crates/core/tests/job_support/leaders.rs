//! What a simulated leader is told: submitted jobs and, at its election, the contents of the store.

use rhubarbrill_core::job::Declared;
use rhubarbrill_core::job::configuration::Declarations;
use rhubarbrill_core::job::record::Record;
use rhubarbrill_core::job::scheduler::{Scheduler, Term};
use rhubarbrill_core::job::spec::Spec;
use rhubarbrill_core::time::Timestamp;

use super::{Link, Simulation};

impl Simulation {
    /// Submits a job of the default workspace and returns its identity.
    pub fn submit(&mut self, queue: &str, spec: Spec) -> String {
        self.submit_at(queue, spec, 0)
    }

    /// Submits a job of the given workspace and returns its identity.
    pub fn submit_for(&mut self, workspace: &str, queue: &str, spec: Spec) -> String {
        self.submit_record(workspace, queue, spec, 0)
    }

    /// Submits a job that was received `age_ms` ago and returns its identity.
    pub fn submit_at(&mut self, queue: &str, spec: Spec, age_ms: u64) -> String {
        self.submit_record("w", queue, spec, age_ms)
    }

    fn submit_record(
        &mut self,
        workspace: &str,
        queue: &str,
        spec: Spec,
        age_ms: u64,
    ) -> String {
        let id = format!("{:016x}", self.records.len());
        let declarations = Declarations {
            queue: self.configuration.queue(queue),
            workspace: self.configuration.workspace(workspace),
        };
        let record = Record {
            queue: queue.to_owned(),
            pool: self.pool_of(queue),
            workspace: Some(workspace.to_owned()),
            declared: Declared::new(&spec, declarations),
            submitted: Timestamp::from_millis(self.wall_time().as_millis() - age_ms),
            spec,
        };
        self.revision += 1;
        self.versions.insert(id.clone(), self.revision);
        self.records.insert(id.clone(), record.clone());
        let wall_time = self.wall_time();
        self.scheduler
            .add_job(self.now, wall_time, &id, self.revision, record, None);
        id
    }

    fn pool_of(&self, queue: &str) -> String {
        let configured = self.configuration.queue(queue);
        configured.map_or_else(|| queue.to_owned(), |queue| queue.pool.clone())
    }

    /// Replaces the leader by a new one that starts from the contents of the store.
    ///
    /// If `registrations_expired` is set, the registrations of unreachable endpoints have
    /// expired, so the new leader doesn't know these endpoints.
    pub fn elect_new_leader(&mut self, registrations_expired: bool) {
        self.revision += 1;
        self.term = Term {
            fencing_token: self.revision,
            number: self.term.number + 1,
            start_revision: self.revision,
        };
        self.scheduler = Scheduler::new(self.options, self.term, self.now);
        // What the earlier leader is told from now on doesn't matter.
        self.waiting_holds.clear();
        self.unanswered_starts.clear();
        self.unanswered_holds.clear();
        // The store rejects the writes of an earlier leader.
        self.slow_writes.clear();
        self.configure();
        self.scheduler
            .set_evacuated_zones(self.now, &self.evacuated_zones);
        for endpoint in self.endpoints.values() {
            if !(registrations_expired && endpoint.link == Link::Unreachable) {
                let registered =
                    endpoint.stale_report.as_ref().unwrap_or(&endpoint.report);
                self.scheduler.set_endpoint(self.now, registered.clone());
            }
        }
        for (_, report) in &self.expiring_registrations {
            self.scheduler.set_endpoint(self.now, report.clone());
        }
        for (id, record) in &self.records {
            if self.finished_jobs.contains(id) {
                self.scheduler.add_finished_job(self.now, id);
                continue;
            }
            let progress = self.progress.get(id).cloned().map(|progress| {
                (
                    progress,
                    self.versions.get(&format!("p{id}")).copied().unwrap_or(0),
                )
            });
            let version = self.versions[id];
            let wall_time = self.wall_time();
            self.scheduler.add_job(
                self.now,
                wall_time,
                id,
                version,
                record.clone(),
                progress,
            );
        }
        for (id, orphans) in &self.orphans {
            self.scheduler.add_orphans(self.now, id, orphans);
        }
        self.list_hosts();
    }
}
