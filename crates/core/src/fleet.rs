//! The declared fleet: workspaces, pools, hosts, queues and keys.
//!
//! A [`Fleet`] is one configuration revision in typed form. Entries live in arenas and
//! are named by small `Copy` keys. A key stays valid across revisions for as long as the
//! entry's name stays declared, so run-time state may be indexed by it.

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

/// One configuration revision in typed form.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The revision these declarations belong to; zero before the first one.
    pub revision: u64,
    /// Availability zones.
    pub zones: Arena<ZoneKey, Zone>,
    /// Workspaces that own requests.
    pub workspaces: Arena<WorkspaceKey, Workspace>,
    /// Pools of hosts.
    pub pools: Arena<PoolKey, Pool>,
    /// Endpoint hosts.
    pub hosts: Arena<HostKey, Host>,
    /// Queues that callers send to.
    pub queues: Arena<QueueKey, Queue>,
    /// Access keys that callers present.
    pub access_keys: Arena<AccessKeyKey, AccessKey>,
}
