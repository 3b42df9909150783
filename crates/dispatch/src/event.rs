//! Structured log events, one for each decision and each observed change of state.

use std::time::Duration;

use rhubarbrill_event::{Event, Severity};
use slog::Logger;

/// Logs an event with its number. `fields` holds the inputs of the decision.
pub fn log<T>(log: &Logger, event: Event, fields: slog::OwnedKV<T>)
where
    T: slog::SendSyncRefUnwindSafeKV + 'static,
{
    let number = event.number();
    let name = event.name();
    match event.severity() {
        Severity::Info => slog::info!(log, "{}", name; "event" => number, fields),
        Severity::Warning => slog::warn!(log, "{}", name; "event" => number, fields),
        Severity::Alarm => slog::error!(log, "{}", name; "event" => number, fields),
    }
}

/// Returns a duration in milliseconds, for a field of an event.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
