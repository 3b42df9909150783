//! Keeps the copy of the store up to date.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_event::Event;
use slog::o;

use crate::edge::{Changes, Failure, Platform, Store};
use crate::node::Node;
use crate::view::Delta;
use crate::{clock, event};

/// Longest time that a watch waits for a change; a connection that has gone silent is noticed
/// shortly after.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Pause between two watches, which gathers changes; each watch is paid for.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(150);

/// The same at the leader, whose jobs wait for it.
const LEADER_PAUSE: Duration = Duration::from_millis(20);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Follows the store until the process ends.
pub async fn follow<P: Platform>(node: Rc<Node<P>>) {
    loop {
        match list(&node).await {
            Ok(()) => watch(&node).await,
            Err(failure) => failed(&node, &failure).await,
        }
    }
}

/// Reads everything.
async fn list<P: Platform>(node: &Node<P>) -> Result<(), Failure> {
    let mut listed = BTreeSet::new();
    let mut items = Vec::new();
    let mut after: Option<String> = None;
    let mut as_of = None;
    loop {
        let page = node.platform.store().list(after.as_deref()).await?;
        let first = *as_of.get_or_insert(page.as_of);
        listed.extend(page.items.iter().map(|item| item.key.clone()));
        after = page.items.last().map(|item| item.key.clone()).or(after);
        items.extend(page.items);
        if !page.has_more {
            let missing = node.view.borrow().missing(&listed, first);
            items.extend(missing);
            take(
                node,
                Changes {
                    changes: items,
                    as_of: first,
                },
            );
            return Ok(());
        }
    }
}

/// Follows changes until history is missing.
async fn watch<P: Platform>(node: &Node<P>) {
    loop {
        let after = node.view.borrow().as_of;
        match node.platform.store().watch(after, WATCH_WAIT).await {
            Ok(changes) => {
                let quiet = changes.changes.is_empty();
                take(node, changes);
                if !quiet {
                    pause(node).await;
                }
            }
            Err(Failure::Compacted) => {
                event::log(&node.log, Event::HistoryMissing, o!("as_of" => after));
                return;
            }
            Err(failure) => failed(node, &failure).await,
        }
    }
}

async fn pause<P: Platform>(node: &Node<P>) {
    let pause = if node.is_leading() {
        LEADER_PAUSE
    } else {
        FOLLOWER_PAUSE
    };
    tokio::time::sleep(pause).await;
}

async fn failed<P: Platform>(node: &Node<P>, failure: &Failure) {
    if node.note_store(true) {
        let age = node.store_age(clock::now()).map(|age| age.as_millis());
        let fields = o!("reason" => failure.to_string(), "age_ms" => format!("{age:?}"));
        event::log(&node.log, Event::StoreUnreachable, fields);
    }
    tokio::time::sleep(RETRY_PAUSE).await;
}

fn take<P: Platform>(node: &Node<P>, changes: Changes) {
    if node.note_store(false) {
        event::log(
            &node.log,
            Event::StoreReachable,
            o!("as_of" => changes.as_of),
        );
    }
    let deltas = {
        let mut view = node.view.borrow_mut();
        let deltas = view.apply(changes.changes);
        view.as_of = view.as_of.max(changes.as_of);
        view.heard_at = Some(clock::now());
        deltas
    };
    for delta in &deltas {
        report(node, delta);
    }
    if let Some(news) = node.leader_news.borrow().as_ref() {
        // The leader's task may have just ended; then nobody needs the news.
        let _ = news.send(deltas);
    }
    node.changed.notify_waiters();
}

/// Logs what the process now believes.
fn report<P: Platform>(node: &Node<P>, delta: &Delta) {
    match delta {
        Delta::Configuration => {
            let version = node.configuration().map_or(0, |held| held.version);
            let fields = o!("version" => version, "as_of" => node.view.borrow().as_of);
            event::log(&node.log, Event::RevisionInForce, fields);
        }
        Delta::Leader => {
            let view = node.view.borrow();
            let name = view.leader.as_ref().map(|leader| leader.value.name.clone());
            let revision = view.leader.as_ref().map_or(0, |leader| leader.revision);
            let fields = o!("leader" => name.unwrap_or_default(), "revision" => revision);
            event::log(&node.log, Event::LeaderSeen, fields);
        }
        Delta::Unreadable { key, reason } => {
            let fields = o!("key" => key.clone(), "reason" => reason.clone());
            event::log(&node.log, Event::ItemUnreadable, fields);
        }
        Delta::Wave(wave) => {
            event::log(&node.log, Event::WaveSeen, o!("wave" => *wave));
        }
        Delta::Cancelled(_)
        | Delta::Endpoint(_)
        | Delta::EndpointGone(_)
        | Delta::Job(_)
        | Delta::JobGone(_)
        | Delta::Progress => {}
    }
}
