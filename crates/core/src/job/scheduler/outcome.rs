//! Results of orders, as endpoints return them.

use crate::job::{RunEnd, TaskName};

/// The reason why an endpoint rejected an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The endpoint has seen the fencing token of a later leader.
    Fenced,
    /// The endpoint has already seen a run of the task with this number or a higher one.
    StaleNumber,
    /// The lease had expired before the order was processed.
    LeaseExpired,
    /// The endpoint lacks the resources for the run.
    NoCapacity,
    /// The placement policy's ticket is missing or has expired.
    NoPermission,
    /// The endpoint is unhealthy.
    Unhealthy,
    /// The order couldn't be parsed.
    Malformed,
}

impl Rejection {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::StaleNumber => "stale run number",
            Self::LeaseExpired => "lease over",
            Self::NoCapacity => "no room",
            Self::NoPermission => "no permission",
            Self::Unhealthy => "endpoint unhealthy",
            Self::Malformed => "order malformed",
        }
    }
}

/// The result of an order, as far as the leader knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The endpoint carried out the order; holds a reading of its clock in milliseconds,
    /// if the reply had one.
    Done(Option<u64>),
    /// The endpoint rejected the order; holds the reason, and a reading of its clock in
    /// milliseconds, if the reply had one.
    Rejected(Rejection, Option<u64>),
    /// Another incarnation of an endpoint answers at the address.
    Replaced,
    /// The leader didn't send the order, for a reason of its own.
    NotSent,
    /// The order was not sent, since no connection could be established.
    Unreachable,
    /// No answer arrived. The order may have been carried out, or may be later.
    Unknown,
}

/// A run that an endpoint reports as executing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveRun {
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub number: u64,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Completed work, in percent.
    pub percent: u32,
    /// Tail latency in milliseconds, or CPU in use.
    pub gauge: u64,
}

/// A run that an endpoint reports as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Sequence number of the end, which increases within an incarnation of the endpoint.
    pub sequence: u64,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub number: u64,
    /// How the run ended.
    pub outcome: RunEnd,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Which of the ends that weren't acknowledged a report lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Coverage {
    /// All of them.
    Complete,
    /// The first ones, up to the endpoint's limit. There may be more.
    Cut,
}

/// An endpoint's report on its runs, returned in answer to a hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunReport {
    /// Start time of this incarnation of the endpoint, in milliseconds since the Unix
    /// epoch, if reported.
    pub born: Option<u64>,
    /// Reading of the endpoint's clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs that are executing.
    pub running: Vec<ActiveRun>,
    /// Runs that ended and whose ends haven't been acknowledged, in the order of their ends.
    pub ended: Vec<EndedRun>,
    /// Whether `ended` is complete.
    pub coverage: Coverage,
}

/// The result of a hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldOutcome {
    /// The endpoint reported its runs.
    Reported(RunReport),
    /// There is no report; holds the result of the order.
    NotReported(OrderOutcome),
}
