//! Records that the daemon and the command line keep in the platform's store: allowances,
//! claims, the configuration and the maintenance ledger.

pub mod allowance;
pub mod claim;
pub mod configuration;
pub mod maintenance;
