//! Jobs: steps of tasks that run on endpoints under leases.
//!
//! One leader at a time decides which endpoint runs which task. [`Scheduler`] holds what
//! the leader knows; answers and facts go in, and [`Scheduler::poll`] returns the commands
//! that follow from them.

pub mod configuration;
mod endpoint;
mod live;
pub mod record;
mod resource;
mod run;
pub mod scheduler;
pub mod spec;

pub use configuration::Configuration;
pub use endpoint::{Endpoint, EndpointKey, Report, Target};
pub use live::{JobKey, TaskRef};
pub use record::{Progress, Record, State, Submission};
pub use resource::Resource;
pub use run::{End, Name, RunKey};
pub use scheduler::{Command, Scheduler};
pub use spec::{Spec, Step};
