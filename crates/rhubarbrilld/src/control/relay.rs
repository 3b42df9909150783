//! The relay of an availability zone: follows the store and applies changes to the node.

use std::time::Duration;

use rhubarbrill_core::maintenance::Ledger;
use rhubarbrill_edge::record;
use rhubarbrill_edge::store::Store;
use rhubarbrill_registry::configuration::{Configuration, ConfigurationUpdate, HEAD_KEY};
use tokio_util::sync::CancellationToken;

use super::store::FleetStore;
use super::{Node, worker};

/// Time between two checks whether this entry host is the relay.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between two reads of the ledger.
const LEDGER_INTERVAL: Duration = Duration::from_secs(1);

/// Store key of the maintenance ledger.
pub const LEDGER_KEY: &str = "maintenance";

/// Applies the configuration revisions in the store that are newer than the applied one.
///
/// # Errors
///
/// Fails if the store doesn't answer or gives an invalid answer, or if a revision can't
/// be applied.
pub fn fetch_configuration(node: &Node, store: &FleetStore) -> eyre::Result<()> {
    let (applied_revision, _) = node.versions();
    let configuration = Configuration::new(store).attempts(1);
    match configuration.fetch_since(applied_revision)? {
        ConfigurationUpdate::Revisions(revisions) => {
            for revision in &revisions {
                node.apply(|applied| applied.apply_revision(revision))?;
            }
        }
        ConfigurationUpdate::Full(loaded) => {
            node.apply(|applied| {
                applied.apply_snapshot(loaded.revision, &loaded.document, loaded.digest)
            })?;
        }
    }
    Ok(())
}

/// Applies the ledger in the store if it is newer than the applied one.
///
/// # Errors
///
/// Fails if the store doesn't answer or gives an invalid answer, or if the ledger can't
/// be applied.
pub fn fetch_ledger(node: &Node, store: &FleetStore) -> eyre::Result<()> {
    let Some(found) = record::read::<Ledger, _>(store, LEDGER_KEY)? else {
        return Ok(());
    };
    let newer = found.value.generation() > node.versions().1;
    if newer {
        node.apply(|applied| applied.replace_ledger(found.value))?;
    }
    Ok(())
}

/// The record that a relay follows in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// The configuration, followed by a watch.
    Configuration,
    /// The maintenance ledger, read at fixed intervals.
    Ledger,
}

/// Follows a record until cancelled, while this entry host is the relay.
///
/// A watch ends after a short idle time and the record is read again. A watch that the
/// network has silently dropped therefore delays a change by seconds but never loses it.
pub fn follow(node: &Node, store: &FleetStore, topic: Topic, cancel: &CancellationToken) {
    while !cancel.is_cancelled() {
        let pause = step(node, store, topic, cancel);
        worker::sleep(pause, cancel);
    }
}

fn step(
    node: &Node,
    store: &FleetStore,
    topic: Topic,
    cancel: &CancellationToken,
) -> Duration {
    if !node.is_relay() {
        return ROLE_CHECK_INTERVAL;
    }
    let followed = match topic {
        Topic::Configuration => watch(node, store, cancel).map(|()| Duration::ZERO),
        Topic::Ledger => read_ledger(node, store).map(|()| LEDGER_INTERVAL),
    };
    match followed {
        Ok(pause) => pause,
        Err(error) => {
            slog::debug!(node.log(), "failed to follow the store"; "error" => %error);
            RETRY_PAUSE
        }
    }
}

/// Reads the ledger and records when it was read.
///
/// A watch would report changes sooner, but it can't confirm that nothing has changed.
/// Before an entry host sends to another zone, it must know that the age of its ledger is
/// within the bound.
fn read_ledger(node: &Node, store: &FleetStore) -> eyre::Result<()> {
    let requested_at = node.engine().clock().now();
    fetch_ledger(node, store)?;
    node.record_ledger_read(requested_at);
    Ok(())
}

fn watch(
    node: &Node,
    store: &FleetStore,
    cancel: &CancellationToken,
) -> eyre::Result<()> {
    // The watch starts at a store revision that was read before the record, so no change
    // is missed between the read and the watch.
    let from = store.list(HEAD_KEY)?.revision + 1;
    fetch_configuration(node, store)?;
    for change in store.watch(HEAD_KEY, from)? {
        change?;
        if cancel.is_cancelled() || !node.is_relay() {
            return Ok(());
        }
        fetch_configuration(node, store)?;
    }
    Ok(())
}
