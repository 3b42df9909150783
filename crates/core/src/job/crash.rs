//! What is known of a task from crashes of the endpoints that ran it.
//!
//! Endpoints also crash for reasons of their own. A crash is therefore weighed by the
//! probability that a task which crashes nothing would see it: it is small if the crash
//! follows right upon the task's start with nothing else to blame. The weights are added up
//! in a cumulative sum test, which forgets what chance explains.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Score from which a task is given up, in thousandths of a nat. The odds that chance explains
/// as much are one in 160,000.
const MAX_SCORE: u32 = 12_000;

/// Number of crashes below which no task is given up, however much speaks against it.
const MIN_CRASHES: u32 = 2;

/// Number of crashes in succession from which a lower score suffices. A task that crashes its
/// endpoints may not be started more often.
const MAX_EARLY_CRASHES: u32 = 5;

/// Score that suffices then, in thousandths of a nat.
const BOUNDED_SCORE: u32 = 8_000;

/// Mean weight of a crash that chance explains, in thousandths of a nat. It is subtracted from
/// each weight.
const CHANCE_WEIGHT: f64 = 1_000.0;

/// Probability assumed for a crash by chance before the start of a run is confirmed.
const UNCONFIRMED_PROBABILITY: f64 = 0.01;

/// Time after its start up to which a run is new, and taken as the cause of a crash before
/// others. If its task is suspected, no task of another job starts on its endpoint in that time.
/// A crash takes effect sooner, but may be noticed late.
pub(super) const PROBATION: Duration = Duration::from_millis(250);

/// The same time for a task whose endpoints have crashed repeatedly, and not right after its
/// start.
const LONG_PROBATION: Duration = Duration::from_secs(3);

/// Crashes of endpoints under the runs of one task. It is stored with the task's progress.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// Number of crashes.
    #[serde(rename = "n")]
    pub crashes: u32,
    /// Whether the run was new at the last crash.
    #[serde(rename = "e")]
    pub is_early: bool,
    /// How much speaks for the task being the cause, in thousandths of a nat.
    #[serde(rename = "s")]
    pub score: u32,
}

/// When a crash came, relative to the start of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Timing {
    /// Right after the start.
    Early,
    /// Later, or noticed later: the endpoint hasn't replied since the start was over.
    Unclear,
    /// Later. The endpoint has outlived the start.
    Late,
}

/// A crash of an endpoint, as it bears on one task that the endpoint was executing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Evidence {
    timing: Timing,
    /// Probability that a task which crashes nothing sees such a crash.
    probability: f64,
}

impl Evidence {
    /// Returns evidence against a task of one of `suspects` jobs. `by_chance` is the probability
    /// that the endpoint crashes for a reason of its own by the age that the run had.
    pub(super) fn new(timing: Timing, suspects: usize, by_chance: f64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a count of jobs is small")]
        let suspects = suspects.max(1) as f64;
        Self {
            timing,
            probability: 1.0 - (1.0 - by_chance) / suspects,
        }
    }

    /// Returns evidence against a task of one of `suspects` jobs whose start wasn't confirmed.
    pub(super) fn unconfirmed(timing: Timing, suspects: usize) -> Self {
        Self::new(timing, suspects, UNCONFIRMED_PROBABILITY)
    }

    /// Returns the weight of the evidence beyond what chance explains, in thousandths of a
    /// nat. It is negative if chance explains the crash.
    fn weight(self) -> f64 {
        -1_000.0 * self.probability.max(f64::MIN_POSITIVE).ln() - CHANCE_WEIGHT
    }
}

impl History {
    /// Returns whether nothing is held against the task.
    pub const fn is_empty(&self) -> bool {
        self.crashes == 0
    }

    /// Returns whether the task is to be given up.
    pub const fn is_exhausted(self) -> bool {
        let is_unlikely = self.crashes >= MIN_CRASHES && self.score >= MAX_SCORE;
        let is_bounded = self.is_early && self.crashes >= MAX_EARLY_CRASHES;
        is_unlikely || (is_bounded && self.score >= BOUNDED_SCORE)
    }

    /// Adds a crash.
    pub(super) fn record(&mut self, evidence: Evidence) {
        // A task that crashes its endpoints right after its start always does.
        let is_refuted = self.is_early && evidence.timing == Timing::Late;
        let before = if is_refuted { 0 } else { self.score };
        let score = f64::from(before) + evidence.weight();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the score isn't negative, and a cast saturates"
        )]
        let score = score.max(0.0) as u32;
        let crashes_before = if is_refuted { 0 } else { self.crashes };
        *self = Self {
            crashes: crashes_before + 1,
            is_early: match evidence.timing {
                Timing::Early => true,
                Timing::Unclear => self.is_early,
                Timing::Late => false,
            },
            score,
        };
    }

    /// Records that another job was found to have caused the only crash.
    pub(super) const fn exonerate(&mut self) {
        self.is_early = false;
        self.score = 0;
    }

    /// Returns for how long after its start the next run of the task is kept apart from
    /// others; `None` if it isn't.
    pub(super) const fn probation(self) -> Option<Duration> {
        if self.is_early {
            Some(PROBATION)
        } else if self.crashes >= MIN_CRASHES {
            Some(LONG_PROBATION)
        } else {
            None
        }
    }
}
