//! Callers: listener, requests, answers.

mod answer;
mod listener;
mod request;
mod status;
mod submit;

pub use answer::Answer;
pub use listener::{Listener, Options};
pub use request::Service;
pub use status::serve_status;
