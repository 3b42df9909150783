//! Lists and watches sections of the store.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::time::Instant;
use rhubarbrill_event::Event;
use slog::o;
use tokio::sync::Notify;

use crate::fault::Place;
use crate::node::Node;
use crate::platform::{Change, Changes, Failure, Platform, Section, Store};
use crate::view::Delta;
use crate::{clock, event, fault, key};

/// Longest time that a watch waits for a change. A connection that went silent is noticed
/// shortly after this time.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Delay after a watch that returned changes. It lets changes accumulate, because every
/// watch has a cost.
pub const WATCH_PAUSE: Duration = Duration::from_millis(150);

/// Like [`WATCH_PAUSE`], for the sections that only the leader watches, where jobs wait
/// for the changes.
pub const LEADER_WATCH_PAUSE: Duration = Duration::from_millis(20);

/// Delay after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Position in the history of a section, and the keys that exist there.
#[derive(Debug)]
struct Follower<'a, P> {
    node: &'a Node<P>,
    section: Section,
    pause: Duration,
    as_of: u64,
    /// Store revision of the last change of each existing key.
    revisions: HashMap<String, u64>,
    /// When the first call failed since the last one that succeeded; `None` if none has.
    failing_since: Option<Instant>,
    /// Whether no call has succeeded yet.
    is_new: bool,
    relist: &'a Notify,
}

/// Keeps the view that every process has up to date until the process ends.
pub async fn follow_shared<P: Platform>(node: Rc<Node<P>>) {
    let operators = Section::Operators;
    let shared = Section::Records(key::SHARED_PREFIX);
    let never = Notify::new();
    // If this isn't the first time, a leader may have missed changes. Its term ends.
    drop(node.leader_deltas.take());
    tokio::join!(
        follow(&node, operators, WATCH_PAUSE, &never, |changes| {
            apply_shared(&node, operators, changes);
        }),
        follow(&node, shared, WATCH_PAUSE, &never, |changes| {
            apply_shared(&node, shared, changes);
        }),
    );
}

/// Follows a section forever: lists it completely, then watches its changes. Starts over
/// if the store no longer retains the history, and on each notification of `relist`.
pub async fn follow<P: Platform>(
    node: &Node<P>,
    section: Section,
    pause: Duration,
    relist: &Notify,
    on_changes: impl Fn(Changes),
) {
    let mut follower = Follower {
        node,
        section,
        pause,
        as_of: 0,
        revisions: HashMap::new(),
        failing_since: None,
        is_new: true,
        relist,
    };
    loop {
        match follower.list().await {
            Ok(changes) => {
                on_changes(changes);
                follower.watch(&on_changes).await;
            }
            Err(failure) => follower.handle_failure(&failure).await,
        }
    }
}

/// Lists all items of a section.
///
/// # Errors
///
/// Returns an error if a page can't be read.
pub async fn read<P: Platform>(
    node: &Node<P>,
    section: Section,
) -> Result<Changes, Failure> {
    let mut items: Vec<Change> = Vec::new();
    let mut as_of = None;
    loop {
        let after = items.last().map(|item| item.key.as_str());
        let page = node.platform.store().list(section, after).await;
        node.record_store_call(&page);
        let page = page?;
        // The pages are not a consistent snapshot, so the watch must start after the
        // first page.
        let first = *as_of.get_or_insert(page.as_of);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok(Changes {
                changes: items,
                as_of: first,
            });
        }
    }
}

impl<P: Platform> Follower<'_, P> {
    async fn list(&mut self) -> Result<Changes, Failure> {
        let mut read = read(self.node, self.section).await?;
        let listed: BTreeSet<&str> =
            read.changes.iter().map(|item| item.key.as_str()).collect();
        let removals = self.removals(&listed, read.as_of);
        read.changes.extend(removals);
        self.mark_reachable(read.as_of);
        Ok(self.retain_newer(read))
    }

    /// Watches changes until the store no longer retains the needed history, the history is
    /// too long to receive, or a listing is requested.
    async fn watch(&mut self, on_changes: &impl Fn(Changes)) {
        loop {
            let store = self.node.platform.store();
            let watched = tokio::select! {
                watched = store.watch(self.section, self.as_of, WATCH_WAIT) => watched,
                () = self.relist.notified() => return,
            };
            self.node.record_store_call(&watched);
            match watched {
                Ok(changes) => {
                    let is_idle = changes.changes.is_empty();
                    self.mark_reachable(changes.as_of);
                    let changes = self.retain_newer(changes);
                    on_changes(changes);
                    if !is_idle {
                        tokio::time::sleep(self.pause).await;
                    }
                }
                Err(Failure::Compacted) => {
                    let fields =
                        o!("as_of" => self.as_of, "section" => self.section.as_str());
                    event::log(&self.node.log, Event::HistoryMissing, fields);
                    return;
                }
                // What exists now is shorter than its history, of which another watch
                // would ask for the same part and more.
                Err(failure @ Failure::TooLong) => {
                    self.handle_failure(&failure).await;
                    return;
                }
                Err(failure) => self.handle_failure(&failure).await,
            }
        }
    }

    fn mark_reachable(&mut self, as_of: u64) {
        self.as_of = self.as_of.max(as_of);
        let is_new = std::mem::replace(&mut self.is_new, false);
        let failing_since = self.failing_since.take();
        if is_new || failing_since.is_some() {
            let now = clock::now();
            let failing = failing_since.map(|since| now.saturating_since(since));
            let fields = o!(
                "failing_ms" => clock::millis(failing.unwrap_or_default()),
                "as_of" => as_of,
                "section" => self.section.as_str(),
            );
            event::log(&self.node.log, Event::StoreReachable, fields);
        }
    }

    async fn handle_failure(&mut self, failure: &Failure) {
        let now = clock::now();
        let is_first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        if is_first && !self.is_new {
            let age = self.node.store_age(now);
            let fields = o!(
                "reason" => failure.to_string(),
                "section" => self.section.as_str(),
                "age_ms" => format!("{:?}", age.map(|age| age.as_millis())),
            );
            event::log(&self.node.log, Event::StoreUnreachable, fields);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    /// Returns removals of the keys that a complete listing no longer contains.
    fn removals(&self, listed: &BTreeSet<&str>, as_of: u64) -> Vec<Change> {
        self.revisions
            .iter()
            .filter(|(key, revision)| {
                **revision <= as_of && !listed.contains(key.as_str())
            })
            .map(|(key, revision)| Change {
                key: key.clone(),
                // A removal is newer than what it removes.
                revision: as_of.max(revision + 1),
                content: None,
            })
            .collect()
    }

    /// Drops the changes that are already known, and records the others.
    fn retain_newer(&mut self, mut changes: Changes) -> Changes {
        changes.changes.retain(|change| {
            let known = self.revisions.get(&change.key).copied().unwrap_or(0);
            if change.revision <= known {
                return false;
            }
            if change.content.is_some() {
                self.revisions.insert(change.key.clone(), change.revision);
            } else {
                self.revisions.remove(&change.key);
            }
            true
        });
        changes
    }
}

fn apply_shared<P: Platform>(node: &Node<P>, section: Section, changes: Changes) {
    for change in &changes.changes {
        fault::check(Place::View, &change.key);
    }
    let deltas = node.view.borrow_mut().apply(clock::now(), section, changes);
    for delta in &deltas {
        log_delta(node, delta);
    }
    if let Some(sender) = node.leader_deltas.borrow().as_ref() {
        // The leader's task may just have ended; then the changes aren't needed.
        let _ = sender.send(deltas);
    }
    node.changed.notify_waiters();
}

/// Logs a change of the view.
fn log_delta<P: Platform>(node: &Node<P>, delta: &Delta) {
    match delta {
        Delta::Configuration => {
            let version = node.configuration().map_or(0, |held| held.version);
            event::log(&node.log, Event::RevisionInForce, o!("version" => version));
        }
        Delta::Leader => {
            let view = node.view.borrow();
            let name = view.leader.as_ref().map(|leader| leader.value.name.clone());
            let revision = view.leader.as_ref().map_or(0, |leader| leader.revision);
            let fields = o!("leader" => name.unwrap_or_default(), "revision" => revision);
            event::log(&node.log, Event::LeaderSeen, fields);
        }
        Delta::Evacuations => {
            let zones: Vec<String> =
                node.view.borrow().evacuations.zones().into_iter().collect();
            let fields = o!("zones" => zones.join(","));
            event::log(&node.log, Event::EvacuationsSeen, fields);
        }
        Delta::Unreadable { key, reason } => log_unreadable(node, key, reason),
        Delta::Wave(wave) => {
            event::log(&node.log, Event::WaveSeen, o!("wave" => *wave));
        }
        Delta::Cancelled(_) | Delta::State => {}
    }
}

/// Logs an item that can't be decoded.
pub fn log_unreadable<P>(node: &Node<P>, key: &str, reason: &str) {
    let fields = o!("key" => key.to_owned(), "reason" => reason.to_owned());
    event::log(&node.log, Event::ItemUnreadable, fields);
}
