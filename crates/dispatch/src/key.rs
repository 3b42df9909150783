//! Keys of the records that Rhubarbrill writes to the store.
//!
//! The keys form three sections, because the links of entry hosts may have little
//! bandwidth. The section that every process watches is small, submitted jobs are watched
//! by the leader alone, and the data that only a new leader needs is watched by no
//! process.

/// Prefix of the keys that every process watches.
pub const SHARED_PREFIX: &str = "rhubarbrill/shared/";

/// Prefix of the keys that only the leader watches.
pub const JOBS_PREFIX: &str = "rhubarbrill/job/";

/// Prefix of the keys that a new leader reads once.
pub const KEPT_PREFIX: &str = "rhubarbrill/kept/";

/// Key of the leader's record, which is removed when the leader's lease ends.
pub const LEADER: &str = "rhubarbrill/shared/leader";

/// Key of the record that counts terms.
pub const TERM: &str = "rhubarbrill/shared/term";

/// Key of the record of how many jobs wait in each queue.
pub const PENDING: &str = "rhubarbrill/shared/pending";

/// Key of the leader's estimate of when new jobs start.
pub const ESTIMATE: &str = "rhubarbrill/shared/estimate";

/// Key of the record of recent orders for hosts.
pub const ORDERS: &str = "rhubarbrill/kept/orders";

/// A parsed key of a record that Rhubarbrill writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Key {
    /// Record of the current leader.
    Leader,
    /// Term counter.
    Term,
    /// Number of jobs that wait in each queue.
    Pending,
    /// Internal address of an entry host, by its name.
    Entry(String),
    /// Estimate of when new jobs start.
    Estimate,
    /// State of a job that has started, by job ID.
    State(String),
    /// Cancellation of a job, by job ID.
    Cancellation(String),
    /// Submitted job that hasn't finished, by job ID.
    Job(String),
    /// Progress of a job that hasn't finished, by job ID.
    Progress(String),
    /// Runs of a finished job that may be executing, by job ID.
    Orphans(String),
    /// Progress of the evacuation of a zone, by its name.
    Evacuation(String),
    /// Hosts that recently received orders.
    Orders,
    /// Hosts of a wave whose maintenance has begun, by wave number.
    Wave(u64),
}

/// Returns the key of a job's state.
pub fn state(id: &str) -> String {
    format!("{SHARED_PREFIX}state/{id}")
}

/// Returns the key of a job's cancellation.
pub fn cancellation(id: &str) -> String {
    format!("{SHARED_PREFIX}cancel/{id}")
}

/// Returns the key of an entry host's internal address.
pub fn entry(name: &str) -> String {
    format!("{SHARED_PREFIX}entry/{name}")
}

/// Returns the key of a submitted job.
pub fn job(id: &str) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Returns the key of a job's progress.
pub fn progress(id: &str) -> String {
    format!("{KEPT_PREFIX}progress/{id}")
}

/// Returns the key of the runs of a finished job.
pub fn orphans(id: &str) -> String {
    format!("{KEPT_PREFIX}orphans/{id}")
}

/// Returns the key of a wave's record.
pub fn wave(number: u64) -> String {
    format!("{KEPT_PREFIX}wave/{number}")
}

/// Returns the key of the progress of an evacuation.
pub fn evacuation(zone: &str) -> String {
    format!("{SHARED_PREFIX}evacuation/{zone}")
}

/// Parses a key. Returns `None` if it is not a key of a record that Rhubarbrill writes.
pub fn parse(key: &str) -> Option<Key> {
    if let Some(id) = key.strip_prefix(JOBS_PREFIX) {
        return Some(Key::Job(id.to_owned()));
    }
    if let Some(rest) = key.strip_prefix(SHARED_PREFIX) {
        return match rest.split_once('/') {
            None if rest == "leader" => Some(Key::Leader),
            None if rest == "term" => Some(Key::Term),
            None if rest == "pending" => Some(Key::Pending),
            None if rest == "estimate" => Some(Key::Estimate),
            Some(("state", id)) => Some(Key::State(id.to_owned())),
            Some(("cancel", id)) => Some(Key::Cancellation(id.to_owned())),
            Some(("evacuation", zone)) => Some(Key::Evacuation(zone.to_owned())),
            Some(("entry", name)) => Some(Key::Entry(name.to_owned())),
            _ => None,
        };
    }
    let rest = key.strip_prefix(KEPT_PREFIX)?;
    match rest.split_once('/') {
        None if rest == "orders" => Some(Key::Orders),
        Some(("progress", id)) => Some(Key::Progress(id.to_owned())),
        Some(("orphans", id)) => Some(Key::Orphans(id.to_owned())),
        Some(("wave", number)) => number.parse().ok().map(Key::Wave),
        _ => None,
    }
}
