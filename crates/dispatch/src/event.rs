//! Structured log events, one for each decision and each observed change of state.

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
