//! Who leads: the process that writes the leader's record while there is none.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::Term;
use uuid::Uuid;

use super::authority::LeaseValidity;
use super::term;
use crate::node::Node;
use crate::platform::{
    CommitOutcome, Condition, Failure, Item, Lease, Platform, Store, Transaction, Write,
};
use crate::view::{Leader, TermCounter};
use crate::{clock, key};

/// Term of the leader's lease: a new leader follows within it, and runs outlive it.
const LEASE_TTL: Duration = Duration::from_millis(1_400);

/// Time between two looks for a leader, beside those that changes cause.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Most that a candidate waits for the others, so that few compete.
const MAX_STAGGER_MS: u64 = 160;

/// Processor, in cores, from which on a process leads as well as any: the smaller deployments
/// give each process as much.
const FULL_CPU: f64 = 0.25;

/// How much longer than others a candidate without any processor waits.
const MAX_LOW_CPU_DELAY: Duration = Duration::from_millis(800);

/// Age of the copy of the store above which a process is no candidate.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);

/// Tries to settle an election whose answer was lost.
const COMMIT_ATTEMPTS: u32 = 4;

/// A won election.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) term: Term,
    pub(super) lease: Lease,
    pub(super) validity: LeaseValidity,
}

/// Stands for election whenever there is no leader, and leads when elected, until the process
/// is asked to stop.
pub async fn campaign<P: Platform>(node: Rc<Node<P>>) {
    let nonce = Uuid::new_v4().to_string();
    while !node.stopping.is_cancelled() {
        let check = tokio::time::timeout(CHECK_INTERVAL, node.changed.notified());
        tokio::select! {
            // Either way it is time to look.
            _ = check => {}
            () = node.stopping.cancelled() => return,
        }
        if !is_leaderless(&node) {
            continue;
        }
        let delay = stagger(&nonce) + low_cpu_delay(node.settings.cpu);
        tokio::time::sleep(delay).await;
        if !is_leaderless(&node) || node.stopping.is_cancelled() {
            continue;
        }
        if let Some(leadership) = try_acquire(&node, &nonce).await {
            term::lead(Rc::clone(&node), leadership).await;
        }
    }
}

fn is_leaderless<P>(node: &Node<P>) -> bool {
    let fresh = node
        .store_age(clock::now())
        .is_some_and(|age| age <= MAX_VIEW_AGE);
    let view = node.view.borrow();
    fresh && view.leader.is_none() && view.configuration.is_some()
}

fn stagger(nonce: &str) -> Duration {
    let mut hasher = DefaultHasher::new();
    nonce.hash(&mut hasher);
    Duration::from_millis(hasher.finish() % MAX_STAGGER_MS)
}

/// Returns how long a candidate lets those go first that have more processor.
fn low_cpu_delay(cpu: f64) -> Duration {
    let missing = 1.0 - (cpu / FULL_CPU).clamp(0.0, 1.0);
    MAX_LOW_CPU_DELAY.mul_f64(missing)
}

async fn try_acquire<P: Platform>(node: &Node<P>, nonce: &str) -> Option<Leadership> {
    let store = node.platform.store();
    let sent = clock::now();
    let ttl = LEASE_TTL.max(node.settings.min_lease);
    // Without a lease there is no candidacy; the next look tries again.
    let lease = store.grant(ttl).await.ok()?;
    let validity = LeaseValidity::new(sent, lease.ttl);
    let counter = node.view.borrow().term.clone();
    let number = counter.as_ref().map_or(0, |counter| counter.value.number) + 1;
    let leader = Leader {
        name: node.settings.name.clone(),
        nonce: nonce.to_owned(),
        address: Some(node.settings.internal),
    };
    let leader = serde_json::to_vec(&leader).ok()?;
    let transaction = Transaction {
        conditions: vec![
            condition(key::LEADER, 0),
            condition(key::TERM, counter.map_or(0, |counter| counter.revision)),
        ],
        writes: vec![
            write(key::LEADER, leader.clone(), Some(lease.id)),
            write(
                key::TERM,
                serde_json::to_vec(&TermCounter { number }).ok()?,
                None,
            ),
        ],
        removals: Vec::new(),
    };
    let fence = commit_until_certain(store, &transaction, &leader).await;
    let Some(fence) = fence else {
        // An unused lease ends by itself if this call is lost.
        let _ = store.revoke(lease.id).await;
        return None;
    };
    Some(Leadership {
        term: Term {
            fence,
            number,
            since: fence,
        },
        lease,
        validity,
    })
}

/// Sends the transaction until it is certain whether it took effect, and returns the revision
/// if it did.
async fn commit_until_certain<S: Store>(
    store: &S,
    transaction: &Transaction,
    leader: &[u8],
) -> Option<u64> {
    for _ in 0..COMMIT_ATTEMPTS {
        match store.commit(transaction).await {
            Ok(CommitOutcome::Done(revision)) => return Some(revision),
            Ok(CommitOutcome::Conflict(items)) => return won_revision(&items, leader),
            Ok(CommitOutcome::LeaseNotFound)
            | Err(Failure::NotDone(_) | Failure::Compacted) => {
                return None;
            }
            Err(Failure::Unknown(_)) => {}
        }
    }
    None
}

fn won_revision(items: &[Item], leader: &[u8]) -> Option<u64> {
    let item = items.iter().find(|item| item.key == key::LEADER)?;
    (item.value.as_deref() == Some(leader)).then_some(item.revision)
}

fn condition(key: &str, revision: u64) -> Condition {
    Condition {
        key: key.to_owned(),
        revision,
    }
}

fn write(key: &str, value: Vec<u8>, lease: Option<u64>) -> Write {
    Write::Record {
        key: key.to_owned(),
        value,
        lease,
    }
}
