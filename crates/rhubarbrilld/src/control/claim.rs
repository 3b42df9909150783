//! Claims of idempotency keys, for requests that must run at most once. They are
//! committed to the store in groups.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rhubarbrill_core::claim::{
    Answer, Arrival, Batch, Claim, ClaimOptions, IdempotencyKey, Reply, Request, SHARDS,
    ShardId, Skewed,
};
use rhubarbrill_core::member::Member;
use rhubarbrill_registry::claim::Writer;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::store::FleetStore;
use crate::clock::Clock;

/// Longest time between two checks whether the token was cancelled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Acquires and releases claims of idempotency keys for the arrivals at one entry host.
#[derive(Debug)]
pub struct Claims {
    member: Member,
    clock: Clock,
    options: ClaimOptions,
    next_arrival_number: AtomicU64,
    queues: Vec<ShardQueue>,
}

/// A claim of an idempotency key. Dropping the guard releases the claim, unless the
/// request was sent.
#[derive(Debug)]
pub struct ClaimGuard {
    claims: Arc<Claims>,
    key: IdempotencyKey,
    arrival: Arrival,
    sent: AtomicBool,
}

impl ClaimGuard {
    /// Records whether the request may have reached an endpoint.
    pub fn set_sent(&self, sent: bool) {
        self.sent.store(sent, Ordering::Relaxed);
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.sent.load(Ordering::Relaxed) {
            self.claims.release(self.key, self.arrival.clone());
        }
    }
}

/// Reason why a claim was not acquired. Nothing of this arrival was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimError {
    /// The idempotency key was issued in the future.
    Skewed,
    /// The store's record of claims gave an answer other than [`Answer::Won`].
    Answered(Answer),
    /// The store didn't answer in time.
    NoAnswer,
}

/// Requests that wait to be committed to the record of one shard, and the arrivals that
/// wait for its replies.
#[derive(Debug)]
struct ShardQueue {
    shard: ShardId,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    waiters: BTreeMap<Arrival, Waiter>,
}

#[derive(Debug)]
struct Waiter {
    key: IdempotencyKey,
    reply: oneshot::Sender<Answer>,
}

/// Returns the key and arrival if the request acquires a claim.
const fn as_take(request: &Request) -> Option<(IdempotencyKey, &Arrival)> {
    match request {
        Request::Take { key, claim } => Some((*key, &claim.arrival)),
        Request::Release { .. } => None,
    }
}

impl Claims {
    /// Returns claims that are not committed to the store until [`Claims::run_shard`]
    /// runs.
    pub fn new(member: Member, clock: Clock) -> Self {
        let options = ClaimOptions::default();
        let queues = ShardId::all()
            .map(|shard| ShardQueue::new(shard, options))
            .collect();
        Self {
            member,
            clock,
            options,
            next_arrival_number: AtomicU64::new(0),
            queues,
        }
    }

    /// Returns the indexes of the shards. Each shard needs a thread of its own that calls
    /// [`Claims::run_shard`].
    pub fn shards() -> impl Iterator<Item = usize> {
        0..usize::from(SHARDS)
    }

    /// Acquires the claim of `key` for a new arrival.
    ///
    /// If the future is dropped or times out, a claim that the store grants later is
    /// released.
    ///
    /// # Errors
    ///
    /// Returns the [`ClaimError`] if the request must not be sent.
    pub async fn acquire(
        self: &Arc<Self>,
        key: IdempotencyKey,
        workspace: &str,
        timeout: Duration,
    ) -> Result<ClaimGuard, ClaimError> {
        let now = self.clock.wall();
        self.options
            .check(key, now)
            .map_err(|Skewed| ClaimError::Skewed)?;
        let arrival = self.next_arrival();
        let claim = Claim {
            arrival: arrival.clone(),
            workspace: workspace.to_owned(),
            at: now,
        };
        let queue = &self.queues[key.shard_id().index()];
        let reply = queue.push(key, claim);
        let outcome = tokio::time::timeout(timeout, reply).await;
        match outcome {
            Ok(Ok(Answer::Won)) => Ok(ClaimGuard {
                claims: Arc::clone(self),
                key,
                arrival,
                sent: AtomicBool::new(false),
            }),
            Ok(Ok(answer)) => Err(ClaimError::Answered(answer)),
            Ok(Err(_)) | Err(_) => Err(ClaimError::NoAnswer),
        }
    }

    /// Releases the claim of an arrival that was not sent and never will be.
    fn release(&self, key: IdempotencyKey, arrival: Arrival) {
        let queue = &self.queues[key.shard_id().index()];
        queue.lock().batch.push(Request::Release { key, arrival });
        queue.changed.notify_one();
    }

    /// Commits the groups of one shard until cancelled.
    pub fn run_shard(
        &self,
        shard: usize,
        store: &FleetStore,
        cancel: &CancellationToken,
    ) {
        let queue = &self.queues[shard];
        let mut writer = Writer::new(queue.shard, self.options);
        while !cancel.is_cancelled() {
            let Some(group) = queue.next_group(self.clock) else {
                continue;
            };
            Self::commit(queue, &mut writer, group, store, cancel);
        }
    }

    /// Commits one group and retries until the store answers.
    ///
    /// The group stays unchanged between attempts: a repeated commit is idempotent, while
    /// an earlier attempt may have applied a part of the group.
    fn commit(
        queue: &ShardQueue,
        writer: &mut Writer,
        group: Vec<Request>,
        store: &FleetStore,
        cancel: &CancellationToken,
    ) {
        while !cancel.is_cancelled() {
            match writer.commit(store, &group) {
                Ok(replies) => return queue.deliver(replies),
                Err(_) if queue.is_abandoned(&group) => return queue.release_all(group),
                Err(_) => super::worker::sleep(RETRY_PAUSE, cancel),
            }
        }
    }

    fn next_arrival(&self) -> Arrival {
        Arrival {
            entry: self.member.entry.clone(),
            incarnation: self.member.incarnation,
            number: self.next_arrival_number.fetch_add(1, Ordering::Relaxed),
        }
    }
}

impl ShardQueue {
    const fn new(shard: ShardId, options: ClaimOptions) -> Self {
        let state = State {
            batch: Batch::new(options),
            waiters: BTreeMap::new(),
        };
        Self {
            shard,
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    fn push(&self, key: IdempotencyKey, claim: Claim) -> oneshot::Receiver<Answer> {
        let (reply, receiver) = oneshot::channel();
        let mut state = self.lock();
        state
            .waiters
            .insert(claim.arrival.clone(), Waiter { key, reply });
        state.batch.push(Request::Take { key, claim });
        drop(state);
        self.changed.notify_one();
        receiver
    }

    /// Returns the next group if it is due; otherwise waits at most [`POLL_INTERVAL`] and
    /// returns `None`.
    fn next_group(&self, clock: Clock) -> Option<Vec<Request>> {
        let mut state = self.lock();
        let now = clock.now();
        if let Some(group) = state.batch.begin_flush(now) {
            return Some(group);
        }
        let next_flush = state.batch.next_flush();
        let pause = next_flush.map_or(POLL_INTERVAL, |at| at.saturating_since(now));
        let pause = pause.min(POLL_INTERVAL);
        let wake = self.changed.wait_timeout(state, pause);
        drop(wake);
        None
    }

    /// Delivers the replies. Claims granted to arrivals that no longer wait are released.
    fn deliver(&self, replies: Vec<Reply>) {
        let mut state = self.lock();
        state.batch.finish_flush();
        for reply in replies {
            let Some(waiter) = state.waiters.remove(&reply.arrival) else {
                continue;
            };
            let is_undelivered = waiter.reply.send(reply.answer).is_err();
            if is_undelivered {
                let key = waiter.key;
                let arrival = reply.arrival;
                state.batch.push(Request::Release { key, arrival });
            }
        }
    }

    /// Returns whether the group contains claims to acquire, but no arrival still waits
    /// for any of them.
    fn is_abandoned(&self, group: &[Request]) -> bool {
        let mut state = self.lock();
        state.waiters.retain(|_, waiter| !waiter.reply.is_closed());
        let mut takes = group.iter().filter_map(as_take);
        takes.clone().next().is_some()
            && takes.all(|(_, arrival)| !state.waiters.contains_key(arrival))
    }

    /// Queues releases in place of a group that may have been applied although no reply
    /// came.
    fn release_all(&self, group: Vec<Request>) {
        let mut state = self.lock();
        state.batch.finish_flush();
        for request in group {
            let release = match request {
                Request::Take { key, claim } => Request::Release {
                    key,
                    arrival: claim.arrival,
                },
                release @ Request::Release { .. } => release,
            };
            state.batch.push(release);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
