//! Keys of the project's own records in the store.

/// Start of every key.
const ROOT: &str = "rhubarbrill/";

/// Key of the leader's record, which ends with the leader's lease.
pub const LEADER: &str = "rhubarbrill/leader";

/// Key of the record that counts terms.
pub const TERM: &str = "rhubarbrill/term";

/// Key of the record of orders for hosts.
pub const ORDERS: &str = "rhubarbrill/orders";

/// A record of the project.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Key {
    /// The leader.
    Leader,
    /// The count of terms.
    Term,
    /// Hosts that were given orders lately.
    Orders,
    /// A submitted job, by its identity.
    Job(String),
    /// A job's progress, by its identity.
    Progress(String),
    /// A job's cancellation, by its identity.
    Cancellation(String),
    /// The hosts of a wave that have had their maintenance, by its number.
    Wave(u64),
}

/// Returns the key of a submitted job.
pub fn job(id: &str) -> String {
    format!("{ROOT}job/{id}")
}

/// Returns the key of a job's progress.
pub fn progress(id: &str) -> String {
    format!("{ROOT}progress/{id}")
}

/// Returns the key of a job's cancellation.
pub fn cancellation(id: &str) -> String {
    format!("{ROOT}cancel/{id}")
}

/// Returns the key of a wave's record.
pub fn wave(number: u64) -> String {
    format!("{ROOT}wave/{number}")
}

/// Reads a key of the project, if it is one.
pub fn parse(key: &str) -> Option<Key> {
    let rest = key.strip_prefix(ROOT)?;
    match rest.split_once('/') {
        None if rest == "leader" => Some(Key::Leader),
        None if rest == "term" => Some(Key::Term),
        None if rest == "orders" => Some(Key::Orders),
        Some(("job", id)) => Some(Key::Job(id.to_owned())),
        Some(("progress", id)) => Some(Key::Progress(id.to_owned())),
        Some(("cancel", id)) => Some(Key::Cancellation(id.to_owned())),
        Some(("wave", number)) => number.parse().ok().map(Key::Wave),
        _ => None,
    }
}
