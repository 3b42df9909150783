//! Workspaces, and the access keys that operators grant to them.

slotmap::new_key_type! {
    /// Names a workspace in its arena.
    pub struct WorkspaceKey;
    /// Names an access key in its arena.
    pub struct AccessKeyKey;
}

/// A workspace that owns requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Weight of the workspace's share when a pool is full.
    pub share: u32,
    /// Most requests of the workspace that may run at once, over the whole fleet.
    pub limit: u32,
    /// What an entry host does for the workspace while it is cut off.
    pub when_disconnected: DisconnectedPolicy,
}

/// What an entry host does for a workspace while no fresh configuration can reach it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisconnectedPolicy {
    /// Goes on serving with the last configuration.
    Serve,
    /// Refuses once the configuration is older than the staleness bound.
    Refuse,
}

/// An access key, kept as a salted hash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccessKey {
    /// The workspace whose requests the key admits.
    pub workspace: WorkspaceKey,
    /// Salt that was hashed before the secret.
    pub salt: Vec<u8>,
    /// SHA-256 of the salt and the secret.
    pub digest: [u8; 32],
}
