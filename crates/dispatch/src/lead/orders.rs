//! Sends orders to endpoints and questions to the placement policy, each in a task of its
//! own.

use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::{
    Authority, Hold, HoldOutcome, OrderOutcome, Pace, PolicyQuestion, Start, Stop,
};

use super::term::{Message, Shared};
use crate::fault::Place;
use crate::platform::{Endpoints, Platform, Policy};
use crate::supervisor::Task;
use crate::{clock, fault};

/// Sends an order to start a run, provided that the leadership is still certain.
pub(super) fn start<P: Platform>(shared: &Rc<Shared<P>>, order: Start) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        fault::check(Place::Order, &order.payload);
        let settled = if is_certain(&shared) {
            timed(&shared, async |endpoints, timeout| {
                endpoints.start(&order, timeout).await
            })
            .await
        } else {
            OrderOutcome::NotSent
        };
        shared.node.metrics.order("start", outcome(settled));
        notify(&shared, Message::Started(order.run, settled));
    });
}

/// Sends an order to stop a run, provided that the leadership is still certain.
pub(super) fn stop<P: Platform>(shared: &Rc<Shared<P>>, order: Stop) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let settled = if is_certain(&shared) {
            timed(&shared, async |endpoints, timeout| {
                endpoints.stop(&order, timeout).await
            })
            .await
        } else {
            OrderOutcome::NotSent
        };
        shared.node.metrics.order("stop", outcome(settled));
        notify(&shared, Message::Stopped(order.run, settled));
    });
}

/// Sends an order that renews the leases of an endpoint's runs. Doesn't require certain
/// leadership, but a process that was paused for long sends none that it had prepared.
pub(super) fn hold<P: Platform>(shared: &Rc<Shared<P>>, order: Hold) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let held = if shared.leadership.validity.authority() == Authority::Suspended {
            HoldOutcome::NotReported(OrderOutcome::NotSent)
        } else {
            let timeout = shared.node.order_round_trip.borrow().timeout();
            shared.node.platform.endpoints().hold(&order, timeout).await
        };
        let name = match &held {
            HoldOutcome::Reported(_) => "done",
            HoldOutcome::NotReported(settled) => outcome(*settled),
        };
        shared.node.metrics.order("hold", name);
        notify(&shared, Message::Held(order.endpoint, order.sent, held));
    });
}

/// Sends an order to change the pace of a run, provided that the leadership is still
/// certain.
pub(super) fn pace<P: Platform>(shared: &Rc<Shared<P>>, order: Pace) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        if is_certain(&shared) {
            let settled = timed(&shared, async |endpoints, timeout| {
                endpoints.pace(&order, timeout).await
            })
            .await;
            shared.node.metrics.order("pace", outcome(settled));
            notify(&shared, Message::Paced(order, settled));
        }
    });
}

/// Asks the placement policy which endpoints may run a step.
pub(super) fn ask<P: Platform>(shared: &Rc<Shared<P>>, question: PolicyQuestion) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let ruling = shared.node.platform.policy().ask(&question).await;
        notify(&shared, Message::Ruled(question, ruling));
    });
}

/// Sends an order that is answered at once, with a timeout that follows the response times
/// of earlier ones.
async fn timed<P: Platform>(
    shared: &Shared<P>,
    send: impl AsyncFnOnce(&P::Endpoints, Duration) -> OrderOutcome,
) -> OrderOutcome {
    let timeout = shared.node.order_round_trip.borrow().timeout();
    let sent = clock::now();
    let settled = send(shared.node.platform.endpoints(), timeout).await;
    let elapsed = clock::now().saturating_since(sent);
    let mut round_trip = shared.node.order_round_trip.borrow_mut();
    match settled {
        OrderOutcome::Done(_) | OrderOutcome::Rejected(..) => {
            round_trip.record_answer(elapsed);
        }
        OrderOutcome::Unknown if elapsed >= timeout => round_trip.record_timeout(),
        // Nothing was sent, or the connection was closed.
        OrderOutcome::Unknown
        | OrderOutcome::Replaced
        | OrderOutcome::NotSent
        | OrderOutcome::Unreachable => {}
    }
    settled
}

fn is_certain<P>(shared: &Shared<P>) -> bool {
    shared.leadership.validity.authority() == Authority::Certain
}

pub(super) fn notify<P>(shared: &Shared<P>, message: Message) {
    // The receiver is gone after the term has ended.
    let _ = shared.message_sender.send(message);
}

const fn outcome(settled: OrderOutcome) -> &'static str {
    match settled {
        OrderOutcome::Done(_) => "done",
        OrderOutcome::Rejected(rejection, _) => rejection.as_str(),
        OrderOutcome::Replaced => "replaced",
        OrderOutcome::NotSent => "not sent",
        OrderOutcome::Unreachable => "unreachable",
        OrderOutcome::Unknown => "unknown",
    }
}
