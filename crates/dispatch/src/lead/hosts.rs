//! Lists hosts and sends orders for them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::host_order::{HostOrder, PendingOrder, PendingOrders};
use rhubarbrill_core::job::scheduler::Authority;
use rhubarbrill_core::time::Instant;
use rhubarbrill_event::Event;
use slog::o;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;

use super::orders::notify;
use super::recovery::OrdersRecord;
use super::save;
use super::term::{Message, Shared};
use crate::platform::{HostOrderOutcome, Hosts, Platform};
use crate::supervisor::Task;
use crate::{clock, event};

/// Interval between listings of the hosts.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of new orders that are taken in at once.
const MAX_BATCH: usize = 64;

/// Reason of an order that was given up because its record couldn't be stored in time.
const NOT_RECORDED: &str = "order not recorded in the store";

/// Reason of an order that was given up because it expired after it was recorded.
const TOO_OLD: &str = "order is too old to be sent";

/// Lists the hosts periodically until the term ends.
pub(super) async fn list<P: Platform>(shared: Rc<Shared<P>>, done: CancellationToken) {
    let mut unreachable = false;
    loop {
        let requested_at = clock::now();
        match shared.node.platform.hosts().list().await {
            Ok(hosts) => {
                unreachable = false;
                notify(&shared, Message::HostsListed(requested_at, hosts));
            }
            Err(failure) => {
                if !unreachable {
                    let fields = o!("reason" => failure.to_string());
                    event::log(&shared.node.log, Event::PlatformListUnreachable, fields);
                }
                unreachable = true;
            }
        }
        tokio::select! {
            () = done.cancelled() => return,
            () = tokio::time::sleep(LIST_INTERVAL) => {}
        }
    }
}

/// Queues an order for the task that sends them.
pub(super) fn enqueue<P>(shared: &Shared<P>, order: HostOrder) {
    // The receiver is gone after the term has ended.
    let _ = shared.host_orders.send(order);
}

/// Sends orders until the term ends. The host of each order is recorded in the store
/// before the order is sent: two leaders must not send orders for the same host within a
/// short time, and a new leader must not have to wait for hosts that received none.
pub(super) async fn send<P: Platform>(
    shared: Rc<Shared<P>>,
    mut orders: UnboundedReceiver<HostOrder>,
    done: CancellationToken,
) {
    let mut recent: BTreeMap<String, Instant> = BTreeMap::new();
    let limit = shared.node.settings.host_orders_per_second;
    let mut pending = PendingOrders::new(clock::now(), limit);
    loop {
        let mut new = Vec::new();
        tokio::select! {
            () = done.cancelled() => return,
            _ = orders.recv_many(&mut new, MAX_BATCH) => {}
            () = wait_until(pending.next_attempt()) => {}
        }
        let now = clock::now();
        for order in new {
            pending.add(now, order);
        }
        for expired in pending.take_expired(now) {
            settle(
                &shared,
                expired.order,
                HostOrderOutcome::Refused(NOT_RECORDED),
            );
        }
        let batch = pending.take_due(now);
        if batch.is_empty() {
            continue;
        }
        if record(&shared, &mut recent, &batch).await {
            pending.record_sent(clock::now(), batch.len());
            for order in batch {
                let call = execute(Rc::clone(&shared), order);
                shared.supervisor.spawn(Task::LeaderCall, call);
            }
        } else {
            postpone(&shared, &mut pending, batch);
        }
    }
}

/// Waits until the given time, or forever if there is none.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep(at.saturating_since(clock::now())).await,
        None => std::future::pending().await,
    }
}

/// Records which hosts are about to receive orders. Returns whether the record is
/// certainly stored.
async fn record<P: Platform>(
    shared: &Shared<P>,
    recent: &mut BTreeMap<String, Instant>,
    batch: &[PendingOrder],
) -> bool {
    let now = clock::now();
    let pause = shared.node.settings.host_order_pause;
    recent.retain(|_, at| now.saturating_since(*at) < pause);
    let hosts = batch.iter().map(|pending| pending.order.host().to_owned());
    recent.extend(hosts.map(|host| (host, now)));
    let age = |at: &Instant| now.saturating_since(*at).as_millis();
    let hosts = recent
        .iter()
        .map(|(host, at)| (host.clone(), u64::try_from(age(at)).unwrap_or(0)))
        .collect();
    save::record_orders(shared, OrdersRecord { hosts }).await
}

/// Keeps the orders of a batch that couldn't be recorded for the next attempt.
fn postpone<P>(
    shared: &Shared<P>,
    pending: &mut PendingOrders,
    batch: Vec<PendingOrder>,
) {
    let now = clock::now();
    let ages = batch
        .iter()
        .map(|pending| now.saturating_since(pending.decided_at));
    let age = ages.max().unwrap_or_default();
    let delay = pending.retry(now, batch);
    let fields = o!(
        "orders" => pending.len(),
        "age_ms" => clock::millis(age),
        "delay_ms" => clock::millis(delay),
    );
    event::log(&shared.node.log, Event::HostOrdersPostponed, fields);
}

async fn execute<P: Platform>(shared: Rc<Shared<P>>, pending: PendingOrder) {
    let certain = shared.leadership.validity.authority() == Authority::Certain;
    let fence = shared.leadership.term.fencing_token;
    let hosts = shared.node.platform.hosts();
    let outcome = match &pending.order {
        _ if pending.is_expired(clock::now()) => HostOrderOutcome::Refused(TOO_OLD),
        _ if !certain => HostOrderOutcome::Refused("leadership uncertain"),
        HostOrder::Move(order) => hosts.move_host(order, fence).await,
        HostOrder::Maintain(order) => hosts.begin_maintenance(order, fence).await,
    };
    settle(&shared, pending.order, outcome);
}

/// Reports the outcome of an order to the leader's task.
fn settle<P>(shared: &Shared<P>, order: HostOrder, outcome: HostOrderOutcome) {
    report(shared, order.name(), order.host(), outcome);
    let message = match order {
        HostOrder::Move(order) => Message::Moved(order.host, outcome),
        HostOrder::Maintain(order) => Message::Maintained(order, outcome),
    };
    notify(shared, message);
}

fn report<P>(
    shared: &Shared<P>,
    order: &'static str,
    host: &str,
    outcome: HostOrderOutcome,
) {
    let reason = match outcome {
        HostOrderOutcome::Accepted => return,
        HostOrderOutcome::Refused(reason) => reason,
        HostOrderOutcome::Unknown => "no answer",
    };
    let fields = o!("order" => order, "host" => host.to_owned(), "reason" => reason);
    event::log(&shared.node.log, Event::HostOrderFailed, fields);
}
