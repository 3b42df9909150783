//! Interfaces to the external systems that the process depends on.
//!
//! An adapter implements [`Platform`]. It only translates: decisions, state and recovery
//! stay in this crate.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use rhubarbrill_core::job::record::State;
use rhubarbrill_core::job::scheduler::{
    Hold, HoldOutcome, Host, Maintenance, Move, OrderOutcome, Pace, PolicyAnswer,
    PolicyQuestion, Start, Stop, Wave, WaveState,
};
use rhubarbrill_core::job::{Configuration, Registration, Spec};

/// The external systems of one deployment.
pub trait Platform: Clone + 'static {
    /// Client of the key-value store.
    type Store: Store;
    /// Client that sends orders to endpoints.
    type Endpoints: Endpoints;
    /// Client of the platform API that lists, moves and maintains hosts.
    type Hosts: Hosts;
    /// Client of the placement policy service.
    type Policy: Policy;
    /// Client for calls to other entry hosts.
    type Peers: Peers;
    /// Codec for the request and response bodies of callers.
    type Bodies: Bodies;

    /// Returns the client of the key-value store.
    fn store(&self) -> &Self::Store;
    /// Returns the client that sends orders to endpoints.
    fn endpoints(&self) -> &Self::Endpoints;
    /// Returns the client of the platform API for hosts.
    fn hosts(&self) -> &Self::Hosts;
    /// Returns the client of the placement policy service.
    fn policy(&self) -> &Self::Policy;
    /// Returns the client for calls to other entry hosts.
    fn peers(&self) -> &Self::Peers;
    /// Returns the codec for callers' request and response bodies.
    fn bodies(&self) -> &Self::Bodies;
}

/// Why a call to an external system returned no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// The call had no effect.
    #[error("not done: {0}")]
    NotDone(String),
    /// The call may already have taken effect, or may still do so.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The store no longer retains the revisions that a watch asked for.
    #[error("history no longer kept")]
    Compacted,
    /// The changes that a watch asked for take longer to receive than a call may last.
    #[error("changes too long to receive")]
    TooLong,
}

/// A range of the store's keys that is listed and watched separately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Section {
    /// The part of the operators' keys that requests evacuations of zones.
    Evacuations,
    /// Keys that operators write: the configuration, maintenance waves and evacuations.
    Operators,
    /// Registrations of endpoints.
    Registrations,
    /// Records that Rhubarbrill itself writes, under this key prefix.
    Records(&'static str),
}

impl Section {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Evacuations => "evacuations",
            Self::Operators => "operators",
            Self::Registrations => "registrations",
            Self::Records(prefix) => prefix,
        }
    }
}

/// A request of operators to evacuate a zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evacuation {
    /// Name of the zone.
    pub zone: String,
    /// What is wrong with the value of the item. The request holds nevertheless.
    pub mistake: Option<String>,
}

/// The decoded content of an item in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The newest configuration.
    Configuration(Box<Configuration>),
    /// The registration of an endpoint.
    Endpoint(Box<Registration>),
    /// A zone that operators want to be evacuated.
    Evacuation(Evacuation),
    /// A maintenance wave that operators requested.
    Wave(Wave),
    /// The encoded value of a record that Rhubarbrill itself writes.
    Record(Vec<u8>),
    /// An item that is irrelevant to Rhubarbrill.
    Foreign,
    /// A relevant item that can't be decoded, with the reason.
    Unreadable(String),
}

/// An item of the store as listed, or a change to it as reported by a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key of the item.
    pub key: String,
    /// Store revision of the change.
    pub revision: u64,
    /// Content after the change; `None` if the item was removed.
    pub content: Option<Content>,
}

/// All changes of a section up to a store revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The changes, in the order in which they are to be applied.
    pub changes: Vec<Change>,
    /// Store revision up to which `changes` is complete.
    pub as_of: u64,
}

/// One page of a section's items.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The items, sorted by key.
    pub items: Vec<Change>,
    /// Whether more items follow the last one.
    pub has_more: bool,
    /// Store revision at which the page was read.
    pub as_of: u64,
}

/// A precondition of a transaction on the revision of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// Key that the condition checks.
    pub key: String,
    /// Required revision of the key's last change; 0 if the key must not exist.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Writes a record of Rhubarbrill. With a lease, the record is removed when the lease
    /// ends.
    Record {
        /// Key of the record.
        key: String,
        /// Encoded value of the record.
        value: Vec<u8>,
        /// ID of the lease that the record is attached to.
        lease: Option<u64>,
    },
    /// Publishes the state of the wave with this number for operators.
    WaveState(u64, WaveState),
}

/// A conditional transaction: either all writes and removals take effect, or none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// The current value and revision of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key of the item.
    pub key: String,
    /// Current value; `None` if the key doesn't exist.
    pub value: Option<Vec<u8>>,
    /// Revision of the key's last change; 0 if the key doesn't exist.
    pub revision: u64,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The transaction took effect at this store revision.
    Done(u64),
    /// A condition didn't hold. Contains the current state of the keys in the conditions.
    Conflict(Vec<Item>),
    /// The transaction names a lease that doesn't exist.
    LeaseNotFound,
    /// The store refused the transaction for this reason, had no effect, and would refuse it
    /// again, as a value is too large, for example.
    Refused(String),
}

/// The key-value store that holds all durable state.
#[expect(
    async_fn_in_trait,
    reason = "futures run on a single-threaded executor and need no Send bound"
)]
pub trait Store {
    /// Reads one key, and waits for the answer until `timeout` has passed. Returns `None`
    /// if the key doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    async fn get(&self, key: &str, timeout: Duration) -> Result<Option<Item>, Failure>;

    /// Reads a page of the items of a section whose keys follow `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    async fn list(&self, section: Section, after: Option<&str>) -> Result<Page, Failure>;

    /// Waits at most `wait` for changes of a section after the revision `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer, and [`Failure::Compacted`] if the
    /// store no longer retains the requested revisions.
    async fn watch(
        &self,
        section: Section,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, Failure>;

    /// Applies a transaction if all of its conditions hold, and waits for the answer until
    /// `timeout` has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer. The variant tells whether the
    /// transaction may have taken effect.
    async fn commit(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Result<CommitOutcome, Failure>;

    /// Grants a lease. The store may apply a different TTL than the requested one.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    async fn grant(&self, ttl: Duration) -> Result<Lease, Failure>;

    /// Renews a lease, and waits for the answer until `timeout` has passed. Returns
    /// `false` if the lease has already ended.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    async fn renew(&self, lease: u64, timeout: Duration) -> Result<bool, Failure>;

    /// Ends a lease and removes the keys that are attached to it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    async fn revoke(&self, lease: u64) -> Result<(), Failure>;
}

/// A lease that the store granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// ID that the store assigned to the lease.
    pub id: u64,
    /// TTL that the store applies.
    pub ttl: Duration,
}

/// Sends orders to endpoints.
///
/// Each order waits for its answer until `timeout` has passed.
#[expect(
    async_fn_in_trait,
    reason = "futures run on a single-threaded executor and need no Send bound"
)]
pub trait Endpoints {
    /// Orders an endpoint to start a run.
    async fn start(&self, order: &Start, timeout: Duration) -> OrderOutcome;
    /// Orders an endpoint to stop a run.
    async fn stop(&self, order: &Stop, timeout: Duration) -> OrderOutcome;
    /// Renews the leases of an endpoint's runs and asks which runs are active or have
    /// ended. The time for which the endpoint may wait comes on top of `timeout`.
    async fn hold(&self, order: &Hold, timeout: Duration) -> HoldOutcome;
    /// Sets the pace of a run.
    async fn pace(&self, order: &Pace, timeout: Duration) -> OrderOutcome;
}

/// The outcome of an order for a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostOrderOutcome {
    /// The platform accepted the order, now or earlier.
    Accepted,
    /// The order was refused, for this reason, and had no effect.
    Refused(&'static str),
    /// No answer arrived, so the order may or may not have taken effect.
    Unknown,
}

/// Lists hosts and sends orders for them.
#[expect(
    async_fn_in_trait,
    reason = "futures run on a single-threaded executor and need no Send bound"
)]
pub trait Hosts {
    /// Lists all hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    async fn list(&self) -> Result<Vec<Host>, Failure>;
    /// Moves a host to another pool. `fence` is the leader's fencing token.
    async fn move_host(&self, order: &Move, fence: u64) -> HostOrderOutcome;
    /// Begins the maintenance of a host. `fence` is the leader's fencing token.
    async fn begin_maintenance(
        &self,
        order: &Maintenance,
        fence: u64,
    ) -> HostOrderOutcome;
}

/// Queries the placement policy.
#[expect(
    async_fn_in_trait,
    reason = "futures run on a single-threaded executor and need no Send bound"
)]
pub trait Policy {
    /// Asks which endpoints may run a step.
    async fn ask(&self, question: &PolicyQuestion) -> PolicyAnswer;
}

/// Calls other entry hosts, with messages in Rhubarbrill's own format.
#[expect(
    async_fn_in_trait,
    reason = "futures run on a single-threaded executor and need no Send bound"
)]
pub trait Peers {
    /// Calls another entry host and returns the body of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer. The variant tells whether the call
    /// may have taken effect.
    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, Failure>;
}

/// Decodes and encodes the bodies that callers send and receive.
pub trait Bodies {
    /// Decodes a submitted job.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem, which is shown to the caller.
    fn job(&self, body: &[u8]) -> Result<Spec, String>;
    /// Encodes the state of a job, and why it waits if that is known.
    fn state(&self, state: State, reason: Option<&'static str>) -> Vec<u8>;
    /// Encodes the number of jobs of a queue that haven't started, and why they wait if
    /// that is known.
    fn pending(&self, count: usize, reason: Option<&'static str>) -> Vec<u8>;
    /// Encodes the reason why a request was refused.
    fn refusal(&self, reason: &str) -> Vec<u8>;
    /// Returns the media type of all bodies.
    fn media_type(&self) -> &'static str;
}
