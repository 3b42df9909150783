//! Lists what only the leader watches again while its watches are stalled.

use rhubarbrill_core::job::scheduler::{Save, SaveOutcome};
use rhubarbrill_core::job::watch_progress::{Overdue, WatchProgress, WatchState};
use rhubarbrill_event::Event;
use slog::o;

use super::term::Shared;
use crate::{clock, event};

/// Records a write of progress that changed a section that every process watches.
pub(super) fn record_write(
    progress: &mut WatchProgress,
    saves: &[Save],
    outcome: &SaveOutcome,
) {
    if let SaveOutcome::Saved(revision) = outcome
        && saves.iter().any(|save| save.is_state_new)
    {
        progress.record_write(clock::now(), *revision);
    }
}

/// Has the sections that only the leader watches listed if that is due.
pub(super) fn check<P>(shared: &Shared<P>, progress: &mut WatchProgress) {
    let as_of = shared.node.view.borrow().as_of();
    match progress.check(clock::now(), as_of) {
        None => {}
        Some(WatchState::Stalled(overdue)) => {
            log(shared, "stalled", as_of, Some(overdue));
            shared.relist.notify_waiters();
        }
        Some(WatchState::StillStalled) => shared.relist.notify_waiters(),
        Some(WatchState::Resumed) => log(shared, "resumed", as_of, None),
    }
}

fn log<P>(shared: &Shared<P>, state: &'static str, as_of: u64, overdue: Option<Overdue>) {
    let revision = overdue.map_or(as_of, |overdue| overdue.revision);
    let age = overdue.map_or(0, |overdue| overdue.age.as_millis());
    let fields = o!(
        "state" => state,
        "as_of" => as_of,
        "revision" => revision,
        "age_ms" => u64::try_from(age).unwrap_or(u64::MAX),
    );
    event::log(&shared.node.log, Event::WatchStalled, fields);
}
