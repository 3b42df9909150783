//! HTTP interface for callers, the load balancer and other entry hosts.

mod admission;
mod answer;
mod cancel;
mod forwarding;
pub(crate) mod hand_over;
mod lookup;
mod request;
mod status;
mod stored;
mod submit;

pub use answer::Answer;
pub use request::Service;
pub use status::{serve_internal, serve_readiness};
