//! Ends the term of a leader that alone can't reach the store, so that another entry host
//! needn't wait for its lease to expire.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use rhubarbrill_event::Event;
use slog::o;

use super::term::Shared;
use crate::front::hand_over::{END_TERM_PATH, EndTerm, REACHABLE_PATH, Reachable};
use crate::platform::{Peers, Platform};
use crate::supervisor::Task;
use crate::view::decode;
use crate::{clock, event};

/// Timeout of the question whether an entry host reaches the store.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of the request to end the lease, which takes two calls to the store.
const END_TIMEOUT: Duration = Duration::from_millis(700);

/// The answers of other entry hosts.
#[derive(Debug)]
pub(super) struct Answers {
    /// Number of entry hosts that were asked.
    asked: usize,
    /// Address of one that reaches the store, if there is one.
    pub(super) reaching: Option<SocketAddr>,
}

/// Asks two other entry hosts whether they reach the store. Each round asks others.
pub(super) async fn ask_others<P: Platform>(
    shared: Rc<Shared<P>>,
    round: u32,
) -> Answers {
    let addresses = choose(&shared, round);
    let mut others = addresses.iter().copied();
    let (first, second) = (others.next(), others.next());
    let (first, second) = tokio::join!(ask(&shared, first), ask(&shared, second));
    Answers {
        asked: addresses.len(),
        reaching: first.or(second),
    }
}

/// Logs the answers. If `hands_over` is set, ends the term and asks the entry host that
/// reaches the store to end the lease. `failing` is the time for which renewals have failed.
pub(super) fn conclude<P: Platform>(
    shared: &Rc<Shared<P>>,
    failing: Duration,
    answers: &Answers,
    hands_over: bool,
) {
    let reaching = answers.reaching.map(|address| address.to_string());
    let fields = o!(
        "fence" => shared.leadership.term.fencing_token,
        "failing_ms" => clock::millis(failing),
        "asked" => answers.asked,
        "reaching" => reaching.unwrap_or_default(),
        "handed_over" => hands_over,
    );
    event::log(&shared.node.log, Event::HandOverChecked, fields);
    if let Some(address) = answers.reaching.filter(|_| hands_over) {
        // From here on, nothing more is sent.
        shared.leadership.validity.end();
        let call = end_term(Rc::clone(shared), address);
        shared.supervisor.spawn(Task::LeaderCall, call);
    }
}

/// Returns the addresses of up to two other entry hosts.
fn choose<P>(shared: &Shared<P>, round: u32) -> Vec<SocketAddr> {
    let own = &shared.node.settings.name;
    let view = shared.node.view.borrow();
    let mut others: Vec<(u64, SocketAddr)> = view
        .entries
        .iter()
        .filter(|(name, _)| *name != own)
        .map(|(name, record)| (order(name, round), record.address))
        .collect();
    others.sort_unstable();
    others
        .into_iter()
        .take(2)
        .map(|(_, address)| address)
        .collect()
}

/// Returns the position of an entry host among those that may be asked in a round.
fn order(name: &str, round: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (name, round).hash(&mut hasher);
    hasher.finish()
}

/// Returns the address if the entry host there reaches the store.
async fn ask<P: Platform>(
    shared: &Shared<P>,
    address: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let address = address?;
    let peers = shared.node.platform.peers();
    let call = peers.call(
        address,
        Method::POST,
        REACHABLE_PATH,
        Vec::new(),
        ASK_TIMEOUT,
    );
    let reply: Reachable = decode(&call.await.ok()?).ok()?;
    reply.reachable.then_some(address)
}

async fn end_term<P: Platform>(shared: Rc<Shared<P>>, address: SocketAddr) {
    let record = &shared.leadership.record;
    let message = EndTerm {
        lease: record.lease().id,
        fence: record.revision(),
    };
    let Ok(body) = serde_json::to_vec(&message) else {
        return;
    };
    let peers = shared.node.platform.peers();
    // If the message is lost, the lease expires.
    let _ = peers
        .call(address, Method::POST, END_TERM_PATH, body, END_TIMEOUT)
        .await;
}
