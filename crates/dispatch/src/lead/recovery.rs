//! What a new leader reads once: how far jobs are, and what the one before had ordered.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rhubarbrill_core::job::Progress;
use rhubarbrill_core::job::scheduler::WaveProgress;
use serde::{Deserialize, Serialize};

use crate::key::{self, Key};
use crate::node::Node;
use crate::platform::{Change, Content, Platform, Section};
use crate::sync;
use crate::view::decode;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The record of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct WaveRecord {
    /// Hosts that have had their maintenance.
    pub(super) done: BTreeSet<String>,
    /// Whether the wave was reported as completed.
    pub(super) completed: bool,
    /// Age of the wave when the record was written, in milliseconds.
    #[serde(default)]
    age_ms: u64,
}

impl WaveRecord {
    pub(super) fn new(progress: WaveProgress, completed: bool) -> Self {
        Self {
            done: progress.done,
            completed,
            age_ms: u64::try_from(progress.age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns how far the wave is, as far as the record tells.
    pub(super) fn progress(&self) -> WaveProgress {
        WaveProgress {
            done: self.done.clone(),
            age: Duration::from_millis(self.age_ms),
        }
    }
}

/// The record of orders for hosts, written before each order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct OrdersRecord {
    /// Hosts that the leader gave orders to lately, with the age of the last order when the
    /// record was written, in milliseconds.
    pub(super) hosts: BTreeMap<String, u64>,
}

/// What earlier leaders left.
#[derive(Debug, Default)]
pub(super) struct RecoveredState {
    /// How far each job under way is, with the store revision of that record.
    pub(super) progress: HashMap<String, (Progress, u64)>,
    /// Hosts that were given orders lately.
    pub(super) orders: OrdersRecord,
    /// What is recorded of each wave.
    pub(super) waves: BTreeMap<u64, WaveRecord>,
}

impl RecoveredState {
    /// Reads it from the store, until that succeeds or `is_over` says that it is too late.
    pub(super) async fn read<P: Platform>(
        node: &Node<P>,
        is_over: impl Fn() -> bool,
    ) -> Option<Self> {
        while !is_over() {
            // A failure has been seen by those who follow the store, who log it.
            if let Ok(read) = sync::read(node, Section::Records(key::KEPT_PREFIX)).await {
                let mut recovered = Self::default();
                for change in read.changes {
                    recovered.apply(node, change);
                }
                return Some(recovered);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    fn apply<P>(&mut self, node: &Node<P>, change: Change) {
        let Some(Content::Record(value)) = change.content else {
            return;
        };
        let applied = match key::parse(&change.key) {
            Some(Key::Progress(id)) => decode(&value).map(|progress| {
                self.progress.insert(id, (progress, change.revision));
            }),
            Some(Key::Orders) => decode(&value).map(|orders| self.orders = orders),
            Some(Key::Wave(number)) => decode(&value).map(|record| {
                self.waves.insert(number, record);
            }),
            _ => Ok(()),
        };
        if let Err(reason) = applied {
            sync::log_unreadable(node, &change.key, &reason);
        }
    }
}
