//! Supervision of tasks.
//!
//! A task that panics ends by itself, and whatever depends on it would wait for good. Each task
//! is therefore started by a supervisor: a panic is logged with its place and counted, and then
//! either the task starts again, or what depends on it ends in order. That is the term of a
//! leader, whose lease another process can take at once, or the process, which is restarted.

use std::panic::PanicHookInfo;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use rhubarbrill_event::Event;
use slog::{Logger, o};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::event;

/// Pause before a task that panicked starts again. It doubles with each further panic.
const FIRST_PAUSE: Duration = Duration::from_secs(2);

/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// A supervised task, or a kind of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Task {
    /// Serves callers.
    Callers,
    /// Runs for election and leads.
    Campaign,
    /// Serves other entry hosts and metrics scrapers.
    Internal,
    /// Carries out an order or a write of the leader.
    LeaderCall,
    /// Serves the leader's watches, its lease or its hosts.
    LeaderService,
    /// Publishes the address of the entry host.
    Presence,
    /// Serves the load balancer's checks.
    Readiness,
    /// Makes the leader's decisions.
    Scheduling,
    /// Keeps the process's copy of the store up to date.
    View,
}

impl Task {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Campaign => "campaign",
            Self::Internal => "internal",
            Self::LeaderCall => "leader_call",
            Self::LeaderService => "leader_service",
            Self::Presence => "presence",
            Self::Readiness => "readiness",
            Self::Scheduling => "scheduling",
            Self::View => "view",
        }
    }
}

/// Starts tasks that depend on each other, and tells when one of them has panicked.
#[derive(Clone, Debug)]
pub(crate) struct Supervisor {
    log: Logger,
    failures: Counter<u64>,
    failed: CancellationToken,
}

impl Supervisor {
    /// Returns a supervisor without tasks, which counts panics in `failures`.
    pub(crate) fn new(log: Logger, failures: Counter<u64>) -> Self {
        Self {
            log,
            failures,
            failed: CancellationToken::new(),
        }
    }

    /// Returns a supervisor for another group of tasks.
    pub(crate) fn other_group(&self) -> Self {
        Self {
            failed: CancellationToken::new(),
            ..self.clone()
        }
    }

    /// Starts a task. If it panics, its group has failed.
    pub(crate) fn spawn<F>(&self, task: Task, future: F) -> JoinHandle<F::Output>
    where
        F: Future + 'static,
        F::Output: 'static,
    {
        let guard = Guard {
            supervisor: self.clone(),
            task,
        };
        tokio::task::spawn_local(async move {
            let _guard = guard;
            future.await
        })
    }

    /// Starts a task that starts again after a pause if it panics, unless `stopping` is
    /// cancelled. The group doesn't fail.
    pub(crate) fn keep<F>(
        &self,
        task: Task,
        stopping: CancellationToken,
        start: impl Fn() -> F + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + 'static,
    {
        let group = self.other_group();
        tokio::task::spawn_local(async move {
            let mut backoff = Backoff::default();
            while group.spawn(task, start()).await.is_err() {
                tokio::select! {
                    () = tokio::time::sleep(backoff.next_pause()) => {}
                    () = stopping.cancelled() => return,
                }
            }
        })
    }

    /// Returns whether a task of the group has panicked.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed.is_cancelled()
    }

    /// Waits until a task of the group has panicked.
    pub(crate) async fn failed(&self) {
        self.failed.cancelled().await;
    }
}

/// Reports a panic of the task that holds it.
struct Guard {
    supervisor: Supervisor,
    task: Task,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let name = self.task.as_str();
        let fields = o!("task" => name);
        event::log(&self.supervisor.log, Event::TaskFailed, fields);
        let labels = [KeyValue::new("task", name)];
        self.supervisor.failures.add(1, &labels);
        self.supervisor.failed.cancel();
    }
}

/// Pauses between failures in succession.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the pause after another failure.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let factor = 2_u32.saturating_pow(self.failures);
        self.failures += 1;
        FIRST_PAUSE.saturating_mul(factor).min(MAX_PAUSE)
    }

    /// Records a success.
    pub(crate) const fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Logs the place and the message of each panic while it lives.
#[derive(Debug)]
pub(crate) struct PanicLog(());

impl PanicLog {
    /// Starts to log panics.
    pub(crate) fn start(log: Logger) -> Self {
        let log_panic = move |info: &PanicHookInfo<'_>| {
            let place = info.location().map(ToString::to_string);
            let fields = o!(
                "place" => place.unwrap_or_default(),
                "reason" => info.payload_as_str().unwrap_or_default().to_owned(),
            );
            event::log(&log, Event::Panicked, fields);
        };
        std::panic::set_hook(Box::new(log_panic));
        Self(())
    }
}

impl Drop for PanicLog {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // The hook holds the log open, which is written out when it is dropped.
            drop(std::panic::take_hook());
        }
    }
}
