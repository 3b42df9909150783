//! Evacuations of zones that a new leader takes over.

use std::collections::BTreeSet;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::Scheduler;
use rhubarbrill_core::time::Instant;

use crate::evacuation::Evacuations;
use crate::node::Node;
use crate::platform::{Content, Platform, Section};
use crate::sync;

/// Delay after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Reads the requested evacuations into the view, retrying until that succeeds. Returns
/// `None` once `is_over` returns true.
///
/// The watch of the operators' keys may lag behind by its pause, or by seconds after a
/// failure of the link, and a new leader must not start anything in a zone meanwhile.
pub(super) async fn read_ahead<P: Platform>(
    node: &Node<P>,
    is_over: impl Fn() -> bool,
) -> Option<()> {
    while !is_over() {
        // The tasks that watch the store have logged this failure.
        if let Ok(read) = sync::read(node, Section::Evacuations).await {
            let zones = read
                .changes
                .into_iter()
                .filter_map(|item| match item.content {
                    Some(Content::Evacuation(evacuation)) => Some(evacuation.zone),
                    _ => None,
                });
            let zones: BTreeSet<String> = zones.collect();
            let mut view = node.view.borrow_mut();
            view.read_evacuations_ahead(zones, read.as_of);
            return Some(());
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    None
}

/// Passes the evacuations in the view to a new leader's scheduler.
pub(super) fn restore(
    scheduler: &mut Scheduler,
    evacuations: &Evacuations,
    now: Instant,
) {
    scheduler.set_evacuated_zones(now, &evacuations.zones());
    for zone in evacuations.reported() {
        scheduler.restore_evacuation_report(zone);
    }
}
