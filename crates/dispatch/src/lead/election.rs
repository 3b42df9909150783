//! Leader election: a process becomes leader by writing the leader's record while there
//! is none.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::leader::{Leader, Vacancy};
use rhubarbrill_core::job::scheduler::Term;
use rhubarbrill_core::time::Instant;
use uuid::Uuid;

use super::authority::LeaseValidity;
use super::record::Record;
use super::term::{self, End};
use crate::node::Node;
use crate::platform::{
    CommitOutcome, Condition, Failure, Item, Lease, Platform, Store, Transaction, Write,
};
use crate::supervisor::Backoff;
use crate::view::TermCounter;
use crate::{clock, key};

/// TTL of the leader's lease. Bounds the time until a new leader can be elected; the
/// leases of runs last longer.
const LEASE_TTL: Duration = Duration::from_millis(1_400);

/// Interval between checks for a missing leader. Changes of the view cause checks in
/// between.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Upper bound of a candidate's delay, which is derived from its random nonce so that few
/// candidates compete.
const MAX_STAGGER_MS: u64 = 160;

/// CPU share, in cores, above which more CPU doesn't make a process a better leader. In
/// the smaller deployments, every process has this much.
const FULL_CPU: f64 = 0.25;

/// Additional delay of a candidate without any CPU share.
const MAX_LOW_CPU_DELAY: Duration = Duration::from_millis(800);

/// Additional delay of a candidate that couldn't reach the store until a moment ago. The
/// leader may not have reached it either, and continues its term under a new lease: it
/// tries each 100 ms, and each try takes three calls.
const RECLAIM_DELAY: Duration = Duration::from_millis(250);

/// Time after an outage of the store during which candidates wait for [`RECLAIM_DELAY`].
const RECLAIM_WINDOW: Duration = Duration::from_secs(1);

/// Age of the view above which a process doesn't run for election.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);

/// Duration from which a term shows that leading is possible.
const SOUND_TERM: Duration = Duration::from_secs(60);

/// Maximum number of attempts to commit an election whose outcome is unknown.
const COMMIT_ATTEMPTS: u32 = 4;

/// A won election: the term, the leader's record and the validity of its lease.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) term: Term,
    pub(super) record: Record,
    pub(super) validity: LeaseValidity,
}

/// The outcome of an attempt to write the leader's record again.
#[derive(Debug)]
pub(super) enum Reclaim {
    /// The record was written at this revision, attached to this lease.
    Done { revision: u64, lease: Lease },
    /// Another process leads or has led, or the record may have been written without an
    /// answer.
    Lost,
    /// The store granted no lease, or certainly didn't write the record.
    Unavailable,
}

/// The outcome of a transaction that writes the leader's record.
#[derive(Clone, Copy, Debug)]
enum Written {
    /// The record was written at this revision.
    Won(u64),
    /// The store was in another state than expected.
    Conflict,
    /// The record was certainly not written.
    NotDone,
    /// The record may have been written.
    Unknown,
}

/// The state of the store in which a leader's record may be written.
#[derive(Debug)]
struct Expected {
    /// Revision of the leader's record; 0 if there must be none.
    leader: u64,
    /// Revision of the term counter.
    counter: u64,
}

/// Runs for election whenever there is no leader, and leads when elected. Returns when
/// the process is asked to stop.
pub async fn campaign<P: Platform>(node: Rc<Node<P>>) {
    let own = Leader {
        name: node.settings.name.clone(),
        nonce: Uuid::new_v4().to_string(),
        address: Some(node.settings.internal),
    };
    let mut last_outage = None;
    let mut failures = FailedTerms::default();
    while !node.stopping.is_cancelled() {
        let now = clock::now();
        if node.store_contact.borrow().is_lost(now) {
            last_outage = Some(now);
        }
        let check = tokio::time::timeout(CHECK_INTERVAL, node.changed.notified());
        tokio::select! {
            // Check after a change as well as after the timeout.
            _ = check => {}
            () = node.stopping.cancelled() => return,
        }
        if failures.must_wait(clock::now()) {
            continue;
        }
        let Some(vacancy) = find_vacancy(&node, &own) else {
            continue;
        };
        if vacancy == Vacancy::NoLeader {
            let delay = stagger(&own.nonce)
                + low_cpu_delay(node.settings.cpu)
                + reclaim_delay(last_outage);
            tokio::time::sleep(delay).await;
            if find_vacancy(&node, &own) != Some(vacancy) {
                continue;
            }
        }
        if node.stopping.is_cancelled() {
            continue;
        }
        if let Some(leadership) = try_acquire(&node, &own, vacancy).await {
            let began_at = clock::now();
            let end = term::lead(Rc::clone(&node), leadership).await;
            failures.record(began_at, clock::now(), end);
        }
    }
}

/// Terms of this process that ended by a panic, in succession. After one, the process lets
/// others lead for a while, which grows with each further one: what makes a leader fail may
/// make the next one fail, and all of them go on to serve callers meanwhile.
#[derive(Debug, Default)]
struct FailedTerms {
    backoff: Backoff,
    wait_until: Option<Instant>,
}

impl FailedTerms {
    fn record(&mut self, began_at: Instant, now: Instant, end: End) {
        if now.saturating_since(began_at) >= SOUND_TERM {
            self.backoff.reset();
        }
        if end == End::Failed {
            self.wait_until = Some(now + self.backoff.next_pause());
        }
    }

    fn must_wait(&self, now: Instant) -> bool {
        self.wait_until.is_some_and(|until| now < until)
    }
}

/// Returns why this process may run for election, or `None` if it may not.
fn find_vacancy<P>(node: &Node<P>, own: &Leader) -> Option<Vacancy> {
    let age = node.store_age(clock::now())?;
    let view = node.view.borrow();
    if age > MAX_VIEW_AGE || view.configuration.is_none() {
        return None;
    }
    let record = view.leader.as_ref();
    Vacancy::find(record.map(|leader| (&leader.value, leader.revision)), own)
}

fn stagger(nonce: &str) -> Duration {
    let mut hasher = DefaultHasher::new();
    nonce.hash(&mut hasher);
    Duration::from_millis(hasher.finish() % MAX_STAGGER_MS)
}

/// Returns how long a candidate lets a leader that lost its lease in an outage go first.
fn reclaim_delay(last_outage: Option<Instant>) -> Duration {
    let is_recent =
        last_outage.is_some_and(|at| clock::now().saturating_since(at) < RECLAIM_WINDOW);
    if is_recent {
        RECLAIM_DELAY
    } else {
        Duration::ZERO
    }
}

/// Returns how long a candidate with little CPU lets candidates with more CPU go first.
fn low_cpu_delay(cpu: f64) -> Duration {
    let missing = 1.0 - (cpu / FULL_CPU).clamp(0.0, 1.0);
    MAX_LOW_CPU_DELAY.mul_f64(missing)
}

async fn try_acquire<P: Platform>(
    node: &Node<P>,
    own: &Leader,
    vacancy: Vacancy,
) -> Option<Leadership> {
    let sent = clock::now();
    let ttl = LEASE_TTL.max(node.settings.min_lease);
    // Without a lease the process can't run for election; the next check tries again.
    let lease = node.platform.store().grant(ttl).await.ok()?;
    let validity = LeaseValidity::new(sent, lease.ttl);
    let counter = node.view.borrow().term.clone();
    let number = counter.as_ref().map_or(0, |counter| counter.value.number) + 1;
    let expected = Expected {
        leader: vacancy.revision(),
        counter: counter.map_or(0, |counter| counter.revision),
    };
    let next = TermCounter { number };
    let written = write_record(node, own, &lease, &expected, Some(next)).await;
    let Written::Won(fencing_token) = written else {
        return None;
    };
    Some(Leadership {
        term: Term {
            fencing_token,
            number,
            start_revision: fencing_token,
        },
        record: Record::new(own.clone(), fencing_token, lease),
        validity,
    })
}

/// Writes the record of a leader whose lease has ended again, under a new lease. The term
/// counter still having the revision of the election shows that nobody else has led
/// since, so the term and its fencing token stay as they are.
pub(super) async fn reclaim<P: Platform>(
    node: &Node<P>,
    leadership: &Leadership,
) -> Reclaim {
    let ttl = LEASE_TTL.max(node.settings.min_lease);
    let Ok(lease) = node.platform.store().grant(ttl).await else {
        return Reclaim::Unavailable;
    };
    let expected = Expected {
        leader: 0,
        counter: leadership.term.fencing_token,
    };
    // A cancelled write may still take effect, so the end of the term revokes this lease too.
    leadership.record.prepare(lease);
    match write_record(node, &leadership.record.own, &lease, &expected, None).await {
        Written::Won(revision) => Reclaim::Done { revision, lease },
        Written::Conflict | Written::Unknown => Reclaim::Lost,
        Written::NotDone => Reclaim::Unavailable,
    }
}

/// Writes the leader's record and, for a new term, its counter. Ends the lease unless the
/// record was certainly written.
async fn write_record<P: Platform>(
    node: &Node<P>,
    own: &Leader,
    lease: &Lease,
    expected: &Expected,
    counter: Option<TermCounter>,
) -> Written {
    let counter = counter
        .map(|counter| serde_json::to_vec(&counter))
        .transpose();
    let (Ok(leader), Ok(counter)) = (serde_json::to_vec(own), counter) else {
        return Written::NotDone;
    };
    let mut writes = vec![write(key::LEADER, leader.clone(), Some(lease.id))];
    writes.extend(counter.map(|counter| write(key::TERM, counter, None)));
    let transaction = Transaction {
        conditions: vec![
            condition(key::LEADER, expected.leader),
            condition(key::TERM, expected.counter),
        ],
        writes,
        removals: Vec::new(),
    };
    let written = commit_until_certain(node, &transaction, &leader).await;
    if !matches!(written, Written::Won(_)) {
        // If this call is lost, the unused lease expires.
        let _ = node.platform.store().revoke(lease.id).await;
    }
    written
}

/// Sends the transaction until it is certain whether it took effect; gives up after
/// [`COMMIT_ATTEMPTS`]. A refusal tells nothing about an earlier attempt without an answer.
async fn commit_until_certain<P: Platform>(
    node: &Node<P>,
    transaction: &Transaction,
    leader: &[u8],
) -> Written {
    let mut refused = Written::NotDone;
    for _ in 0..COMMIT_ATTEMPTS {
        match node.commit(transaction).await {
            Ok(CommitOutcome::Done(revision)) => return Written::Won(revision),
            Ok(CommitOutcome::Conflict(items)) => {
                return won_revision(&items, leader)
                    .map_or(Written::Conflict, Written::Won);
            }
            Ok(CommitOutcome::LeaseNotFound | CommitOutcome::Refused(_))
            | Err(Failure::NotDone(_) | Failure::Compacted | Failure::TooLong) => {
                return refused;
            }
            Err(Failure::Unknown(_)) => refused = Written::Unknown,
        }
    }
    Written::Unknown
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
