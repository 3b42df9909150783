//! Accepts jobs from callers, stores them and schedules them on endpoints.
//!
//! Every entry host runs the same process. Each process watches the store and answers
//! callers. One of them is the leader, under a lease in the store, and sends orders to
//! endpoints and hosts. The protocols of external systems are hidden behind the traits of
//! [`platform`].

pub mod clock;
pub mod evacuation;
mod event;
mod fault;
mod front;
mod key;
mod lead;
pub mod listener;
mod metrics;
mod node;
pub mod platform;
mod presence;
mod process;
pub mod settings;
mod store_call;
mod supervisor;
mod sync;
mod view;

pub use process::run;
pub use settings::Settings;
