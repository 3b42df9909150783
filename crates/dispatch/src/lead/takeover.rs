//! What a new leader takes over before its first decision: the state that earlier leaders
//! stored, the registrations of endpoints and the submitted jobs.

use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::longest_lease;
use rhubarbrill_core::job::scheduler::{Options, Scheduler, WaveProgress};
use rhubarbrill_core::job::watch_progress::WatchProgress;
use rhubarbrill_core::round_trip;
use rhubarbrill_core::time::Instant;
use tokio::sync::mpsc::UnboundedReceiver;

use super::authority::HOLD_GRACE;
use super::estimate::EstimateWriter;
use super::evacuation;
use super::recovery::RecoveredState;
use super::registrations::Registrations;
use super::term::{Message, Shared};
use crate::clock;
use crate::node::Node;
use crate::platform::{Changes, Platform, Section};
use crate::view::Pending;

/// Longest lease that an order grants to a run. Long enough for a new leader to be
/// elected and take over.
const MAX_RUN_LEASE: Duration = Duration::from_millis(5_000);

/// Factor by which finished jobs are kept longer than the configured retention.
const RETENTION_FACTOR: f64 = 1.25;

/// Delay between two checks whether the view has caught up.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(5);

/// Longest interval between two checks whether the leadership has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// State of the leader's task.
pub(super) struct LeaderState {
    pub(super) scheduler: Scheduler,
    registrations: Registrations,
    /// Numbers of waiting jobs that this leader last wrote; `None` if they must be
    /// written again.
    pub(super) pending: Option<Pending>,
    pub(super) next_pending: Instant,
    pub(super) next_hosts: Instant,
    pub(super) watch_progress: WatchProgress,
    pub(super) estimates: EstimateWriter,
}

impl LeaderState {
    /// Applies changes of the sections that only the leader watches.
    pub(super) fn apply<P>(&mut self, node: &Node<P>, changes: Changes) {
        for change in changes.changes {
            self.registrations.apply(node, &mut self.scheduler, change);
        }
    }
}

/// The state of a new leader, and the messages that arrived before it was complete.
pub(super) struct Takeover {
    pub(super) state: LeaderState,
    pub(super) deferred: Vec<Message>,
}

/// Reads the state that earlier leaders stored, and waits until the view contains
/// everything that was written before the term began.
pub(super) async fn catch_up<P: Platform>(shared: &Shared<P>) -> Option<RecoveredState> {
    let is_over =
        || shared.leadership.validity.is_over() || shared.node.stopping.is_cancelled();
    let (recovered, listed) = tokio::join!(
        RecoveredState::read(&shared.node, is_over),
        evacuation::read_ahead(&shared.node, is_over),
    );
    let (recovered, ()) = (recovered?, listed?);
    while !is_over() {
        if shared.node.view.borrow().as_of() >= shared.leadership.term.start_revision {
            return Some(recovered);
        }
        tokio::time::sleep(CATCH_UP_PAUSE).await;
    }
    None
}

/// Waits for the first complete listing of the sections that only the leader watches, and
/// initializes the scheduler with it.
pub(super) async fn initialize<P: Platform>(
    shared: &Rc<Shared<P>>,
    recovered: RecoveredState,
    messages: &mut UnboundedReceiver<Message>,
) -> Option<Takeover> {
    let mut deferred = Vec::new();
    let (mut endpoints, mut jobs) = (None, None);
    while endpoints.is_none() || jobs.is_none() {
        let wake = tokio::time::sleep(CHECK_INTERVAL);
        tokio::select! {
            message = messages.recv() => match message? {
                Message::SectionChanged(Section::Registrations, read)
                    if endpoints.is_none() =>
                {
                    endpoints = Some(read);
                }
                Message::SectionChanged(Section::Records(_), read) if jobs.is_none() => {
                    jobs = Some(read);
                }
                message => deferred.push(message),
            },
            () = wake => {}
            () = shared.node.stopping.cancelled() => return None,
        }
        if shared.leadership.validity.is_over() {
            return None;
        }
    }
    let now = clock::now();
    let orphans = recovered.orphans.clone();
    let mut leader = LeaderState {
        scheduler: new_scheduler(shared, &recovered),
        registrations: Registrations::new(recovered),
        pending: None,
        next_pending: now,
        next_hosts: now,
        watch_progress: WatchProgress::default(),
        estimates: EstimateWriter::new(now),
    };
    // Endpoints come first, because the runs of jobs are matched with them.
    for read in [endpoints?, jobs?] {
        leader.apply(&shared.node, read);
    }
    for (id, orphans) in &orphans {
        leader.scheduler.add_orphans(now, id, orphans);
    }
    Some(Takeover {
        state: leader,
        deferred,
    })
}

fn new_scheduler<P: Platform>(
    shared: &Shared<P>,
    recovered: &RecoveredState,
) -> Scheduler {
    let now = clock::now();
    let settings = &shared.node.settings;
    let lease_term = MAX_RUN_LEASE.min(settings.max_lease);
    let options = Options {
        lease_term,
        max_lease: settings.max_lease,
        max_record_bytes: settings.max_record_bytes,
        inherited_bound: HOLD_GRACE + longest_lease(lease_term),
        retention: settings.retention.mul_f64(RETENTION_FACTOR),
        max_capacity_age: settings
            .capacity_grace
            .saturating_sub(round_trip::MAX_TIMEOUT),
        cold: settings.cold,
        features: settings.features,
        host_orders_per_second: settings.host_orders_per_second,
    };
    let mut scheduler = Scheduler::new(options, shared.leadership.term, now);
    let view = shared.node.view.borrow();
    for (host, &age_ms) in &recovered.orders.hosts {
        let age = Duration::from_millis(age_ms);
        let left = settings.host_order_pause.saturating_sub(age);
        scheduler.block_host_orders_until(host, now + left);
    }
    if let Some(configuration) = &view.configuration {
        scheduler.set_configuration(now, (**configuration).clone());
    }
    for id in view.finished() {
        scheduler.add_finished_job(now, id);
    }
    evacuation::restore(&mut scheduler, &view.evacuations, now);
    for (number, wave) in &view.waves {
        match recovered.waves.get(number) {
            Some(record) if record.completed => scheduler.complete_wave(*number),
            Some(record) => scheduler.add_wave(now, wave.clone(), record.progress()),
            None => scheduler.add_wave(now, wave.clone(), WaveProgress::default()),
        }
    }
    scheduler
}
