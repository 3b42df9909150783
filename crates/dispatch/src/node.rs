//! State that the tasks of a process share.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::contact::Contact;
use rhubarbrill_core::job::refusal::Refusals;
use rhubarbrill_core::job::{Configuration, tombstone};
use rhubarbrill_core::round_trip::RoundTrip;
use rhubarbrill_core::time::Instant;
use slog::Logger;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::metrics::Metrics;
use crate::platform::Failure;
use crate::settings::Settings;
use crate::supervisor::Supervisor;
use crate::view::{Delta, View};

/// Age of the last contact with the store above which the process reports that it is not
/// ready.
const UNREADY_AGE: Duration = Duration::from_millis(2_500);

/// Lower limit of the timeout of calls to the store. A process that has used up its share of
/// a core pauses for most of a tenth of a second.
const MIN_STORE_TIMEOUT: Duration = Duration::from_millis(200);

/// Lower limit of the timeout of orders to endpoints. TCP sends a lost packet again after
/// 200 ms.
const MIN_ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// State that the tasks of a process share.
#[derive(Debug)]
pub struct Node<P> {
    /// Clients of the external systems.
    pub platform: P,
    /// Settings that the process was started with.
    pub settings: Settings,
    /// Logger for events.
    pub log: Logger,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Starts the tasks of the process.
    pub(crate) supervisor: Supervisor,
    /// Response times of the store.
    pub store_round_trip: RefCell<RoundTrip>,
    /// Whether the store answers.
    pub store_contact: RefCell<Contact>,
    /// Response times of endpoints to orders that they answer at once.
    pub order_round_trip: RefCell<RoundTrip>,
    /// Jobs that were refused lately because of the store.
    pub refusals: RefCell<Refusals>,
    /// Limit on the tombstones that this process writes.
    pub tombstones: RefCell<tombstone::Budget>,
    /// Local view of the store.
    pub view: RefCell<View>,
    /// Notifies waiting tasks of each change of the view.
    pub changed: Notify,
    /// Cancelled when the process is asked to stop.
    pub stopping: CancellationToken,
    /// Sends changes of the view to the leader's task; `None` unless this process leads.
    pub leader_deltas: RefCell<Option<mpsc::UnboundedSender<Vec<Delta>>>>,
}

impl<P> Node<P> {
    /// Returns the shared state of a process that has read nothing from the store yet.
    pub fn new(
        platform: P,
        settings: Settings,
        log: Logger,
        metrics: Metrics,
        stopping: CancellationToken,
    ) -> Self {
        Self {
            platform,
            tombstones: RefCell::new(tombstone::Budget::new(
                settings.store_writes_per_second,
            )),
            settings,
            supervisor: Supervisor::new(log.clone(), metrics.task_failures()),
            log,
            metrics,
            store_round_trip: RefCell::new(RoundTrip::new(MIN_STORE_TIMEOUT)),
            store_contact: RefCell::default(),
            order_round_trip: RefCell::new(RoundTrip::new(MIN_ORDER_TIMEOUT)),
            refusals: RefCell::default(),
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

    /// Returns the time since the last contact with the store, or `None` before the first
    /// complete listing.
    pub fn store_age(&self, now: Instant) -> Option<Duration> {
        let last_contact = self.view.borrow().last_contact()?;
        Some(now.saturating_since(last_contact))
    }

    /// Records the outcome of a call to the store.
    pub(crate) fn record_store_call<T>(&self, outcome: &Result<T, Failure>) {
        let mut contact = self.store_contact.borrow_mut();
        match outcome {
            Ok(_) | Err(Failure::Compacted) => contact.record_answer(),
            // The store has answered, or has fallen silent while it did.
            Err(Failure::TooLong) => {}
            Err(Failure::NotDone(_) | Failure::Unknown(_)) => {
                contact.record_failure(clock::now());
            }
        }
    }

    /// Returns whether the load balancer may send requests to this process.
    pub fn is_ready(&self) -> bool {
        let now = clock::now();
        let fresh = self.store_age(now).is_some_and(|age| age <= UNREADY_AGE);
        let lost = self.store_contact.borrow().is_lost(now);
        fresh && !lost && self.configuration().is_some() && !self.stopping.is_cancelled()
    }
}
