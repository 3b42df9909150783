//! Requests to endpoints: connections, sending and answers.

mod body;
mod client;
mod connection;
mod failure;

pub use body::{BodyError, ResponseBody};
pub use client::{Call, Client, Options, Reuse};
pub use failure::{Failure, Reason};
