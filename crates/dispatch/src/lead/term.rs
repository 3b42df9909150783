//! A term of leadership: news and answers go to the scheduler, its commands go out.

use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::{
    Authority, Command, HoldOutcome, Host, Maintenance, Options, OrderOutcome, Pace,
    PolicyAnswer, PolicyQuestion, Save, SaveOutcome, Scheduler, Wave, WaveProgress,
    WaveState,
};
use rhubarbrill_core::job::{EndpointKey, RunKey};
use rhubarbrill_core::time::Instant;
use rhubarbrill_event::Event;
use slog::o;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_util::sync::CancellationToken;

use super::authority::HOLD_ON;
use super::election::Mandate;
use super::hosts::Order;
use super::kept::Kept;
use super::orders::answer;
use super::registrations::Registrations;
use super::{hosts, notes, orders, save};
use crate::edge::{Changes, HostOrder, Platform, Section, Store};
use crate::node::Node;
use crate::view::{Delta, Pending};
use crate::{clock, event, key, sync};

/// Time between two decisions while nothing happens.
const TICK: Duration = Duration::from_millis(25);

/// Time between two decisions on hosts.
const HOST_TICK: Duration = Duration::from_millis(100);

/// Time between two looks at how many jobs wait; callers may be told numbers of two seconds
/// ago.
const PENDING_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two renewals of the leader's lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);

/// Longest lease that an order grants to runs: long enough for a new leader to follow.
const RUN_LEASE: Duration = Duration::from_millis(5_000);

/// How much longer than asked a lease may last by a slow clock, as a factor.
const LEASE_STRETCH: f64 = 1.025;

/// Time beyond that for an order that is read late.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// How much longer than promised finished jobs are kept, as a factor.
const RETENTION_MARGIN: f64 = 1.25;

/// Pause before the copy of the store is looked at again.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(5);

/// What reaches the leader's task.
#[derive(Debug)]
pub(super) enum Message {
    /// An order to start was settled.
    Started(RunKey, OrderOutcome),
    /// An order to stop was settled.
    Stopped(RunKey, OrderOutcome),
    /// An order to hold, sent at the instant, was settled.
    Held(EndpointKey, Instant, HoldOutcome),
    /// An order to change a pace was settled.
    Paced(Pace, OrderOutcome),
    /// The placement policy answered a question, or didn't.
    Ruled(PolicyQuestion, PolicyAnswer),
    /// A write of progress ended.
    Saved(Vec<Save>, SaveOutcome),
    /// The numbers of waiting jobs were written, or not.
    PendingWritten(bool),
    /// What the leader follows has changed.
    Followed(Section, Changes),
    /// A removal of finished jobs ended.
    Removed(Vec<String>, bool),
    /// The hosts were listed by a call that was made at the instant.
    Hosts(Instant, Vec<Host>),
    /// An order to move a host ended.
    Moved(String, HostOrder),
    /// An order to begin maintenance ended.
    Maintained(Maintenance, HostOrder),
    /// A wave's state was written.
    WaveReported(Wave, WaveState, bool),
}

/// What the tasks of a term share.
#[derive(Debug)]
pub(super) struct Shared<P> {
    pub(super) node: Rc<Node<P>>,
    pub(super) mandate: Mandate,
    pub(super) answers: UnboundedSender<Message>,
    pub(super) host_orders: UnboundedSender<Order>,
}

/// Leads until the leadership is over or the process is asked to stop.
pub(super) async fn lead<P: Platform>(node: Rc<Node<P>>, mandate: Mandate) {
    let (answers, mut messages) = unbounded_channel();
    let (news_sender, mut news) = unbounded_channel();
    let (host_orders, orders) = unbounded_channel();
    // From here on each change of the copy is news.
    *node.leader_news.borrow_mut() = Some(news_sender);
    let shared = Rc::new(Shared {
        node,
        mandate,
        answers,
        host_orders,
    });
    let done = CancellationToken::new();
    let renewal = tokio::task::spawn_local(renew(Rc::clone(&shared), done.clone()));
    let listing = tokio::task::spawn_local(hosts::list(Rc::clone(&shared), done.clone()));
    let ordering =
        tokio::task::spawn_local(hosts::send(Rc::clone(&shared), orders, done.clone()));
    let following = tokio::task::spawn_local(follow(Rc::clone(&shared), done.clone()));
    report(&shared, Event::TermBegan);
    if let Some(kept) = catch_up(&shared).await {
        while news.try_recv().is_ok() {}
        work(&shared, kept, &mut messages, &mut news).await;
    }
    done.cancel();
    *shared.node.leader_news.borrow_mut() = None;
    // They end by themselves; a failure in them has been logged.
    let _ = tokio::join!(renewal, listing, ordering, following);
    // Without an answer the lease ends by itself.
    let _ = shared
        .node
        .platform
        .store()
        .revoke(shared.mandate.lease.id)
        .await;
    report(&shared, Event::TermEnded);
}

/// Follows what the leader alone needs until the term is over.
async fn follow<P: Platform>(shared: Rc<Shared<P>>, done: CancellationToken) {
    let section = |section| {
        let shared = &shared;
        sync::follow(&shared.node, section, sync::SHORT_PAUSE, move |changes| {
            answer(shared, Message::Followed(section, changes));
        })
    };
    tokio::select! {
        () = done.cancelled() => {}
        () = section(Section::Registrations) => {}
        () = section(Section::Own(key::JOBS)) => {}
    }
}

fn report<P: Platform>(shared: &Shared<P>, what: Event) {
    let term = shared.mandate.term;
    let fields = o!("fence" => term.fencing_token, "term" => term.number);
    event::log(&shared.node.log, what, fields);
}

/// Waits until the copy holds all that was written before the term began, and reads what
/// earlier leaders left.
async fn catch_up<P: Platform>(shared: &Shared<P>) -> Option<Kept> {
    let is_over =
        || shared.mandate.certainty.is_over() || shared.node.stopping.is_cancelled();
    let kept = Kept::read(&shared.node, is_over).await?;
    while !is_over() {
        if shared.node.view.borrow().as_of() >= shared.mandate.term.start_revision {
            return Some(kept);
        }
        tokio::time::sleep(CATCH_UP_PAUSE).await;
    }
    None
}

/// What the leader decides with.
struct Desk {
    scheduler: Scheduler,
    registrations: Registrations,
    /// The numbers of waiting jobs that the store holds, as far as this leader knows.
    pending: Option<Pending>,
    next_pending: Instant,
    next_hosts: Instant,
}

impl Desk {
    /// Takes in what the leader alone follows.
    fn learn<P>(&mut self, node: &Node<P>, changes: Changes) {
        for change in changes.changes {
            self.registrations.take(node, &mut self.scheduler, change);
        }
    }
}

async fn work<P: Platform>(
    shared: &Rc<Shared<P>>,
    kept: Kept,
    messages: &mut UnboundedReceiver<Message>,
    news: &mut UnboundedReceiver<Vec<Delta>>,
) {
    let node = &shared.node;
    let Some(mut desk) = set_up(shared, kept, messages).await else {
        return;
    };
    let mut certain = Authority::Certain;
    loop {
        let wake = tokio::time::sleep(TICK);
        tokio::select! {
            Some(message) = messages.recv() => {
                take(shared, &mut desk, message);
                while let Ok(message) = messages.try_recv() {
                    take(shared, &mut desk, message);
                }
            }
            Some(deltas) = news.recv() => learn_all(shared, &mut desk.scheduler, &deltas),
            () = wake => {}
            () = node.stopping.cancelled() => return,
        }
        while let Ok(deltas) = news.try_recv() {
            learn_all(shared, &mut desk.scheduler, &deltas);
        }
        if desk.scheduler.is_deposed() || shared.mandate.certainty.is_over() {
            return;
        }
        let authority = shared.mandate.certainty.authority();
        note_authority(shared, &mut certain, authority);
        decide(shared, &mut desk, authority);
    }
}

/// Waits for the first reading of what the leader follows, and begins with it.
async fn set_up<P: Platform>(
    shared: &Rc<Shared<P>>,
    kept: Kept,
    messages: &mut UnboundedReceiver<Message>,
) -> Option<Desk> {
    let mut early = Vec::new();
    let (mut endpoints, mut jobs) = (None, None);
    while endpoints.is_none() || jobs.is_none() {
        let wake = tokio::time::sleep(TICK);
        tokio::select! {
            message = messages.recv() => match message? {
                Message::Followed(Section::Registrations, read) if endpoints.is_none() => {
                    endpoints = Some(read);
                }
                Message::Followed(Section::Own(_), read) if jobs.is_none() => {
                    jobs = Some(read);
                }
                message => early.push(message),
            },
            () = wake => {}
            () = shared.node.stopping.cancelled() => return None,
        }
        if shared.mandate.certainty.is_over() {
            return None;
        }
    }
    let now = clock::now();
    let mut desk = Desk {
        scheduler: new_scheduler(shared, &kept),
        registrations: Registrations::new(kept),
        pending: None,
        next_pending: now,
        next_hosts: now,
    };
    // Endpoints first: runs that jobs have there are matched with them.
    for read in [endpoints?, jobs?] {
        desk.learn(&shared.node, read);
    }
    for message in early {
        take(shared, &mut desk, message);
    }
    Some(desk)
}

fn decide<P: Platform>(shared: &Rc<Shared<P>>, desk: &mut Desk, authority: Authority) {
    let now = clock::now();
    let scheduler = &mut desk.scheduler;
    let mut commands = scheduler.poll(now, clock::wall(), authority);
    if now >= desk.next_hosts && authority == Authority::Certain {
        desk.next_hosts = now + HOST_TICK;
        commands.extend(scheduler.poll_hosts(now));
    }
    notes::write(&shared.node, scheduler.take_events());
    for command in commands {
        carry_out(shared, scheduler, command);
    }
    if now >= desk.next_pending {
        desk.next_pending = now + PENDING_INTERVAL;
        let pending = Pending {
            queues: scheduler.pending(),
        };
        if desk.pending.as_ref() != Some(&pending) {
            desk.pending = Some(pending.clone());
            save::pending(shared, pending);
        }
    }
}

fn note_authority<P: Platform>(
    shared: &Shared<P>,
    known: &mut Authority,
    now: Authority,
) {
    if *known == now {
        return;
    }
    *known = now;
    match now {
        Authority::Certain => report(shared, Event::TermCertain),
        Authority::HoldOnly => report(shared, Event::TermUncertain),
    }
}

fn new_scheduler<P: Platform>(shared: &Shared<P>, kept: &Kept) -> Scheduler {
    let now = clock::now();
    let settings = &shared.node.settings;
    let lease_term = RUN_LEASE.min(settings.max_lease);
    let options = Options {
        lease_term,
        inherited_bound: HOLD_ON + lease_term.mul_f64(LEASE_STRETCH) + LEASE_MARGIN,
        retention: settings.retention.mul_f64(RETENTION_MARGIN),
    };
    let mut scheduler = Scheduler::new(options, shared.mandate.term, now);
    let view = shared.node.view.borrow();
    for (host, &age_ms) in &kept.orders.hosts {
        let age = Duration::from_millis(age_ms);
        let left = settings.host_order_pause.saturating_sub(age);
        scheduler.block_host_orders_until(host, now + left);
    }
    if let Some(configuration) = &view.configuration {
        scheduler.set_configuration((**configuration).clone());
    }
    for id in view.finished() {
        scheduler.add_finished_job(now, id);
    }
    for (number, wave) in &view.waves {
        match kept.waves.get(number) {
            Some(record) if record.completed => scheduler.complete_wave(*number),
            Some(record) => scheduler.add_wave(now, wave.clone(), record.progress()),
            None => scheduler.add_wave(now, wave.clone(), WaveProgress::default()),
        }
    }
    scheduler
}

fn learn_all<P: Platform>(
    shared: &Shared<P>,
    scheduler: &mut Scheduler,
    deltas: &[Delta],
) {
    let view = shared.node.view.borrow();
    for delta in deltas {
        match delta {
            Delta::Configuration => {
                if let Some(configuration) = &view.configuration {
                    scheduler.set_configuration((**configuration).clone());
                }
            }
            Delta::Cancelled(id) => scheduler.cancel_job(clock::now(), id),
            Delta::Wave(number) => {
                if let Some(wave) = view.waves.get(number) {
                    let progress = WaveProgress::default();
                    scheduler.add_wave(clock::now(), wave.clone(), progress);
                }
            }
            Delta::Leader => {
                let fence = shared.mandate.term.fencing_token;
                if view
                    .leader
                    .as_ref()
                    .is_none_or(|leader| leader.revision != fence)
                {
                    shared.mandate.certainty.end();
                }
            }
            Delta::State | Delta::Unreadable { .. } => {}
        }
    }
}

fn take<P: Platform>(shared: &Rc<Shared<P>>, desk: &mut Desk, message: Message) {
    let now = clock::now();
    let scheduler = &mut desk.scheduler;
    match message {
        Message::Followed(_, changes) => desk.learn(&shared.node, changes),
        // The next look writes them again.
        Message::PendingWritten(false) => desk.pending = None,
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
            scheduler.handle_save_outcome(now, &saves, &ending);
        }
        Message::Removed(ids, done) => scheduler.handle_removal_outcome(&ids, done),
        Message::Hosts(asked, hosts) => scheduler.set_hosts(asked, hosts),
        Message::Moved(host, outcome) => match outcome {
            HostOrder::Accepted => scheduler.handle_host_order_accepted(now, &host),
            HostOrder::Refused(_) => scheduler.handle_host_order_failed(&host),
            HostOrder::Unknown => {}
        },
        Message::Maintained(order, outcome) => match outcome {
            HostOrder::Accepted => {
                scheduler.maintenance_begun(now, &order.host, order.wave);
                let done = scheduler.wave_progress(now, order.wave);
                save::record_wave(shared, order.wave, done, false);
            }
            HostOrder::Refused(_) => {
                scheduler.maintenance_refused(&order.host, order.wave);
            }
            HostOrder::Unknown => {}
        },
        Message::WaveReported(wave, state, written) => {
            if written && state == WaveState::Completed {
                scheduler.complete_wave(wave.number);
            }
        }
    }
}

fn carry_out<P: Platform>(
    shared: &Rc<Shared<P>>,
    scheduler: &Scheduler,
    command: Command,
) {
    match command {
        Command::AskPolicy(question) => orders::ask(shared, question),
        Command::Start(order) => orders::start(shared, order),
        Command::Stop(order) => orders::stop(shared, order),
        Command::Hold(order) => orders::hold(shared, order),
        Command::Pace(order) => orders::pace(shared, order),
        Command::Save(saves) => save::progress(shared, saves),
        Command::Remove(ids) => save::remove(shared, ids),
        Command::Move(order) => hosts::order(shared, Order::Move(order)),
        Command::Maintain(order) => hosts::order(shared, Order::Maintain(order)),
        Command::ReportWave(wave, state) => {
            let done = scheduler.wave_progress(clock::now(), wave.number);
            save::report_wave(shared, wave, state, done);
        }
    }
}

/// Renews the leader's lease until the term is over.
async fn renew<P: Platform>(shared: Rc<Shared<P>>, done: CancellationToken) {
    let certainty = &shared.mandate.certainty;
    let lease = shared.mandate.lease;
    loop {
        tokio::select! {
            () = done.cancelled() => return,
            () = tokio::time::sleep(RENEW_INTERVAL) => {}
        }
        let sent = clock::now();
        match shared.node.platform.store().renew(lease.id).await {
            Ok(true) => certainty.renew(sent, lease.term),
            Ok(false) => {
                certainty.end();
                return;
            }
            // The next renewal may get through; until then the certainty runs out.
            Err(_) => {}
        }
    }
}
