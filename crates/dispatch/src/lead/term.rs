//! A term of leadership: news and answers go to the scheduler, its commands go out.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::{
    Authority, Command, Ending, Held, Host, Options, Pace, Question, Ruling, Save,
    Scheduler, Settled, Upkeep, Wave, WaveState,
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
use super::{hosts, notes, orders, save};
use crate::edge::{HostOrder, Platform, Store};
use crate::node::Node;
use crate::view::Delta;
use crate::{clock, event};

/// Time between two decisions while nothing happens.
const TICK: Duration = Duration::from_millis(25);

/// Time between two decisions on hosts.
const HOST_TICK: Duration = Duration::from_millis(100);

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
    Started(RunKey, Settled),
    /// An order to stop was settled.
    Stopped(RunKey, Settled),
    /// An order to hold, sent at the instant, was settled.
    Held(EndpointKey, Instant, Held),
    /// An order to change a pace was settled.
    Paced(Pace, Settled),
    /// The placement policy answered a question, or didn't.
    Ruled(Question, Ruling),
    /// A write of progress ended.
    Saved(Vec<Save>, Ending),
    /// A removal of finished jobs ended.
    Removed(Vec<String>, bool),
    /// The hosts were listed by a call that was made at the instant.
    Hosts(Instant, Vec<Host>),
    /// An order to move a host ended.
    Moved(String, HostOrder),
    /// An order to begin maintenance ended.
    Maintained(Upkeep, HostOrder),
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
    report(&shared, Event::TermBegan);
    if catch_up(&shared).await {
        while news.try_recv().is_ok() {}
        work(&shared, &mut messages, &mut news).await;
    }
    done.cancel();
    *shared.node.leader_news.borrow_mut() = None;
    // They end by themselves; a failure in them has been logged.
    let _ = tokio::join!(renewal, listing, ordering);
    // Without an answer the lease ends by itself.
    let _ = shared
        .node
        .platform
        .store()
        .revoke(shared.mandate.lease.id)
        .await;
    report(&shared, Event::TermEnded);
}

fn report<P: Platform>(shared: &Shared<P>, what: Event) {
    let term = shared.mandate.term;
    let fields = o!("fence" => term.fence, "term" => term.number);
    event::log(&shared.node.log, what, fields);
}

/// Waits until the copy holds all that was written before the term began.
async fn catch_up<P: Platform>(shared: &Shared<P>) -> bool {
    while !shared.mandate.certainty.is_over() && !shared.node.stopping.is_cancelled() {
        if shared.node.view.borrow().as_of >= shared.mandate.term.since {
            return true;
        }
        tokio::time::sleep(CATCH_UP_PAUSE).await;
    }
    false
}

async fn work<P: Platform>(
    shared: &Rc<Shared<P>>,
    messages: &mut UnboundedReceiver<Message>,
    news: &mut UnboundedReceiver<Vec<Delta>>,
) {
    let node = &shared.node;
    let mut scheduler = new_scheduler(shared);
    let mut next_hosts = clock::now();
    let mut certain = Authority::Certain;
    loop {
        let wake = tokio::time::sleep(TICK);
        tokio::select! {
            Some(message) = messages.recv() => {
                take(shared, &mut scheduler, message);
                while let Ok(message) = messages.try_recv() {
                    take(shared, &mut scheduler, message);
                }
            }
            Some(deltas) = news.recv() => learn_all(shared, &mut scheduler, &deltas),
            () = wake => {}
            () = node.stopping.cancelled() => return,
        }
        while let Ok(deltas) = news.try_recv() {
            learn_all(shared, &mut scheduler, &deltas);
        }
        if scheduler.is_deposed() || shared.mandate.certainty.is_over() {
            return;
        }
        let authority = shared.mandate.certainty.authority();
        note_authority(shared, &mut certain, authority);
        let now = clock::now();
        let mut commands = scheduler.poll(now, clock::wall(), authority);
        if now >= next_hosts && authority == Authority::Certain {
            next_hosts = now + HOST_TICK;
            commands.extend(scheduler.poll_hosts(now));
        }
        notes::write(node, scheduler.take_notes());
        for command in commands {
            carry_out(shared, &scheduler, command);
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

fn new_scheduler<P: Platform>(shared: &Shared<P>) -> Scheduler {
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
    for (host, &age_ms) in &view.orders.hosts {
        let age = Duration::from_millis(age_ms);
        let left = settings.host_order_pause.saturating_sub(age);
        scheduler.keep_host_until(host, now + left);
    }
    if let Some(configuration) = &view.configuration {
        scheduler.set_configuration((**configuration).clone());
    }
    for report in view.endpoints.values() {
        scheduler.set_endpoint(now, report.clone());
    }
    for id in view.jobs.keys() {
        learn_job(&view, &mut scheduler, now, id);
    }
    for &number in view.waves.keys() {
        learn_wave(&view, &mut scheduler, number);
    }
    scheduler
}

fn learn_all<P: Platform>(
    shared: &Shared<P>,
    scheduler: &mut Scheduler,
    deltas: &[Delta],
) {
    let view = shared.node.view.borrow();
    let now = clock::now();
    for delta in deltas {
        match delta {
            Delta::Configuration => {
                if let Some(configuration) = &view.configuration {
                    scheduler.set_configuration((**configuration).clone());
                }
            }
            Delta::Endpoint(id) => {
                if let Some(report) = view.endpoints.get(id) {
                    scheduler.set_endpoint(now, report.clone());
                }
            }
            Delta::EndpointGone(id) => scheduler.unlist_endpoint(now, id),
            Delta::Job(id) => learn_job(&view, scheduler, now, id),
            Delta::Cancelled(id) => scheduler.cancel_job(now, id),
            Delta::JobGone(id) => scheduler.forget_job(id),
            Delta::Wave(number) => learn_wave(&view, scheduler, *number),
            Delta::Leader => {
                let fence = shared.mandate.term.fence;
                if view
                    .leader
                    .as_ref()
                    .is_none_or(|leader| leader.revision != fence)
                {
                    shared.mandate.certainty.end();
                }
            }
            Delta::Progress | Delta::Unreadable { .. } => {}
        }
    }
}

fn learn_job(
    view: &crate::view::View,
    scheduler: &mut Scheduler,
    now: Instant,
    id: &str,
) {
    let Some(job) = view.jobs.get(id) else {
        return;
    };
    let Some(record) = &job.record else {
        return;
    };
    let progress = job.progress.as_ref();
    scheduler.add_job(
        now,
        clock::wall(),
        id,
        record.revision,
        (*record.value).clone(),
        progress.map(|progress| (progress.value.clone(), progress.revision)),
    );
    if job.cancelled {
        scheduler.cancel_job(now, id);
    }
}

fn learn_wave(view: &crate::view::View, scheduler: &mut Scheduler, number: u64) {
    let Some(wave) = view.waves.get(&number) else {
        return;
    };
    let record = view.wave_records.get(&number);
    if record.is_some_and(|record| record.value.completed) {
        scheduler.complete_wave(number);
        return;
    }
    let done = record.map_or_else(BTreeSet::new, |record| record.value.done.clone());
    scheduler.add_wave(wave.clone(), done);
}

fn take<P: Platform>(
    shared: &Rc<Shared<P>>,
    scheduler: &mut Scheduler,
    message: Message,
) {
    let now = clock::now();
    match message {
        Message::Started(run, settled) => scheduler.started(now, run, settled),
        Message::Stopped(run, settled) => scheduler.stopped(now, run, settled),
        Message::Held(endpoint, sent, held) => scheduler.held(now, endpoint, sent, held),
        Message::Paced(order, settled) => scheduler.paced(now, &order, settled),
        Message::Ruled(question, ruling) => scheduler.ruled(now, &question, ruling),
        Message::Saved(saves, ending) => scheduler.saved(now, &saves, &ending),
        Message::Removed(ids, done) => scheduler.removed(&ids, done),
        Message::Hosts(asked, hosts) => scheduler.set_hosts(asked, hosts),
        Message::Moved(host, outcome) => match outcome {
            HostOrder::Accepted => {}
            HostOrder::Refused(_) => scheduler.host_order_failed(&host),
            HostOrder::Unknown => {}
        },
        Message::Maintained(order, outcome) => match outcome {
            HostOrder::Accepted => {
                scheduler.maintenance_begun(now, &order.host, order.wave);
                let done = scheduler.maintained_hosts(order.wave);
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
        Command::Ask(question) => orders::ask(shared, question),
        Command::Start(order) => orders::start(shared, order),
        Command::Stop(order) => orders::stop(shared, order),
        Command::Hold(order) => orders::hold(shared, order),
        Command::Pace(order) => orders::pace(shared, order),
        Command::Save(saves) => save::progress(shared, saves),
        Command::Remove(ids) => save::remove(shared, ids),
        Command::Move(order) => hosts::order(shared, Order::Move(order)),
        Command::Maintain(order) => hosts::order(shared, Order::Maintain(order)),
        Command::ReportWave(wave, state) => {
            let done = scheduler.maintained_hosts(wave.number);
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
