//! The checkpoint that the members of a gang resume from.
//!
//! The checkpoint of any member is valid for the whole gang, and a gang works only if all its
//! members resume from the same one. Members report at different times, so one of them may
//! have saved more recently than the others are known to have.

/// The newest checkpoint of a gang.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Checkpoint {
    /// What members resume from; empty if no member has saved any.
    pub(super) value: String,
    /// Number of the run that saved it.
    run: u64,
    /// How much of the work the member had completed when it reported the value.
    done: Work,
}

/// Completed work of a run when it reported a checkpoint.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Work {
    /// Nothing is known.
    #[default]
    Unknown,
    /// The run was executing and had completed this percentage.
    Percent(u32),
    /// The run had ended, so that it saves nothing more.
    Ended,
}

impl Checkpoint {
    /// Takes over a value that a member reported, unless the known one is newer. Values of a later
    /// run are newer and, within a run, those of a member that had completed more.
    pub(super) fn offer(&mut self, value: &str, run: u64, done: Work) {
        if value.is_empty() || (run, done) < (self.run, self.done) {
            return;
        }
        value.clone_into(&mut self.value);
        self.run = run;
        self.done = done;
    }
}
