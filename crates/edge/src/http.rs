//! HTTP client settings for calls to the platform.

use std::time::Duration;

use ureq::Agent;

/// Time for which an idle connection stays in the pool for reuse.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Returns an HTTP agent that follows no redirects, uses no proxy and returns responses
/// of every status instead of errors.
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
