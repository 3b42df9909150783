//! The zone's relay: watches the store, and offers what it finds to the node.

use std::time::Duration;

use rhubarbrill_core::maintenance::Ledger;
use rhubarbrill_edge::record;
use rhubarbrill_edge::store::Store;
use rhubarbrill_registry::configuration::{Configuration, HEAD_KEY, News};
use tokio_util::sync::CancellationToken;

use super::store::FleetStore;
use super::{Node, worker};

/// Pause between two looks at whether this entry host relays.
const ROLE_PAUSE: Duration = Duration::from_millis(200);

/// Pause after the store gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between two readings of the ledger.
const LEDGER_INTERVAL: Duration = Duration::from_secs(1);

/// Key of the maintenance ledger.
pub const LEDGER_KEY: &str = "maintenance";

/// Puts in force what the store has newer, once; returns the store revision to watch from.
///
/// # Errors
///
/// Fails when the store gives no usable answer.
pub fn fetch_configuration(node: &Node, store: &FleetStore) -> eyre::Result<()> {
    let (have, _) = node.versions();
    let configuration = Configuration::new(store).attempts(1);
    match configuration.fetch_since(have)? {
        News::Revisions(revisions) => {
            for revision in &revisions {
                node.apply(|applied| applied.apply_revision(revision))?;
            }
        }
        News::Whole(loaded) => {
            node.apply(|applied| {
                applied.apply_snapshot(loaded.revision, &loaded.document, loaded.digest)
            })?;
        }
    }
    Ok(())
}

/// Puts a newer ledger of the store in force.
///
/// # Errors
///
/// Fails when the store gives no usable answer.
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

/// What a relay follows in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// The configuration.
    Configuration,
    /// The maintenance ledger.
    Ledger,
}

/// Follows a topic until cancelled, while this entry host relays.
///
/// A watch ends after a short silence and the record is read again, so a watch that the
/// network has forgotten costs seconds and no change.
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
        return ROLE_PAUSE;
    }
    let followed = match topic {
        Topic::Configuration => watch(node, store, cancel).map(|()| Duration::ZERO),
        Topic::Ledger => read_ledger(node, store).map(|()| LEDGER_INTERVAL),
    };
    match followed {
        Ok(pause) => pause,
        Err(error) => {
            slog::debug!(node.log(), "store not followed"; "error" => %error);
            RETRY_PAUSE
        }
    }
}

/// Reads the ledger and notes how fresh it is.
///
/// A watch would tell changes sooner, and not that there was none: an entry host has to
/// know that its ledger is not older than the bound before it sends to another zone.
fn read_ledger(node: &Node, store: &FleetStore) -> eyre::Result<()> {
    let asked = node.engine().clock().now();
    fetch_ledger(node, store)?;
    node.record_ledger_read(asked);
    Ok(())
}

fn watch(
    node: &Node,
    store: &FleetStore,
    cancel: &CancellationToken,
) -> eyre::Result<()> {
    // The watch starts at a revision read before the record, so nothing falls between.
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
