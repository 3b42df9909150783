//! Lists hosts and sends orders for them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::{Authority, Maintenance, Move};
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
use crate::{clock, event};

/// Interval between listings of the hosts.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of orders that one record covers.
const MAX_BATCH: usize = 64;

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

/// An order for a host.
#[derive(Clone, Debug)]
pub(super) enum Order {
    /// Move the host to another pool.
    Move(Move),
    /// Begin the maintenance of the host.
    Maintain(Maintenance),
}

impl Order {
    fn host(&self) -> &str {
        match self {
            Self::Move(order) => &order.host,
            Self::Maintain(order) => &order.host,
        }
    }

    const fn name(&self) -> &'static str {
        match self {
            Self::Move(_) => "move",
            Self::Maintain(_) => "maintenance",
        }
    }
}

/// Queues an order for the task that sends them.
pub(super) fn enqueue<P>(shared: &Shared<P>, order: Order) {
    // The receiver is gone after the term has ended.
    let _ = shared.host_orders.send(order);
}

/// Sends orders until the term ends. The host of each order is recorded in the store
/// before the order is sent: two leaders must not send orders for the same host within a
/// short time, and a new leader must not have to wait for hosts that received none.
pub(super) async fn send<P: Platform>(
    shared: Rc<Shared<P>>,
    mut orders: UnboundedReceiver<Order>,
    done: CancellationToken,
) {
    let mut recent: BTreeMap<String, Instant> = BTreeMap::new();
    loop {
        let mut batch = Vec::new();
        tokio::select! {
            () = done.cancelled() => return,
            _ = orders.recv_many(&mut batch, MAX_BATCH) => {}
        }
        let now = clock::now();
        let pause = shared.node.settings.host_order_pause;
        recent.retain(|_, at| now.saturating_since(*at) < pause);
        recent.extend(batch.iter().map(|order| (order.host().to_owned(), now)));
        let age = |at: &Instant| now.saturating_since(*at).as_millis();
        let hosts = recent
            .iter()
            .map(|(host, at)| (host.clone(), u64::try_from(age(at)).unwrap_or(0)))
            .collect();
        let recorded = save::record_orders(&shared, OrdersRecord { hosts }).await;
        for order in batch {
            tokio::task::spawn_local(execute(Rc::clone(&shared), order, recorded));
        }
    }
}

async fn execute<P: Platform>(shared: Rc<Shared<P>>, order: Order, recorded: bool) {
    let certain = shared.leadership.validity.authority() == Authority::Certain;
    let fence = shared.leadership.term.fencing_token;
    let hosts = shared.node.platform.hosts();
    let outcome = match &order {
        _ if !recorded => HostOrderOutcome::Refused("order not recorded in the store"),
        _ if !certain => HostOrderOutcome::Refused("leadership uncertain"),
        Order::Move(order) => hosts.move_host(order, fence).await,
        Order::Maintain(order) => hosts.begin_maintenance(order, fence).await,
    };
    report(&shared, order.name(), order.host(), outcome);
    let message = match order {
        Order::Move(order) => Message::Moved(order.host, outcome),
        Order::Maintain(order) => Message::Maintained(order, outcome),
    };
    notify(&shared, message);
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
