//! The leader's writes to the store. Each one is conditional on the leader's record, so
//! that only the current leader can write.

use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::leader::Leader;
use rhubarbrill_core::job::scheduler::{
    EvacuationReport, Save, SaveOutcome, Wave, WaveProgress, WaveState,
};
use rhubarbrill_core::job::{Estimate, Tombstone};
use rhubarbrill_event::Event;
use serde::Serialize;
use slog::o;

use super::orders::notify;
use super::recovery::{OrdersRecord, WaveRecord};
use super::term::{Message, Shared, check_leader};
use crate::evacuation::EvacuationRecord;
use crate::platform::{CommitOutcome, Condition, Item, Platform, Transaction, Write};
use crate::supervisor::Task;
use crate::view::{Pending, decode};
use crate::{event, key};

/// Delay after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Writes the progress of jobs in a task of its own and reports the outcome to the
/// leader's task.
pub(super) fn save_progress<P: Platform>(shared: &Rc<Shared<P>>, saves: Vec<Save>) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let ending = commit_progress(&shared, &saves).await;
        notify(&shared, Message::Saved(saves, ending));
    });
}

async fn commit_progress<P: Platform>(shared: &Shared<P>, saves: &[Save]) -> SaveOutcome {
    let mut conditions = vec![leader_condition(shared)];
    let mut writes = Vec::with_capacity(saves.len());
    let mut removals = Vec::new();
    for save in saves {
        conditions.push(Condition {
            key: key::progress(&save.id),
            revision: save.version,
        });
        conditions.extend(save.record_version.map(|revision| Condition {
            key: key::job(&save.id),
            revision,
        }));
        if save.is_state_new {
            writes.extend(record_write(
                shared,
                key::state(&save.id),
                &save.progress.state,
            ));
        }
        if save.is_final() {
            removals.push(key::job(&save.id));
            removals.push(key::progress(&save.id));
            removals.push(key::cancellation(&save.id));
            if save.removes_orphans {
                removals.push(key::orphans(&save.id));
            } else if !save.progress.orphans.is_empty() {
                let key = key::orphans(&save.id);
                writes.extend(record_write(shared, key, &save.progress.orphans));
            }
        } else {
            writes.extend(record_write(
                shared,
                key::progress(&save.id),
                &save.progress,
            ));
        }
    }
    let transaction = Transaction {
        conditions,
        writes,
        removals,
    };
    match shared.node.commit(&transaction).await {
        Ok(CommitOutcome::Done(revision)) => {
            shared.node.metrics.store_write("done");
            SaveOutcome::Saved(revision)
        }
        Ok(CommitOutcome::Conflict(items)) => {
            shared.node.metrics.store_write("conflict");
            report_conflict(shared, saves, &items);
            check_leader_item(shared, &items);
            let version = |save: &Save| (save.job, stored_revision(&items, save));
            SaveOutcome::Conflict(saves.iter().map(version).collect())
        }
        Ok(CommitOutcome::LeaseNotFound) => SaveOutcome::Unknown,
        Ok(CommitOutcome::Refused(reason)) => {
            shared.node.metrics.store_write("refused");
            let ids: Vec<&str> = saves.iter().map(|save| save.id.as_str()).collect();
            let fields = o!(
                "reason" => reason,
                "jobs" => saves.len(),
                "job" => ids.join(" "),
            );
            event::log(&shared.node.log, Event::SaveFailed, fields);
            SaveOutcome::Refused
        }
        Err(failure) => {
            shared.node.metrics.store_write("failed");
            let fields = o!("reason" => failure.to_string(), "jobs" => saves.len());
            event::log(&shared.node.log, Event::SaveFailed, fields);
            tokio::time::sleep(RETRY_PAUSE).await;
            SaveOutcome::Unknown
        }
    }
}

/// Checks the leader's record that a conflicting write has found, if its revision isn't
/// the expected one. A record that can't be decoded was written by another process.
fn check_leader_item<P>(shared: &Shared<P>, items: &[Item]) {
    let item = items.iter().find(|item| item.key == key::LEADER);
    let Some(item) =
        item.filter(|item| item.revision != shared.leadership.record.revision())
    else {
        return;
    };
    match item.value.as_deref().map(decode::<Leader>) {
        None => check_leader(shared, None),
        Some(Ok(leader)) => check_leader(shared, Some(&leader)),
        Some(Err(_)) => shared.leadership.validity.end(),
    }
}

/// Returns the store revision of a job's progress; 0 if there is none.
fn stored_revision(items: &[Item], save: &Save) -> u64 {
    let wanted = key::progress(&save.id);
    let item = items.iter().find(|item| item.key == wanted);
    item.map_or(0, |item| item.revision)
}

/// Logs the first job whose stored revision differs from the expected one.
fn report_conflict<P>(shared: &Shared<P>, saves: &[Save], items: &[Item]) {
    let changed = saves
        .iter()
        .map(|save| (save, stored_revision(items, save)))
        .find(|(save, found)| save.version != *found);
    let (job, expected, found) = changed.map_or(("", 0, 0), |(save, found)| {
        (save.id.as_str(), save.version, found)
    });
    let fields = o!(
        "reason" => "the store holds a different revision",
        "job" => job.to_owned(),
        "jobs" => saves.len(),
        "expected" => expected,
        "found" => found,
    );
    event::log(&shared.node.log, Event::SaveFailed, fields);
}

/// Publishes the state of a wave for operators and writes the wave's record.
pub(super) fn report_wave<P: Platform>(
    shared: &Rc<Shared<P>>,
    wave: Wave,
    state: WaveState,
    progress: WaveProgress,
) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let completed = state == WaveState::Completed;
        let record = WaveRecord::new(progress, completed);
        let mut writes = vec![Write::WaveState(wave.number, state)];
        writes.extend(record_write(&shared, key::wave(wave.number), &record));
        let written = commit(&shared, writes).await;
        let fields = o!(
            "wave" => wave.number,
            "state" => format!("{state:?}"),
            "hosts" => record.done.len(),
            "written" => written,
        );
        event::log(&shared.node.log, Event::WaveReported, fields);
        notify(&shared, Message::WaveReported(wave, state, written));
    });
}

/// Publishes the progress of an evacuation for operators, or removes it.
pub(super) fn report_evacuation<P: Platform>(
    shared: &Rc<Shared<P>>,
    report: EvacuationReport,
) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let key = key::evacuation(&report.zone);
        let mut transaction = Transaction {
            conditions: vec![leader_condition(&shared)],
            ..Transaction::default()
        };
        match report.progress.map(EvacuationRecord::from) {
            Some(record) => transaction
                .writes
                .extend(record_write(&shared, key, &record)),
            None => transaction.removals.push(key),
        }
        let committed = shared.node.commit(&transaction).await;
        let written = matches!(committed, Ok(CommitOutcome::Done(_)));
        let progress = report.progress.unwrap_or_default();
        let fields = o!(
            "zone" => report.zone.clone(),
            "tasks" => progress.tasks,
            "long_running" => progress.long_running,
            "removed" => report.progress.is_none(),
            "written" => written,
        );
        event::log(&shared.node.log, Event::EvacuationReported, fields);
        notify(&shared, Message::EvacuationReported(report, written));
    });
}

/// Records for which hosts of a wave maintenance has begun.
pub(super) fn record_wave<P: Platform>(
    shared: &Rc<Shared<P>>,
    wave: u64,
    progress: WaveProgress,
    completed: bool,
) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let record = WaveRecord::new(progress, completed);
        let writes = record_write(&shared, key::wave(wave), &record)
            .into_iter()
            .collect();
        if !commit(&shared, writes).await {
            let fields = o!("reason" => "the wave record wasn't written", "wave" => wave);
            event::log(&shared.node.log, Event::SaveFailed, fields);
        }
    });
}

/// Writes the number of jobs that wait in each queue.
pub(super) fn write_pending<P: Platform>(shared: &Rc<Shared<P>>, pending: Pending) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let writes = record_write(&shared, key::PENDING.to_owned(), &pending);
        let written = commit(&shared, writes.into_iter().collect()).await;
        notify(&shared, Message::PendingWritten(written));
    });
}

/// Writes the estimate of when new jobs start.
pub(super) fn write_estimate<P: Platform>(shared: &Rc<Shared<P>>, estimate: Estimate) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let writes = record_write(&shared, key::ESTIMATE.to_owned(), &estimate);
        let written = commit(&shared, writes.into_iter().collect()).await;
        let fields = o!(
            "term" => estimate.term,
            "pools" => format!("{:?}", estimate.pools),
            "written" => written,
        );
        event::log(&shared.node.log, Event::EstimateWritten, fields);
    });
}

/// Removes the records of runs that have ended.
pub(super) fn remove_orphans<P: Platform>(shared: &Rc<Shared<P>>, ids: Vec<String>) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let removals = ids.iter().map(|id| key::orphans(id)).collect();
        let done = remove(&shared, removals).await;
        notify(&shared, Message::OrphansRemoved(ids, done));
    });
}

/// Removes tombstones, unless they have been replaced.
pub(super) fn remove_tombstones<P: Platform>(
    shared: &Rc<Shared<P>>,
    tombstones: Vec<Tombstone>,
) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let condition = |tombstone: &Tombstone| Condition {
            key: key::job(&tombstone.id),
            revision: tombstone.revision,
        };
        let removals = tombstones.iter().map(|tombstone| key::job(&tombstone.id));
        let mut transaction = Transaction {
            conditions: vec![leader_condition(&shared)],
            writes: Vec::new(),
            removals: removals.collect(),
        };
        transaction
            .conditions
            .extend(tombstones.iter().map(condition));
        let gone = match shared.node.commit(&transaction).await {
            Ok(CommitOutcome::Done(_)) => tombstones,
            Ok(CommitOutcome::Conflict(items)) => replaced(tombstones, &items),
            Ok(CommitOutcome::LeaseNotFound | CommitOutcome::Refused(_)) | Err(_) => {
                tokio::time::sleep(RETRY_PAUSE).await;
                Vec::new()
            }
        };
        event::log(
            &shared.node.log,
            Event::TombstonesRemoved,
            o!("jobs" => gone.len()),
        );
        notify(&shared, Message::TombstonesRemoved(gone));
    });
}

/// Returns the tombstones that the store no longer holds, as a conflicting removal has found.
fn replaced(tombstones: Vec<Tombstone>, items: &[Item]) -> Vec<Tombstone> {
    let is_replaced = |tombstone: &Tombstone| {
        let key = key::job(&tombstone.id);
        let item = items.iter().find(|item| item.key == key);
        item.is_some_and(|item| item.revision != tombstone.revision)
    };
    tombstones.into_iter().filter(is_replaced).collect()
}

/// Removes the states of finished jobs.
pub(super) fn remove_finished<P: Platform>(shared: &Rc<Shared<P>>, ids: Vec<String>) {
    let supervisor = shared.supervisor.clone();
    let shared = Rc::clone(shared);
    supervisor.spawn(Task::LeaderCall, async move {
        let removals = ids.iter().map(|id| key::state(id)).collect();
        let done = remove(&shared, removals).await;
        let fields = o!("jobs" => ids.len(), "removed" => done);
        event::log(&shared.node.log, Event::JobsRemoved, fields);
        notify(&shared, Message::Removed(ids, done));
    });
}

/// Records which hosts are about to receive orders. Returns whether the record is
/// certainly stored.
pub(super) async fn record_orders<P: Platform>(
    shared: &Shared<P>,
    orders: OrdersRecord,
) -> bool {
    let writes = record_write(shared, key::ORDERS.to_owned(), &orders);
    commit(shared, writes.into_iter().collect()).await
}

/// Removes records. Returns whether they were certainly removed, after a pause if not.
async fn remove<P: Platform>(shared: &Shared<P>, removals: Vec<String>) -> bool {
    let transaction = Transaction {
        conditions: vec![leader_condition(shared)],
        writes: Vec::new(),
        removals,
    };
    let committed = shared.node.commit(&transaction).await;
    let done = matches!(committed, Ok(CommitOutcome::Done(_)));
    if !done {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    done
}

async fn commit<P: Platform>(shared: &Shared<P>, writes: Vec<Write>) -> bool {
    let transaction = Transaction {
        conditions: vec![leader_condition(shared)],
        writes,
        removals: Vec::new(),
    };
    let committed = shared.node.commit(&transaction).await;
    matches!(committed, Ok(CommitOutcome::Done(_)))
}

fn leader_condition<P>(shared: &Shared<P>) -> Condition {
    Condition {
        key: key::LEADER.to_owned(),
        revision: shared.leadership.record.revision(),
    }
}

fn record_write<P, T: Serialize>(
    shared: &Shared<P>,
    key: String,
    value: &T,
) -> Option<Write> {
    match serde_json::to_vec(value) {
        Ok(value) => Some(Write::Record {
            key,
            value,
            lease: None,
        }),
        Err(error) => {
            let fields = o!("reason" => error.to_string(), "key" => key);
            event::log(&shared.node.log, Event::SaveFailed, fields);
            None
        }
    }
}
