//! HTTP client for endpoints: connections, requests and responses.

mod body;
mod client;
mod connection;
mod failure;

pub use body::{BodyError, ResponseBody};
pub use client::{Call, Client, Options, Reuse};
pub use failure::{Failure, Reason};
