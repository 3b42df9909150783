//! Publishes the internal address of this entry host, for calls of other entry hosts.

use std::rc::Rc;
use std::time::Duration;

use crate::key;
use crate::node::Node;
use crate::platform::{CommitOutcome, Platform, Transaction, Write};
use crate::view::EntryRecord;

/// Delay after a failed write. The address is needed only if a leader loses the store.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Writes the address of this entry host, until that succeeds or the process is asked to
/// stop.
pub(crate) async fn publish<P: Platform>(node: Rc<Node<P>>) {
    let record = EntryRecord {
        address: node.settings.internal,
    };
    let Ok(value) = serde_json::to_vec(&record) else {
        return;
    };
    let transaction = Transaction {
        writes: vec![Write::Record {
            key: key::entry(&node.settings.name),
            value,
            lease: None,
        }],
        ..Transaction::default()
    };
    while !node.stopping.is_cancelled() {
        if let Ok(CommitOutcome::Done(_)) = node.commit(&transaction).await {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Removes the address at a planned stop. If that fails, a record remains that leads to
/// calls without an answer.
pub(crate) async fn withdraw<P: Platform>(node: &Node<P>) {
    let transaction = Transaction {
        removals: vec![key::entry(&node.settings.name)],
        ..Transaction::default()
    };
    let _ = node.commit(&transaction).await;
}
