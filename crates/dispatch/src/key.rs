//! Keys of the project's own records in the store.
//!
//! They lie in three sections, since links of entry hosts may be narrow: what every process
//! follows is small, submitted jobs are followed by the leader alone, and what only a new
//! leader needs is followed by nobody.

/// Start of the keys that every process follows.
pub const SHARED_PREFIX: &str = "rhubarbrill/shared/";

/// Start of the keys that the leader follows.
pub const JOBS_PREFIX: &str = "rhubarbrill/job/";

/// Start of the keys that a new leader reads once.
pub const KEPT_PREFIX: &str = "rhubarbrill/kept/";

/// Key of the leader's record, which ends with the leader's lease.
pub const LEADER: &str = "rhubarbrill/shared/leader";

/// Key of the record that counts terms.
pub const TERM: &str = "rhubarbrill/shared/term";

/// Key of the numbers of jobs that wait in each queue.
pub const PENDING: &str = "rhubarbrill/shared/pending";

/// Key of the record of orders for hosts.
pub const ORDERS: &str = "rhubarbrill/kept/orders";

/// A record of the project.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Key {
    /// The leader.
    Leader,
    /// The count of terms.
    Term,
    /// How many jobs wait in each queue.
    Pending,
    /// The state of a job that has begun, by its identity.
    State(String),
    /// A job's cancellation, by its identity.
    Cancellation(String),
    /// A submitted job that isn't over, by its identity.
    Job(String),
    /// The progress of a job that isn't over, by its identity.
    Progress(String),
    /// Hosts that were given orders lately.
    Orders,
    /// The hosts of a wave that have had their maintenance, by its number.
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

/// Returns the key of a submitted job.
pub fn job(id: &str) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Returns the key of a job's progress.
pub fn progress(id: &str) -> String {
    format!("{KEPT_PREFIX}progress/{id}")
}

/// Returns the key of a wave's record.
pub fn wave(number: u64) -> String {
    format!("{KEPT_PREFIX}wave/{number}")
}

/// Reads a key of the project, if it is one.
pub fn parse(key: &str) -> Option<Key> {
    if let Some(id) = key.strip_prefix(JOBS_PREFIX) {
        return Some(Key::Job(id.to_owned()));
    }
    if let Some(rest) = key.strip_prefix(SHARED_PREFIX) {
        return match rest.split_once('/') {
            None if rest == "leader" => Some(Key::Leader),
            None if rest == "term" => Some(Key::Term),
            None if rest == "pending" => Some(Key::Pending),
            Some(("state", id)) => Some(Key::State(id.to_owned())),
            Some(("cancel", id)) => Some(Key::Cancellation(id.to_owned())),
            _ => None,
        };
    }
    let rest = key.strip_prefix(KEPT_PREFIX)?;
    match rest.split_once('/') {
        None if rest == "orders" => Some(Key::Orders),
        Some(("progress", id)) => Some(Key::Progress(id.to_owned())),
        Some(("wave", number)) => number.parse().ok().map(Key::Wave),
        _ => None,
    }
}
