//! What the tasks of a process share.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::Configuration;
use rhubarbrill_core::time::Instant;
use slog::Logger;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::view::{Delta, View};

/// Age of the newest word of the store above which the process takes no new callers.
const UNREADY_AGE: Duration = Duration::from_millis(2_500);

/// What the tasks of a process share.
#[derive(Debug)]
pub struct Node<P> {
    /// The outside world.
    pub platform: P,
    /// What the process was told at its start.
    pub settings: Settings,
    /// Where decisions are written.
    pub log: Logger,
    /// Counts and latencies.
    pub metrics: Metrics,
    /// The copy of the store.
    pub view: RefCell<View>,
    /// Signals each change of the copy.
    pub changed: Notify,
    /// Whether the process is asked to stop.
    pub stopping: CancellationToken,
    /// Where the leader's task takes news of the store, while this process leads.
    pub leader_deltas: RefCell<Option<mpsc::UnboundedSender<Vec<Delta>>>>,
}

impl<P> Node<P> {
    /// Returns the shared state of a process that knows nothing yet.
    pub fn new(
        platform: P,
        settings: Settings,
        log: Logger,
        metrics: Metrics,
        stopping: CancellationToken,
    ) -> Self {
        Self {
            platform,
            settings,
            log,
            metrics,
            view: RefCell::default(),
            changed: Notify::new(),
            stopping,
            leader_deltas: RefCell::new(None),
        }
    }

    /// Returns the configuration in force, if one is known.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.view.borrow().configuration.clone()
    }

    /// Returns how old the newest word of the store is.
    pub fn store_age(&self, now: Instant) -> Option<Duration> {
        let last_contact = self.view.borrow().last_contact()?;
        Some(now.saturating_since(last_contact))
    }

    /// Returns whether the balancer may send callers.
    pub fn is_ready(&self) -> bool {
        let fresh = self
            .store_age(clock::now())
            .is_some_and(|age| age <= UNREADY_AGE);
        fresh && self.configuration().is_some() && !self.stopping.is_cancelled()
    }
}
