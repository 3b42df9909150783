//! Orders for hosts that can't be recorded in the store.

use std::time::Duration;

use rhubarbrill_core::job::host_order::{HostOrder, PendingOrders};
use rhubarbrill_core::job::scheduler::Move;
use rhubarbrill_core::time::Instant;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn order(host: &str, pool: &str) -> HostOrder {
    HostOrder::Move(Move {
        host: host.to_owned(),
        pool: pool.to_owned(),
    })
}

/// A leader that the store rejects would otherwise try the record ten times a second, and
/// log each order each time.
#[test]
fn records_that_fail_are_retried_with_growing_delays() {
    let mut pending = PendingOrders::new(at(0), None);
    let mut delays = Vec::new();
    let mut now = at(0);
    for number in 0..6 {
        pending.add(now, order("m1", &format!("p{number}")));
        let batch = pending.take_due(now);
        assert_eq!(batch.len(), 1, "one order for each host");
        let delay = pending.retry(now, batch);
        let early =
            pending.take_due(now + delay.saturating_sub(Duration::from_millis(1)));
        assert!(early.is_empty(), "no attempt before the delay is over");
        delays.push(delay.as_millis());
        now = now + delay;
    }
    assert_eq!(delays, [100, 200, 400, 800, 1_000, 1_000]);
    let batch = pending.take_due(now);
    pending.record_sent(now, batch.len());
    pending.add(now, order("m1", "p"));
    assert_eq!(
        pending.take_due(now).len(),
        1,
        "a record that is stored ends the delays"
    );
}

/// An order that was decided on while the record of an earlier one failed is newer.
#[test]
fn newer_order_for_a_host_replaces_the_one_that_waits() {
    let mut pending = PendingOrders::new(at(0), None);
    pending.add(at(0), order("m1", "old"));
    let batch = pending.take_due(at(0));
    pending.add(at(50), order("m1", "new"));
    let delay = pending.retry(at(60), batch);
    let due = pending.take_due(at(60) + delay);
    let orders: Vec<HostOrder> = due.into_iter().map(|pending| pending.order).collect();
    assert_eq!(orders, [order("m1", "new")]);
}

/// A host may have received work again when a late order for it is sent.
#[test]
fn order_that_waited_for_too_long_is_given_up() {
    let mut pending = PendingOrders::new(at(0), None);
    pending.add(at(0), order("m1", "p"));
    pending.add(at(1_000), order("m2", "p"));
    assert!(pending.take_expired(at(2_499)).is_empty());
    let expired = pending.take_expired(at(2_500));
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].order.host(), "m1");
    assert_eq!(pending.len(), 1);
}

/// Orders that gathered during an outage would exceed the rate that the hosts' platform
/// accepts if they were sent at once.
#[test]
fn gathered_orders_are_sent_at_the_accepted_rate() {
    let mut pending = PendingOrders::new(at(0), Some(10));
    for number in 0..25 {
        pending.add(at(0), order(&format!("m{number:02}"), "p"));
    }
    let mut sent = Vec::new();
    for now_ms in (0..2_500).step_by(50) {
        let due = pending.take_due(at(now_ms));
        if !due.is_empty() {
            pending.record_sent(at(now_ms), due.len());
            sent.push((now_ms, due.len()));
        }
    }
    // Whether there is room again is checked every 100 ms.
    assert_eq!(sent, [(0, 10), (1_050, 10), (2_100, 5)]);
}
