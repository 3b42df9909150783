//! Runs jobs: takes them from callers, keeps them in the store, and leads the endpoints.
//!
//! Every entry host runs the same process. Each follows the store and answers callers; one
//! of them leads, by a lease in the store, and gives orders to endpoints and hosts. What the
//! outside world speaks is behind the traits of [`platform`].

pub mod clock;
mod event;
mod front;
mod key;
mod lead;
pub mod listener;
mod metrics;
mod node;
pub mod platform;
mod process;
pub mod settings;
mod sync;
mod view;

pub use process::run;
pub use settings::Settings;
