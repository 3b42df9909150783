//! Logging of numbered events, as text or JSON with one line per event.

use std::fmt::Display;

use rhubarbrill_config::settings::{Format, Level, Log};
use rhubarbrill_event::{Event, Severity};
use slog::{Drain, Logger, o};

/// Maximum number of log lines that wait to be written. Further lines are dropped and
/// counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Returns a logger to standard error with the level and format of the settings.
pub fn logger(settings: &Log, entry: &str, zone: &str) -> Logger {
    let level = match settings.level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
        Level::Trace => slog::Level::Trace,
    };
    let drain = match settings.format {
        Format::Human => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            async_drain(slog_term::FullFormat::new(decorator).build().ignore_res())
        }
        Format::Json => {
            async_drain(slog_json::Json::default(std::io::stderr()).ignore_res())
        }
    };
    let drain = drain.filter_level(level).fuse();
    Logger::root(
        drain,
        o!("entry" => entry.to_owned(), "zone" => zone.to_owned()),
    )
}

/// Returns a logger that writes one JSON object per line to standard output.
pub fn to_stdout(entry: &str, zone: &str) -> Logger {
    let drain = async_drain(slog_json::Json::default(std::io::stdout()).ignore_res());
    Logger::root(
        drain,
        o!("entry" => entry.to_owned(), "zone" => zone.to_owned()),
    )
}

/// Returns a logger that discards everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Logs a numbered event at the level of its severity.
pub fn event(log: &Logger, event: Event, detail: impl Display) {
    let fields = o!("event" => event.number(), "name" => event.name());
    let log = log.new(fields);
    match event.severity() {
        Severity::Info => slog::info!(log, "{}", event.meaning(); "detail" => %detail),
        Severity::Warning => slog::warn!(log, "{}", event.meaning(); "detail" => %detail),
        Severity::Alarm => slog::error!(log, "{}", event.meaning(); "detail" => %detail),
    }
}

fn async_drain<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .build()
        .fuse()
}
