//! What the process needs of the outside world.
//!
//! An adapter implements [`Platform`] and only translates: decisions, state and recovery
//! stay on this side.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use rhubarbrill_core::job::record::State;
use rhubarbrill_core::job::scheduler::{
    Held, Hold, Host, Maintenance, Move, Pace, Question, Ruling, Settled, Start, Stop,
    Wave, WaveState,
};
use rhubarbrill_core::job::{Configuration, Report, Spec};

/// Everything outside, as one deployment has it.
pub trait Platform: Clone + 'static {
    /// The store.
    type Store: Store;
    /// Orders to endpoints.
    type Endpoints: Endpoints;
    /// Orders for hosts.
    type Hosts: Hosts;
    /// Questions to the placement policy.
    type Policy: Policy;
    /// Calls between entry hosts.
    type Peers: Peers;
    /// Bodies that callers send and get.
    type Bodies: Bodies;

    /// Returns the store.
    fn store(&self) -> &Self::Store;
    /// Returns the way to endpoints.
    fn endpoints(&self) -> &Self::Endpoints;
    /// Returns the way to the hosts' platform.
    fn hosts(&self) -> &Self::Hosts;
    /// Returns the way to the placement policy.
    fn policy(&self) -> &Self::Policy;
    /// Returns the way to other entry hosts.
    fn peers(&self) -> &Self::Peers;
    /// Returns the form of bodies.
    fn bodies(&self) -> &Self::Bodies;
}

/// A call to the store without a usable answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// The call had no effect.
    #[error("not done: {0}")]
    NotDone(String),
    /// The call may have had, or may yet have, its effect.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The changes that a watch asked for are no longer kept.
    #[error("history no longer kept")]
    Compacted,
}

/// A part of the store that is read and followed by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Section {
    /// What operators write: the configuration, and waves.
    Operators,
    /// The endpoints' registrations.
    Registrations,
    /// The project's records whose keys begin so.
    Records(&'static str),
}

impl Section {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Registrations => "registrations",
            Self::Records(prefix) => prefix,
        }
    }
}

/// What an item of the store says.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The newest configuration.
    Configuration(Box<Configuration>),
    /// An endpoint's registration.
    Endpoint(Box<Report>),
    /// A wave that operators ask for.
    Wave(Wave),
    /// A record of the project.
    Record(Vec<u8>),
    /// Nothing that concerns the project.
    Foreign,
    /// An item that should concern the project and can't be read, with the reason.
    Unreadable(String),
}

/// An item of the store that was read or has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Its key.
    pub key: String,
    /// Store revision of the change.
    pub revision: u64,
    /// What it says now; nothing if it was removed.
    pub content: Option<Content>,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Store revision up to which there are no others.
    pub as_of: u64,
}

/// A part of the store's items.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The items, in order of key.
    pub items: Vec<Change>,
    /// Whether more items follow the last one.
    pub has_more: bool,
    /// Store revision when the page was read.
    pub as_of: u64,
}

/// What a key must look like for a transaction to take effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Revision of its last change; 0 if it mustn't exist.
    pub revision: u64,
}

/// What a transaction writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// A record of the project, which ends with the lease if there is one.
    Record {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease.
        lease: Option<u64>,
    },
    /// How far a wave is, for operators to read.
    WaveState(u64, WaveState),
}

/// A change of several keys at once, or of none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
    /// Keys that are removed.
    pub removals: Vec<String>,
}

/// The present state of a key that a condition named.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; nothing if the key doesn't exist.
    pub value: Option<Vec<u8>>,
    /// Revision of its last change; 0 if it doesn't exist.
    pub revision: u64,
}

/// How a transaction ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// It took effect at this revision.
    Done(u64),
    /// A condition didn't hold: the present state of the keys that conditions named.
    Conflict(Vec<Item>),
    /// A lease that it names doesn't exist.
    LeaseNotFound,
}

/// The store that holds what must last.
#[expect(async_fn_in_trait, reason = "every future stays on its thread")]
pub trait Store {
    /// Reads one key; nothing if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails without a usable answer.
    async fn get(&self, key: &str) -> Result<Option<Item>, Failure>;

    /// Reads the items of a section whose keys follow `after`.
    ///
    /// # Errors
    ///
    /// Fails without a usable answer.
    async fn list(&self, section: Section, after: Option<&str>) -> Result<Page, Failure>;

    /// Waits for changes of a section after a revision, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails without a usable answer, and if the history is no longer kept.
    async fn watch(
        &self,
        section: Section,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, Failure>;

    /// Changes several keys if all conditions hold.
    ///
    /// # Errors
    ///
    /// Fails without a usable answer; the failure tells whether it may have taken effect.
    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, Failure>;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Fails without a usable answer.
    async fn grant(&self, ttl: Duration) -> Result<Lease, Failure>;

    /// Renews a lease; false if it has ended.
    ///
    /// # Errors
    ///
    /// Fails without a usable answer.
    async fn renew(&self, lease: u64) -> Result<bool, Failure>;

    /// Ends a lease, and removes its keys.
    ///
    /// # Errors
    ///
    /// Fails without a usable answer.
    async fn revoke(&self, lease: u64) -> Result<(), Failure>;
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Its number.
    pub id: u64,
    /// The term that the store applies.
    pub ttl: Duration,
}

/// Orders to endpoints.
#[expect(async_fn_in_trait, reason = "every future stays on its thread")]
pub trait Endpoints {
    /// Starts a run.
    async fn start(&self, order: &Start) -> Settled;
    /// Stops a run.
    async fn stop(&self, order: &Stop) -> Settled;
    /// Renews leases and asks what runs.
    async fn hold(&self, order: &Hold) -> Held;
    /// Sets the pace of a run.
    async fn pace(&self, order: &Pace) -> Settled;
}

/// How an order for a host ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostOrderOutcome {
    /// It was accepted, now or before.
    Accepted,
    /// It was refused and had no effect.
    Refused(&'static str),
    /// Nothing is known.
    Unknown,
}

/// Orders for hosts.
#[expect(async_fn_in_trait, reason = "every future stays on its thread")]
pub trait Hosts {
    /// Lists all hosts.
    ///
    /// # Errors
    ///
    /// Fails without a usable answer.
    async fn list(&self) -> Result<Vec<Host>, Failure>;
    /// Moves a host to another pool; `fence` is the leader's token.
    async fn move_host(&self, order: &Move, fence: u64) -> HostOrderOutcome;
    /// Begins a host's maintenance; `fence` is the leader's token.
    async fn begin_maintenance(
        &self,
        order: &Maintenance,
        fence: u64,
    ) -> HostOrderOutcome;
}

/// Questions to the placement policy.
#[expect(async_fn_in_trait, reason = "every future stays on its thread")]
pub trait Policy {
    /// Asks which endpoints may run a step.
    async fn ask(&self, question: &Question) -> Ruling;
}

/// Calls between entry hosts, in the project's own form.
#[expect(async_fn_in_trait, reason = "every future stays on its thread")]
pub trait Peers {
    /// Calls another entry host and returns the body of its answer.
    ///
    /// # Errors
    ///
    /// Fails without a usable answer; the failure tells whether the call may have had its
    /// effect.
    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, Failure>;
}

/// Bodies that callers send and get.
pub trait Bodies {
    /// Reads a submitted job.
    ///
    /// # Errors
    ///
    /// Fails with what is wrong, for the caller to read.
    fn job(&self, body: &[u8]) -> Result<Spec, String>;
    /// Writes a job's state.
    fn state(&self, state: State) -> Vec<u8>;
    /// Writes the number of a queue's jobs that haven't started.
    fn pending(&self, count: usize) -> Vec<u8>;
    /// Writes why a request was refused.
    fn refusal(&self, reason: &str) -> Vec<u8>;
    /// Returns the media type of all bodies.
    fn media_type(&self) -> &'static str;
}
