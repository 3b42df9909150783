//! HTTP interface for callers, the load balancer and other entry hosts.

mod admission;
mod answer;
mod forwarding;
pub(crate) mod hand_over;
mod request;
mod status;
mod submit;

pub use answer::Answer;
pub use request::Service;
pub use status::{serve_internal, serve_readiness};
