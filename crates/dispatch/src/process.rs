//! The process as a whole: its tasks, its start and its graceful shutdown.

use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use rhubarbrill_core::job::Feature;
use rhubarbrill_event::Event;
use slog::{Logger, o};
use tokio::task::{JoinHandle, LocalSet};
use tokio_util::sync::CancellationToken;

use crate::front::{Service, serve_internal, serve_readiness};
use crate::listener::{Listener, Options};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::platform::Platform;
use crate::settings::Settings;
use crate::supervisor::{PanicLog, Task};
use crate::{event, lead, presence, sync};

/// Maximum number of connections of callers, far below the limit on file descriptors of
/// the hosts.
const MAX_CONNECTIONS: usize = 1_500;

/// Maximum number of connections of the load balancer.
const MAX_READINESS_CONNECTIONS: usize = 32;

/// Maximum number of internal connections: metrics scrapers, and other entry hosts, each
/// of which keeps several open.
const MAX_INTERNAL_CONNECTIONS: usize = 512;

/// Time within which the header of a request must be complete.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a request header, in bytes.
const MAX_HEADER_BYTES: usize = 16_384;

/// Delay during a graceful shutdown between reporting that the process is not ready and
/// closing the listener. The load balancer checks every second and acts on the second
/// negative answer.
const UNREADY_PAUSE: Duration = Duration::from_millis(2_200);

/// Part of the grace period that is reserved for ending the process.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Runs an entry host until `stopping` is cancelled, then lets open requests finish.
///
/// # Errors
///
/// Returns an error if an address can't be bound, the metrics can't be set up, or a task
/// fails.
pub async fn run<P: Platform>(
    platform: P,
    settings: Settings,
    log: Logger,
    stopping: CancellationToken,
) -> Result<()> {
    LocalSet::new()
        .run_until(serve(platform, settings, log, stopping))
        .await
}

async fn serve<P: Platform>(
    platform: P,
    settings: Settings,
    log: Logger,
    stopping: CancellationToken,
) -> Result<()> {
    let callers = listen(settings.callers, MAX_CONNECTIONS).await?;
    let readiness = listen(settings.readiness, MAX_READINESS_CONNECTIONS).await?;
    let internal = listen(settings.internal, MAX_INTERNAL_CONNECTIONS).await?;
    let node = Rc::new(Node::new(
        platform,
        settings,
        log,
        Metrics::try_new()?,
        stopping,
    ));
    let _panic_log = PanicLog::start(node.log.clone());
    let fields = o!("callers" => node.settings.callers.to_string());
    event::log(&node.log, Event::Started, fields);
    let supervisor = &node.supervisor;
    supervisor.spawn(
        Task::Readiness,
        serve_readiness(Rc::clone(&node), readiness),
    );
    supervisor.spawn(Task::Internal, serve_internal(Rc::clone(&node), internal));
    keep(&node, Task::View, sync::follow_shared);
    let campaign = keep(&node, Task::Campaign, lead::campaign);
    let hands_over = node.settings.features.contains(Feature::HandOver);
    if hands_over {
        keep(&node, Task::Presence, presence::publish);
    }
    let closing = CancellationToken::new();
    let open = supervisor.spawn(
        Task::Callers,
        serve_callers(Rc::clone(&node), callers, closing.clone()),
    );
    tokio::select! {
        () = node.stopping.cancelled() => {}
        () = supervisor.failed() => node.stopping.cancel(),
    }
    event::log(&node.log, Event::Draining, o!());
    // The leadership ends first, so that another process takes over while open requests
    // finish here.
    campaign.await.wrap_err("the leader's task failed")?;
    if hands_over {
        presence::withdraw(&node).await;
    }
    tokio::time::sleep(UNREADY_PAUSE).await;
    closing.cancel();
    let open = open.await.wrap_err("the listener's task failed")?;
    let outcome = if open == 0 {
        Event::Stopped
    } else {
        Event::DrainTimeout
    };
    event::log(&node.log, outcome, o!("open" => open));
    if supervisor.has_failed() {
        return Err(eyre!("a task that the process depends on has panicked"));
    }
    Ok(())
}

/// Starts a task that starts again if it panics.
fn keep<P: Platform, F: Future<Output = ()> + 'static>(
    node: &Rc<Node<P>>,
    task: Task,
    start: impl Fn(Rc<Node<P>>) -> F + 'static,
) -> JoinHandle<()> {
    let stopping = node.stopping.clone();
    let started = Rc::clone(node);
    node.supervisor
        .keep(task, stopping, move || start(Rc::clone(&started)))
}

async fn listen(
    address: std::net::SocketAddr,
    max_connections: usize,
) -> Result<Listener> {
    let options = Options {
        max_connections,
        header_timeout: HEADER_TIMEOUT,
        max_header_bytes: MAX_HEADER_BYTES,
    };
    Listener::bind(address, options)
        .await
        .wrap_err_with(|| format!("can't listen on {address}"))
}

async fn serve_callers<P: Platform>(
    node: Rc<Node<P>>,
    listener: Listener,
    closing: CancellationToken,
) -> usize {
    let grace = node.settings.stop_grace;
    let drain_timeout = grace.saturating_sub(UNREADY_PAUSE + STOP_MARGIN);
    let service = Rc::new(Service::new(node));
    let answer = move |request| {
        let service = Rc::clone(&service);
        async move { service.answer(request).await }
    };
    listener.run(answer, closing, drain_timeout).await
}
