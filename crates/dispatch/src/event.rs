//! Log lines: one for each decision and each change of what the process believes.

use rhubarbrill_event::{Event, Severity};
use slog::Logger;

/// Logs a numbered event with the inputs that decided, in fields.
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
