//! Types generated from the JSON Schemas; not to be edited by hand.

#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod etcd;
#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod hosts;
#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod problem;
