//! The declared fleet: zones, workspaces, pools, hosts, queues and access keys.
//!
//! A [`Fleet`] is the typed form of one configuration revision. Its entries are stored in
//! arenas and identified by small `Copy` keys. A key stays valid across revisions for as
//! long as the entry's name stays declared, so runtime state may be indexed by it.

mod arena;
mod host;
mod pool;
mod queue;
mod workspace;
mod zone;

pub use arena::Arena;
pub use host::{Host, HostKey};
pub use pool::{Budget, Pool, PoolKey};
pub use queue::{Access, Queue, QueueKey};
pub use workspace::{
    AccessKey, AccessKeyKey, DisconnectedPolicy, Workspace, WorkspaceKey,
};
pub use zone::{Zone, ZoneKey};

/// The typed form of one configuration revision.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The number of the configuration revision; zero before the first one.
    pub revision: u64,
    /// Availability zones, by name.
    pub zones: Arena<ZoneKey, Zone>,
    /// Workspaces, against whose limits requests are counted.
    pub workspaces: Arena<WorkspaceKey, Workspace>,
    /// Pools of endpoint hosts.
    pub pools: Arena<PoolKey, Pool>,
    /// Hosts that run an endpoint.
    pub hosts: Arena<HostKey, Host>,
    /// Queues that callers send to.
    pub queues: Arena<QueueKey, Queue>,
    /// Access keys that callers present.
    pub access_keys: Arena<AccessKeyKey, AccessKey>,
}
