//! How HTTP calls to the platform are set up.

use std::time::Duration;

use ureq::Agent;

/// Time that a connection may wait unused for the next call.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Returns an agent that follows no redirects and uses no proxy.
pub(crate) fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_age(MAX_IDLE_AGE)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .build()
        .into()
}
