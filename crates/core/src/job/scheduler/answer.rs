//! What endpoints answer to orders.

use crate::job::{End, Name};

/// Why an endpoint did nothing on an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// It has seen the token of a later leader.
    Fenced,
    /// A run with this number or a higher one was there already.
    StaleNumber,
    /// The lease was over before it began.
    LeaseOver,
    /// The run doesn't fit.
    NoRoom,
    /// The placement policy's permission is missing or over.
    NoPermission,
    /// The endpoint is unhealthy.
    Unhealthy,
    /// The order can't be read.
    Malformed,
}

impl Rejection {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::StaleNumber => "stale run number",
            Self::LeaseOver => "lease over",
            Self::NoRoom => "no room",
            Self::NoPermission => "no permission",
            Self::Unhealthy => "endpoint unhealthy",
            Self::Malformed => "order malformed",
        }
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settled {
    /// The endpoint carried it out; its clock's reading in milliseconds.
    Done(Option<u64>),
    /// The endpoint did nothing; its clock's reading in milliseconds.
    Rejected(Rejection, Option<u64>),
    /// Another life of an endpoint answers at the address.
    Replaced,
    /// The order was not sent, for a reason of our own.
    NotSent,
    /// No connection could be made, so the order was not sent.
    Unreachable,
    /// No answer came; the order may be carried out, now or later.
    Unknown,
}

/// A run that an endpoint lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Name of the task.
    pub name: Name,
    /// Number of the run.
    pub number: u64,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Work done, in percent.
    pub percent: u32,
    /// Tail latency in milliseconds, or processor in use.
    pub gauge: u64,
}

/// An end that an endpoint lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndRow {
    /// Number of the end, rising within a life of the endpoint.
    pub sequence: u64,
    /// Name of the task.
    pub name: Name,
    /// Number of the run.
    pub number: u64,
    /// How it ended.
    pub how: End,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// What an endpoint reports of its runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// When this life of the endpoint began, in milliseconds since the Unix epoch, if told.
    pub born: Option<u64>,
    /// Reading of its clock in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<Row>,
    /// What ended and wasn't acknowledged.
    pub ended: Vec<EndRow>,
}

/// What became of an order to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Held {
    /// The endpoint reported its runs.
    Reported(Reply),
    /// The order was settled without a report.
    Not(Settled),
}
