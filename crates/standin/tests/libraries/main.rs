//! Tests of the behaviour of the HTTP libraries that the design relies on.
//!
//! A case that fails after an upgrade shows that the library has changed, and that the
//! design has to be checked against the change; docs/design/platform.md lists what
//! depends on each behaviour.

mod hyper_client;
mod hyper_server;
mod rouille_server;
mod ureq_client;
mod wire;
