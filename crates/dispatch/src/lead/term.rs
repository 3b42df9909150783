//! One term of leadership: passes changes and results to the scheduler and executes its
//! commands.

use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::host_order::HostOrder;
use rhubarbrill_core::job::leader::Leader;
use rhubarbrill_core::job::scheduler::{
    Authority, Command, EvacuationReport, HoldOutcome, Host, Maintenance, OrderOutcome,
    Pace, PolicyAnswer, PolicyQuestion, Save, SaveOutcome, Scheduler, Wave, WaveProgress,
    WaveState,
};
use rhubarbrill_core::job::{EndpointKey, Feature, RunKey, Tombstone};
use rhubarbrill_core::time::Instant;
use rhubarbrill_event::Event;
use slog::o;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_util::sync::CancellationToken;

use super::election::Leadership;
use super::orders::notify;
use super::recovery::RecoveredState;
use super::round::{Part, Round};
use super::takeover::{self, LeaderState};
use super::{hosts, notes, orders, renewal, save, stall};
use crate::fault::Place;
use crate::node::Node;
use crate::platform::{Changes, HostOrderOutcome, Platform, Section, Store};
use crate::supervisor::{Supervisor, Task};
use crate::view::{Delta, Pending};
use crate::{clock, event, fault, key, sync};

/// Longest interval between two scheduling decisions when nothing changes.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between two decisions about hosts.
const HOST_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two checks of how many jobs wait. Callers may be given numbers that
/// are up to two seconds old.
const PENDING_INTERVAL: Duration = Duration::from_millis(500);

/// A message to the leader's task.
#[derive(Debug)]
pub(super) enum Message {
    /// The outcome of an order to start a run.
    Started(RunKey, OrderOutcome),
    /// The outcome of an order to stop a run.
    Stopped(RunKey, OrderOutcome),
    /// The outcome of an order that renews leases; the order was sent at the given
    /// instant.
    Held(EndpointKey, Instant, HoldOutcome),
    /// The outcome of an order to change the pace of a run.
    Paced(Pace, OrderOutcome),
    /// The ruling of the placement policy on a question, also if there was no usable
    /// answer.
    Ruled(PolicyQuestion, PolicyAnswer),
    /// The outcome of a write of progress.
    Saved(Vec<Save>, SaveOutcome),
    /// Whether the numbers of waiting jobs were written.
    PendingWritten(bool),
    /// Changes of a section that only the leader watches.
    SectionChanged(Section, Changes),
    /// Whether the states of these finished jobs were removed.
    Removed(Vec<String>, bool),
    /// Whether the records of the runs of these jobs were removed.
    OrphansRemoved(Vec<String>, bool),
    /// The tombstones that a removal has shown to be gone.
    TombstonesRemoved(Vec<Tombstone>),
    /// The list of hosts; it was requested at the given instant.
    HostsListed(Instant, Vec<Host>),
    /// The outcome of an order to move the named host.
    Moved(String, HostOrderOutcome),
    /// The outcome of an order to begin maintenance.
    Maintained(Maintenance, HostOrderOutcome),
    /// Whether the progress of an evacuation was written.
    EvacuationReported(EvacuationReport, bool),
    /// Whether the state of a wave was written.
    WaveReported(Wave, WaveState, bool),
}

/// State that the tasks of a term share.
#[derive(Debug)]
pub(super) struct Shared<P> {
    pub(super) node: Rc<Node<P>>,
    pub(super) leadership: Leadership,
    pub(super) message_sender: UnboundedSender<Message>,
    pub(super) host_orders: UnboundedSender<HostOrder>,
    /// Notifies the tasks that watch the leader's sections to list them now.
    pub(super) relist: Notify,
    /// Starts the tasks of the term, which ends if one of them panics.
    pub(super) supervisor: Supervisor,
}

/// How a term ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// The leadership ended, or the process was asked to stop.
    Regular,
    /// One of the term's tasks panicked.
    Failed,
}

/// Leads until the leadership ends or the process is asked to stop.
pub(super) async fn lead<P: Platform>(node: Rc<Node<P>>, leadership: Leadership) -> End {
    let (message_sender, messages) = unbounded_channel();
    let (view_changes_sender, view_changes) = unbounded_channel();
    let (host_orders, orders) = unbounded_channel();
    // From here on, the leader's task receives each change of the view.
    *node.leader_deltas.borrow_mut() = Some(view_changes_sender);
    let shared = Rc::new(Shared {
        supervisor: node.supervisor.other_group(),
        node,
        leadership,
        message_sender,
        host_orders,
        relist: Notify::new(),
    });
    let done = CancellationToken::new();
    // A panic here must not leave the task behind that renews the lease.
    let _done = done.clone().drop_guard();
    let supervisor = &shared.supervisor;
    let service = Task::LeaderService;
    let renewal =
        supervisor.spawn(service, renewal::renew(Rc::clone(&shared), done.clone()));
    let listing =
        supervisor.spawn(service, hosts::list(Rc::clone(&shared), done.clone()));
    let ordering = supervisor.spawn(
        service,
        hosts::send(Rc::clone(&shared), orders, done.clone()),
    );
    let following = supervisor.spawn(service, follow(Rc::clone(&shared), done.clone()));
    log_term(&shared, Event::TermBegan);
    let scheduling = schedule(Rc::clone(&shared), messages, view_changes);
    let mut scheduling = supervisor.spawn(Task::Scheduling, scheduling);
    tokio::select! {
        // A panic is reported by the supervisor.
        _ = &mut scheduling => {}
        () = supervisor.failed() => scheduling.abort(),
    }
    done.cancel();
    if shared.supervisor.has_failed() {
        // From here on, nothing more is sent.
        shared.leadership.validity.end();
    }
    if shared
        .node
        .settings
        .features
        .contains(Feature::Interference)
    {
        shared.node.metrics.interference_pairs(0);
    }
    *shared.node.leader_deltas.borrow_mut() = None;
    // The tasks end once `done` is cancelled; a failure in them has been logged.
    let _ = tokio::join!(renewal, listing, ordering, following);
    for lease in shared.leadership.record.possible_leases() {
        // If the call gets no answer, the lease expires.
        let _ = shared.node.platform.store().revoke(lease.id).await;
    }
    log_term(&shared, Event::TermEnded);
    if shared.supervisor.has_failed() {
        End::Failed
    } else {
        End::Regular
    }
}

/// Takes over and schedules jobs until the leadership ends or the process is asked to stop.
async fn schedule<P: Platform>(
    shared: Rc<Shared<P>>,
    mut messages: UnboundedReceiver<Message>,
    mut view_changes: UnboundedReceiver<Vec<Delta>>,
) {
    if let Some(recovered) = takeover::catch_up(&shared).await {
        while view_changes.try_recv().is_ok() {}
        run_scheduler(&shared, recovered, &mut messages, &mut view_changes).await;
    }
}

/// Watches the sections that only the leader needs until the term ends.
async fn follow<P: Platform>(shared: Rc<Shared<P>>, done: CancellationToken) {
    let section = |section| {
        let shared = &shared;
        sync::follow(
            &shared.node,
            section,
            sync::LEADER_WATCH_PAUSE,
            &shared.relist,
            move |changes| {
                notify(shared, Message::SectionChanged(section, changes));
            },
        )
    };
    tokio::select! {
        () = done.cancelled() => {}
        () = section(Section::Registrations) => {}
        () = section(Section::Records(key::JOBS_PREFIX)) => {}
    }
}

pub(super) fn log_term<P: Platform>(shared: &Shared<P>, event: Event) {
    let term = shared.leadership.term;
    let fields = o!("fence" => term.fencing_token, "term" => term.number);
    event::log(&shared.node.log, event, fields);
}

async fn run_scheduler<P: Platform>(
    shared: &Rc<Shared<P>>,
    recovered: RecoveredState,
    messages: &mut UnboundedReceiver<Message>,
    view_changes: &mut UnboundedReceiver<Vec<Delta>>,
) {
    let node = &shared.node;
    let Some(takeover) = takeover::initialize(shared, recovered, messages).await else {
        return;
    };
    let mut leader = takeover.state;
    for message in takeover.deferred {
        handle(shared, &mut leader, message);
    }
    let mut last_authority = Authority::Certain;
    let mut round = Round::new();
    loop {
        let wake = tokio::time::sleep(POLL_INTERVAL);
        tokio::select! {
            Some(message) = messages.recv() => {
                round.begin();
                handle(shared, &mut leader, message);
                while let Ok(message) = messages.try_recv() {
                    handle(shared, &mut leader, message);
                }
            }
            deltas = view_changes.recv() => {
                let Some(deltas) = deltas else {
                    return;
                };
                round.begin();
                apply_deltas(shared, &mut leader.scheduler, &deltas);
            }
            () = wake => round.begin(),
            () = node.stopping.cancelled() => return,
        }
        while let Ok(deltas) = view_changes.try_recv() {
            apply_deltas(shared, &mut leader.scheduler, &deltas);
        }
        if leader.scheduler.is_deposed() || shared.leadership.validity.is_over() {
            return;
        }
        stall::check(shared, &mut leader.watch_progress);
        let authority = shared.leadership.validity.authority();
        log_authority_change(shared, &mut last_authority, authority);
        round.end_part(Part::Messages);
        decide(shared, &mut leader, authority, &mut round);
        round.end(shared, leader.scheduler.job_count());
    }
}

fn decide<P: Platform>(
    shared: &Rc<Shared<P>>,
    leader: &mut LeaderState,
    authority: Authority,
    round: &mut Round,
) {
    let now = clock::now();
    let scheduler = &mut leader.scheduler;
    let mut commands = scheduler.poll(now, clock::wall_clock(), authority);
    round.end_part(Part::Tasks);
    if now >= leader.next_hosts && authority == Authority::Certain {
        leader.next_hosts = now + HOST_POLL_INTERVAL;
        commands.extend(scheduler.poll_hosts(now));
    }
    round.end_part(Part::Hosts);
    notes::write(&shared.node, scheduler.take_events());
    round.end_part(Part::Log);
    round.set_commands(commands.len());
    for command in commands {
        execute(shared, scheduler, command);
    }
    leader.estimates.write(shared, scheduler, authority);
    if now >= leader.next_pending {
        leader.next_pending = now + PENDING_INTERVAL;
        let pending = Pending {
            queues: scheduler.pending(),
            no_zone: scheduler.is_every_zone_evacuated(),
        };
        if leader.pending.as_ref() != Some(&pending) {
            leader.pending = Some(pending.clone());
            save::write_pending(shared, pending);
        }
    }
    round.end_part(Part::Commands);
}

fn log_authority_change<P: Platform>(
    shared: &Shared<P>,
    last: &mut Authority,
    now: Authority,
) {
    if *last == now {
        return;
    }
    *last = now;
    match now {
        Authority::Certain => log_term(shared, Event::TermCertain),
        Authority::HoldOnly => log_term(shared, Event::TermUncertain),
        Authority::Suspended => log_term(shared, Event::TermSuspended),
    }
}

/// Ends the leadership if another process leads. A missing record may be this leader's,
/// whose lease expired while the store was away; then the next renewal finds out.
pub(super) fn check_leader<P>(shared: &Shared<P>, leader: Option<&Leader>) {
    let leadership = &shared.leadership;
    match leader {
        None => leadership.record.report_gone(),
        Some(leader) if leadership.record.is_own(leader) => {}
        Some(_) => leadership.validity.end(),
    }
}

fn apply_deltas<P: Platform>(
    shared: &Shared<P>,
    scheduler: &mut Scheduler,
    deltas: &[Delta],
) {
    let view = shared.node.view.borrow();
    for delta in deltas {
        match delta {
            Delta::Configuration => {
                if let Some(configuration) = &view.configuration {
                    let now = clock::now();
                    scheduler.set_configuration(now, (**configuration).clone());
                }
            }
            Delta::Cancelled(id) => scheduler.cancel_job(clock::now(), id),
            Delta::Wave(number) => {
                if let Some(wave) = view.waves.get(number) {
                    let progress = WaveProgress::default();
                    scheduler.add_wave(clock::now(), wave.clone(), progress);
                }
            }
            Delta::Evacuations => {
                let zones = view.evacuations.zones();
                scheduler.set_evacuated_zones(clock::now(), &zones);
            }
            Delta::Leader => {
                check_leader(shared, view.leader.as_ref().map(|leader| &leader.value));
            }
            Delta::State | Delta::Unreadable { .. } => {}
        }
    }
}

fn handle<P: Platform>(
    shared: &Rc<Shared<P>>,
    leader: &mut LeaderState,
    message: Message,
) {
    let now = clock::now();
    let scheduler = &mut leader.scheduler;
    match message {
        Message::SectionChanged(_, changes) => leader.apply(&shared.node, changes),
        // The next check writes the numbers again.
        Message::PendingWritten(false) => leader.pending = None,
        Message::PendingWritten(true) => {}
        Message::Started(run, settled) => {
            scheduler.handle_start_outcome(now, run, settled);
        }
        Message::Stopped(run, settled) => {
            scheduler.handle_stop_outcome(now, run, settled);
        }
        Message::Held(endpoint, sent, held) => {
            scheduler.handle_hold_outcome(now, endpoint, sent, held);
        }
        Message::Paced(order, settled) => {
            scheduler.handle_pace_outcome(now, &order, settled);
        }
        Message::Ruled(question, ruling) => {
            scheduler.handle_policy_answer(now, &question, ruling);
        }
        Message::Saved(saves, ending) => {
            stall::record_write(&mut leader.watch_progress, &saves, &ending);
            scheduler.handle_save_outcome(now, &saves, &ending);
        }
        Message::Removed(ids, done) => scheduler.handle_removal_outcome(&ids, done),
        Message::OrphansRemoved(ids, done) => {
            scheduler.handle_orphans_removal_outcome(&ids, done);
        }
        Message::TombstonesRemoved(gone) => {
            scheduler.handle_tombstone_removal_outcome(&gone);
        }
        Message::HostsListed(sent, hosts) => scheduler.set_hosts(now, sent, hosts),
        Message::Moved(host, outcome) => match outcome {
            HostOrderOutcome::Accepted => {
                scheduler.handle_host_order_accepted(now, &host);
            }
            HostOrderOutcome::Refused(_) => scheduler.handle_host_order_failed(&host),
            HostOrderOutcome::Unknown => {}
        },
        Message::Maintained(order, outcome) => match outcome {
            HostOrderOutcome::Accepted => {
                scheduler.maintenance_begun(now, &order.host, order.wave);
                let done = scheduler.wave_progress(now, order.wave);
                save::record_wave(shared, order.wave, done, false);
            }
            HostOrderOutcome::Refused(_) => {
                scheduler.maintenance_refused(&order.host, order.wave);
            }
            HostOrderOutcome::Unknown => {}
        },
        Message::EvacuationReported(report, written) => {
            scheduler.handle_evacuation_report_outcome(&report, written);
        }
        Message::WaveReported(wave, state, written) => {
            if written && state == WaveState::Completed {
                scheduler.complete_wave(wave.number);
            }
        }
    }
}

fn execute<P: Platform>(shared: &Rc<Shared<P>>, scheduler: &Scheduler, command: Command) {
    match command {
        Command::AskPolicy(question) => orders::ask(shared, question),
        Command::Start(order) => {
            fault::check(Place::Scheduling, &order.payload);
            orders::start(shared, order);
        }
        Command::Stop(order) => orders::stop(shared, order),
        Command::Hold(order) => orders::hold(shared, order),
        Command::Pace(order) => orders::pace(shared, order),
        Command::Save(saves) => save::save_progress(shared, saves),
        Command::Remove(ids) => save::remove_finished(shared, ids),
        Command::RemoveOrphans(ids) => save::remove_orphans(shared, ids),
        Command::RemoveTombstones(tombstones) => {
            save::remove_tombstones(shared, tombstones);
        }
        Command::Move(order) => hosts::enqueue(shared, HostOrder::Move(order)),
        Command::Maintain(order) => hosts::enqueue(shared, HostOrder::Maintain(order)),
        Command::ReportEvacuation(report) => save::report_evacuation(shared, report),
        Command::ReportWave(wave, state) => {
            let done = scheduler.wave_progress(clock::now(), wave.number);
            save::report_wave(shared, wave, state, done);
        }
    }
}
