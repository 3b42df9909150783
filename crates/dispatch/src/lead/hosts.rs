//! Orders for hosts, and their list.

use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::{Authority, Move, Upkeep};
use rhubarbrill_event::Event;
use slog::o;
use tokio_util::sync::CancellationToken;

use super::orders::answer;
use super::term::{Message, Shared};
use crate::edge::{HostOrder, Hosts, Platform};
use crate::{clock, event};

/// Time between two readings of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Reads the list of hosts until the term is over.
pub(super) async fn list<P: Platform>(shared: Rc<Shared<P>>, done: CancellationToken) {
    let mut lost = false;
    loop {
        let asked = clock::now();
        match shared.node.platform.hosts().list().await {
            Ok(hosts) => {
                lost = false;
                answer(&shared, Message::Hosts(asked, hosts));
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

/// Sends an order to move a host.
pub(super) fn move_host<P: Platform>(shared: &Rc<Shared<P>>, order: Move) {
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        let outcome = if is_certain(&shared) {
            let fence = shared.mandate.term.fence;
            shared.node.platform.hosts().move_host(&order, fence).await
        } else {
            HostOrder::Refused("leadership uncertain")
        };
        report(&shared, "move", &order.host, outcome);
        answer(&shared, Message::Moved(order.host, outcome));
    });
}

/// Sends an order to begin a host's maintenance.
pub(super) fn maintain<P: Platform>(shared: &Rc<Shared<P>>, order: Upkeep) {
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        let outcome = if is_certain(&shared) {
            let fence = shared.mandate.term.fence;
            shared.node.platform.hosts().maintain(&order, fence).await
        } else {
            HostOrder::Refused("leadership uncertain")
        };
        report(&shared, "maintenance", &order.host, outcome);
        answer(&shared, Message::Maintained(order, outcome));
    });
}

fn is_certain<P>(shared: &Shared<P>) -> bool {
    shared.mandate.certainty.authority() == Authority::Certain
}

fn report<P>(shared: &Shared<P>, order: &'static str, host: &str, outcome: HostOrder) {
    let reason = match outcome {
        HostOrder::Accepted => return,
        HostOrder::Refused(reason) => reason,
        HostOrder::Unknown => "no answer",
    };
    let fields = o!("order" => order, "host" => host.to_owned(), "reason" => reason);
    event::log(&shared.node.log, Event::HostOrderFailed, fields);
}
