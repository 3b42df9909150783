//! Callers: listener, requests, answers.

mod answer;
mod forwarding;
mod request;
mod status;
mod submit;

pub use answer::Answer;
pub use request::Service;
pub use status::{serve_internal, serve_readiness};
