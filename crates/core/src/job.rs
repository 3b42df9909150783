//! Scheduling of jobs, whose steps consist of tasks that run on endpoints under leases.
//!
//! A single leader at a time assigns tasks to endpoints. [`Scheduler`] holds the leader's
//! state. It performs no I/O: the caller feeds in replies and store updates, and
//! [`Scheduler::poll`] returns the commands that follow from them.

mod acknowledgement;
mod clock;
pub mod configuration;
pub mod crash;
mod declared;
mod endpoint;
pub mod estimate;
mod feature;
mod fence;
mod gang;
pub mod host_order;
pub mod leader;
mod live;
pub mod order_rate;
mod orphan;
mod rate_limit;
pub mod record;
pub mod refusal;
mod refused_save;
mod resource;
mod run;
pub mod scheduler;
mod spans;
pub mod spec;
pub mod tombstone;
pub mod watch_progress;

pub use clock::longest_lease;
pub use configuration::Configuration;
pub use declared::{Declared, QueueValues};
pub use endpoint::{Departure, Endpoint, EndpointKey, Registration, Target};
pub use estimate::Estimate;
pub use feature::{Feature, Features};
pub use live::{JobKey, TaskRef};
pub use orphan::{Orphan, Orphans};
pub use record::{Progress, Record, State, Submission};
pub use resource::Resource;
pub use run::{RunEnd, RunKey, TaskName};
pub use scheduler::{Command, Scheduler};
pub use spec::{Spec, Step};
pub use tombstone::Tombstone;
