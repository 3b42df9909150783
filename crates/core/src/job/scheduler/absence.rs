//! What a report proves about runs that it doesn't list.

use super::Scheduler;
use super::outcome::Coverage;
use crate::job::RunKey;
use crate::job::run::{Phase, Run};
use crate::time::Instant;

/// What a report proves about the runs that it doesn't list.
#[derive(Clone, Copy, Debug)]
pub(super) struct Proof {
    /// When the hold was sent that the report answers.
    sent: Instant,
    coverage: Coverage,
}

/// What is known about a run that a report doesn't list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Absence {
    /// Nothing: its end may be among those that were left out, or it may have started since.
    Open,
    /// It hasn't started, and its start order may still arrive.
    NotStarted,
    /// It isn't executing and won't be, for this reason.
    Gone(&'static str),
}

impl Proof {
    /// Returns what a report proves that answers a hold sent at `sent`.
    pub(super) const fn new(sent: Instant, coverage: Coverage) -> Self {
        Self { sent, coverage }
    }

    fn absence(self, run: &Run) -> Absence {
        match (self.coverage, run.phase) {
            (Coverage::Cut, _) => Absence::Open,
            // The endpoint has seen this leader's fencing token, so it would reject a
            // start order of an earlier leader that arrives now.
            (Coverage::Complete, Phase::Inherited) => {
                Absence::Gone("not started by an earlier leader")
            }
            (Coverage::Complete, Phase::Unconfirmed) if self.sent > run.sent_at => {
                Absence::NotStarted
            }
            (Coverage::Complete, phase) => match phase.confirmed_at() {
                Some(at) if at < self.sent => Absence::Gone("not listed by its endpoint"),
                _ => Absence::Open,
            },
        }
    }
}

impl Scheduler {
    /// Handles the runs that a report of their endpoint doesn't list.
    ///
    /// What a run that is gone says about its task may end the job, and with it other runs. The
    /// runs are therefore judged first, and the jobs once all runs are dealt with.
    pub(super) fn handle_missing_runs(
        &mut self,
        now: Instant,
        missing: &[RunKey],
        proof: Proof,
    ) {
        let judge = |&key: &RunKey| (key, proof.absence(&self.runs[key]));
        let judged: Vec<(RunKey, Absence)> = missing.iter().map(judge).collect();
        let mut suspicions = Vec::new();
        for (key, absence) in judged {
            match absence {
                Absence::Open => {}
                Absence::NotStarted => {
                    self.stop(now, key, "its start order got no answer");
                }
                Absence::Gone(reason) => {
                    suspicions.extend(self.release_missing(now, key, reason));
                }
            }
        }
        self.record_suspicions(now, &suspicions);
    }
}
