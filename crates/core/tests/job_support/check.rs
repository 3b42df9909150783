//! Invariants that are checked in each tick.

use std::collections::BTreeSet;

use rhubarbrill_core::job::Resource;

use super::Simulation;

impl Simulation {
    pub(super) fn check_invariants(&self) {
        assert_eq!(
            self.scheduler.audit(),
            [],
            "the scheduler's indexes disagree"
        );
        if self.checks_runs {
            self.check_runs();
        }
    }

    fn check_runs(&self) {
        let mut tasks = BTreeSet::new();
        for (id, endpoint) in &self.endpoints {
            let used = endpoint.used();
            assert!(
                endpoint.is_resized
                    || Resource::default().fits(&used, &endpoint.capacity),
                "the runs of {id} exceed its capacity"
            );
            for run in &endpoint.active_runs {
                let task = run.name.to_string();
                let record = self.records.get(&run.name.job);
                let allows_duplicates = record.is_some_and(|record| {
                    record.spec.steps[run.name.step as usize].allow_duplicates
                });
                assert!(
                    tasks.insert(task.clone()) || allows_duplicates,
                    "{task} has two active runs but allows no duplicates"
                );
            }
        }
    }
}
