//! Orders for hosts, and their list.

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

/// Time between two readings of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Most orders that one record covers.
const MAX_BATCH: usize = 64;

/// Reads the list of hosts until the term is over.
pub(super) async fn list<P: Platform>(shared: Rc<Shared<P>>, done: CancellationToken) {
    let mut lost = false;
    loop {
        let asked = clock::now();
        match shared.node.platform.hosts().list().await {
            Ok(hosts) => {
                lost = false;
                notify(&shared, Message::HostsListed(asked, hosts));
            }
            Err(failure) => {
                if !lost {
                    let fields = o!("reason" => failure.to_string());
                    event::log(&shared.node.log, Event::PlatformListUnreachable, fields);
                }
                lost = true;
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
    /// Join another pool.
    Move(Move),
    /// Begin maintenance.
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

/// Hands an order to the task that sends them.
pub(super) fn enqueue<P>(shared: &Shared<P>, order: Order) {
    // After the term nobody sends orders any more.
    let _ = shared.host_orders.send(order);
}

/// Sends orders until the term is over, each after the store has its host on record: two
/// leaders must not give orders to one host shortly after each other, and a new one must
/// not wait for all the other hosts.
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
    let fence = shared.leadership.term.fence;
    let hosts = shared.node.platform.hosts();
    let outcome = match &order {
        _ if !recorded => HostOrderOutcome::Refused("not on record"),
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
