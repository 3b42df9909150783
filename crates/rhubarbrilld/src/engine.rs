//! Shares the gate, which admits and schedules requests, among tasks.

mod permit;
mod shared;

pub use permit::{Attempt, Permit};
pub use shared::Engine;
