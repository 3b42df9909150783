//! Declared workspaces and the access keys that operators grant to them.

slotmap::new_key_type! {
    /// Identifies a workspace in its arena.
    pub struct WorkspaceKey;
    /// Identifies an access key in its arena.
    pub struct AccessKeyKey;
}

/// A declared workspace, against whose limit its requests are counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Weight of the workspace when workspaces compete for a full pool.
    pub share: u32,
    /// Maximum number of requests of the workspace that run at once in the whole fleet.
    pub limit: u32,
    /// What an entry host does with requests of the workspace while it receives no fresh
    /// configuration.
    pub when_disconnected: DisconnectedPolicy,
}

/// What an entry host does with requests of a workspace while no fresh configuration
/// reaches it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisconnectedPolicy {
    /// Continues to serve them with the last known configuration.
    Serve,
    /// Refuses them once the configuration is older than the staleness bound.
    Refuse,
}

/// An access key, stored as a salted hash of its secret.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccessKey {
    /// The workspace against which requests with the key are counted.
    pub workspace: WorkspaceKey,
    /// The salt, which is hashed before the secret.
    pub salt: Vec<u8>,
    /// The SHA-256 digest of the salt followed by the secret.
    pub digest: [u8; 32],
}
