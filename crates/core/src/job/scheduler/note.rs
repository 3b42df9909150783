//! Notes of decisions, for the log.

use crate::job::{End, Name};

/// A decision that touches a job, or a change of what the leader believes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Note {
    /// A run was placed on an endpoint.
    Placed {
        /// The task.
        name: Name,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
        /// Processor left there, in thousandths of a core.
        free_cpu: u64,
    },
    /// A start was rejected or got no answer.
    NotStarted {
        /// The task.
        name: Name,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
        /// What was answered.
        reason: &'static str,
    },
    /// A run that an earlier leader started goes on.
    Adopted {
        /// The task.
        name: Name,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
    },
    /// A run is told to stop.
    Stopping {
        /// The task.
        name: Name,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
        /// Why.
        reason: &'static str,
    },
    /// A run ended.
    Ended {
        /// The task.
        name: Name,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
        /// How.
        end: End,
    },
    /// A run is taken to be gone.
    Gone {
        /// The task.
        name: Name,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
        /// Why.
        reason: &'static str,
    },
    /// A job is over.
    Finished {
        /// Identity of the job.
        job: String,
        /// Its last state.
        state: crate::job::State,
        /// Why.
        reason: &'static str,
    },
    /// An endpoint is known in a new life.
    EndpointUp {
        /// Identity of the endpoint.
        endpoint: String,
        /// Its pool.
        pool: String,
        /// When its life began, in milliseconds since the Unix epoch.
        born: u64,
    },
    /// An endpoint is gone or no longer answers.
    EndpointLost {
        /// Identity of the endpoint.
        endpoint: String,
        /// Why.
        reason: &'static str,
        /// Runs that it had.
        runs: usize,
    },
    /// An endpoint answers again.
    EndpointRegained {
        /// Identity of the endpoint.
        endpoint: String,
    },
    /// The placement policy was asked about a step.
    Ruled {
        /// Identity of the job.
        job: String,
        /// Position of the step.
        step: u32,
        /// Number of endpoints in the question.
        asked: usize,
        /// Number of those that may run the step; nothing without a usable answer.
        allowed: Option<usize>,
    },
    /// Runs of a lower priority are stopped to make room for a job.
    Preempts {
        /// Identity of the job.
        job: String,
        /// Number of runs that are stopped.
        runs: usize,
        /// Work that is lost, in core-milliseconds.
        lost: u64,
    },
    /// A host is to change its pool.
    HostMoves {
        /// Name of the host.
        host: String,
        /// Pool that it leaves.
        from: String,
        /// Pool that it joins.
        to: String,
        /// Processor that the receiving pool needs, in thousandths of a core.
        needed_cpu: u64,
        /// Processor that the receiving pool has.
        held_cpu: u64,
    },
    /// A host's maintenance begins.
    HostMaintained {
        /// Name of the host.
        host: String,
        /// Number of the wave.
        wave: u64,
    },
}
