//! Pools of hosts and their disruption budgets.

slotmap::new_key_type! {
    /// Identifies a pool in its arena.
    pub struct PoolKey;
}

/// A declared pool of hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Limits on how many hosts may be out of service at once.
    pub budget: Budget,
    /// Whether other pools may take hosts from this one.
    pub spare: bool,
}

/// The maximum number of hosts of a pool that may be out of service at once.
///
/// Failed hosts count as well as hosts under maintenance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    /// Maximum in the whole pool.
    pub max_out: u32,
    /// Maximum in one rack.
    pub max_out_per_rack: u32,
    /// Maximum in one availability zone.
    pub max_out_per_zone: u32,
}
