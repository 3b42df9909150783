//! Runs an entry host: builds its components, starts them and shuts them down.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use rhubarbrill_config::declaration;
use rhubarbrill_config::settings::{Settings, StoreKind};
use rhubarbrill_core::allowance::Holder;
use rhubarbrill_core::gate;
use rhubarbrill_core::member::Member;
use rhubarbrill_event::Event;
use rhubarbrill_registry::configuration::{Configuration, Outcome, Proposal};
use slog::Logger;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::config::ActiveRevision;
use crate::control::{self, FleetStore, Node, Parts, Workers};
use crate::endpoint::{self, Client};
use crate::engine::Engine;
use crate::front::{self, OpenConnections, Service};
use crate::metrics::Metrics;
use crate::{log, operator};

/// Number of heartbeats that a live peer may miss.
const MAX_MISSED_HEARTBEATS: u32 = 5;

/// Time between two removals of idle connections that are too old.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between the report that the entry host is not ready and the closing of its
/// listener, so that the load balancer can react.
const UNREADY_DELAY: Duration = Duration::from_millis(500);

/// Longest wait at startup for the first allowance units, before callers are accepted.
const ALLOWANCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of caller connections allowed per open request.
const CONNECTIONS_PER_REQUEST: usize = 2;

/// Longest pause of the process after which the units it holds stay usable.
const MAX_PROCESS_PAUSE: Duration = Duration::from_secs(2);

/// A running entry host.
#[derive(Debug)]
pub struct Daemon {
    settings: Settings,
    node: Arc<Node>,
    workers: Workers,
    callers: SocketAddr,
    operators: operator::Server,
    listening: CancellationToken,
    background: CancellationToken,
    front: JoinHandle<OpenConnections>,
}

impl Daemon {
    /// Starts all components.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or the declarations are invalid.
    pub async fn start(settings: Settings, log: Logger) -> Result<Self> {
        let store = Arc::new(control::open(&settings.store)?);
        accept_declarations(&settings, &store)?;
        let peers = bind_peers(settings.entry.peers_listen)?;
        let node = Arc::new(Node::new(node_parts(&settings, &peers, log)?));
        node.refresh_members();
        let background = CancellationToken::new();
        let workers = start_control(&settings, &node, &store, &background).await?;
        start_peers(&settings, &node, peers, &background).await?;
        node.caught_up().await;
        // If the store is unreachable, no units arrive and the startup continues without
        // them.
        let _ = tokio::time::timeout(ALLOWANCE_TIMEOUT, node.allowances_ready()).await;
        let client = start_engine_and_client(&node, &background);
        let server = bind_front(&settings, &node, client).await?;
        let callers = server.local_addr()?;
        let listening = CancellationToken::new();
        let drain_timeout = settings.limits.drain_timeout;
        let front = tokio::spawn(server.run(listening.clone(), drain_timeout));
        let operators =
            operator::Server::start(settings.entry.operators, Arc::clone(&node))?;
        log::event(node.log(), Event::Started, callers);
        Ok(Self {
            settings,
            node,
            workers,
            callers,
            operators,
            listening,
            background,
            front,
        })
    }

    /// Returns the address that callers connect to.
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address that operators connect to.
    pub const fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the state that the threads and tasks share.
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Shuts down gracefully, without aborting open requests.
    ///
    /// First the load balancer and the peers learn that the entry host is draining. Then
    /// open requests end, allowance units are returned, and the member record is deleted.
    ///
    /// # Errors
    ///
    /// Fails if connections were still open after the drain timeout.
    pub async fn stop(self) -> Result<()> {
        let log = self.node.log().clone();
        log::event(&log, Event::Draining, "");
        self.node.drain();
        tokio::time::sleep(UNREADY_DELAY).await;
        self.listening.cancel();
        let open = self
            .front
            .await
            .wrap_err("the listener for callers failed")?;
        self.background.cancel();
        let workers = self.workers;
        tokio::task::spawn_blocking(move || workers.join())
            .await?
            .map_err(|name| eyre!("the {name} thread panicked"))?;
        if let OpenConnections::Some(count) = open {
            log::event(&log, Event::DrainTimeout, count);
            let drain_timeout = self.settings.limits.drain_timeout;
            return Err(eyre!(
                "{count} connections were still open after {drain_timeout:?}"
            ));
        }
        log::event(&log, Event::Stopped, "");
        Ok(())
    }
}

fn node_parts(settings: &Settings, peers: &TcpListener, log: Logger) -> Result<Parts> {
    let clock = Clock::new();
    let incarnation = clock.wall().as_millis();
    let engine = Engine::new(clock, gate::Options::default().seed(incarnation));
    let holder = Holder::default().with_longest_pause(MAX_PROCESS_PAUSE);
    engine.change(|gate, _| *gate.holder_mut() = holder);
    Ok(Parts {
        member: Member {
            entry: settings.entry.name.clone(),
            zone: settings.entry.zone.clone(),
            incarnation,
        },
        address: advertised_address(settings, peers)?,
        peer_timeout: settings.peers.heartbeat * MAX_MISSED_HEARTBEATS,
        stale_after: settings.peers.stale_after,
        engine: Arc::new(engine),
        active_revision: Arc::new(ActiveRevision::default()),
        metrics: Arc::new(Metrics::try_new()?),
        log,
    })
}

fn bind_peers(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .wrap_err_with(|| format!("can't listen for peers on {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn advertised_address(settings: &Settings, listener: &TcpListener) -> Result<SocketAddr> {
    match settings.entry.advertise {
        Some(address) => Ok(address),
        None => Ok(listener.local_addr()?),
    }
}

/// Writes the declarations of the settings to the store. Only for an in-memory store,
/// that is for a fleet of one entry host.
fn accept_declarations(settings: &Settings, store: &FleetStore) -> Result<()> {
    let Some(declarations) = &settings.declarations else {
        return Ok(());
    };
    if settings.store.kind != StoreKind::Memory {
        return Ok(());
    }
    let document = declaration::read(&[&declarations.path])?;
    let configuration = Configuration::new(store);
    let now = Clock::new().wall();
    let author = settings.entry.name.as_str();
    let proposal = Proposal::try_new(&configuration.load()?, &document, author, now)?;
    match configuration.accept(&proposal)? {
        Outcome::Accepted(_) => Ok(()),
        other => Err(eyre!("the declarations were not accepted: {other:?}")),
    }
}

/// Starts the threads for the store, after an attempt to fetch the first configuration.
async fn start_control(
    settings: &Settings,
    node: &Arc<Node>,
    store: &Arc<FleetStore>,
    cancel: &CancellationToken,
) -> Result<Workers> {
    let initial_fetch = {
        let (node, store) = (Arc::clone(node), Arc::clone(store));
        move || {
            control::fetch_configuration(&node, &store)?;
            control::fetch_ledger(&node, &store)
        }
    };
    if let Err(error) = tokio::task::spawn_blocking(initial_fetch).await? {
        log::event(node.log(), Event::StoreUnreachable, error);
    }
    let workers = Workers::start(node, store, settings.store.lease, cancel)?;
    Ok(workers.with_planner(node, store, settings.hosts.clone(), cancel)?)
}

async fn start_peers(
    settings: &Settings,
    node: &Arc<Node>,
    listener: TcpListener,
    cancel: &CancellationToken,
) -> Result<()> {
    let options = rhubarbrill_peer::Options {
        secret: settings.peers.secret.reveal().to_owned(),
        cancel: cancel.clone(),
    };
    rhubarbrill_peer::Server::start(listener, Arc::clone(node), options).await?;
    let peers = settings.peers.clone();
    tokio::spawn(control::exchange(Arc::clone(node), peers, cancel.clone()));
    Ok(())
}

/// Starts the gate's timer and the removal of old idle connections to endpoints.
fn start_engine_and_client(node: &Node, cancel: &CancellationToken) -> Client {
    let engine = Arc::clone(node.engine());
    let token = cancel.clone();
    tokio::spawn(async move { engine.run(token).await });
    let client = Client::new(endpoint::Options::default());
    tokio::spawn(prune_idle(client.clone(), cancel.clone()));
    client
}

async fn prune_idle(client: Client, cancel: CancellationToken) {
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(PRUNE_INTERVAL) => client.prune_idle(),
        }
    }
}

async fn bind_front(
    settings: &Settings,
    node: &Arc<Node>,
    client: Client,
) -> Result<front::Server> {
    let limits = &settings.limits;
    let options = front::Options {
        max_connections: limits.max_open as usize * CONNECTIONS_PER_REQUEST,
        header_timeout: limits.header_timeout,
        max_header_bytes: usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX),
    };
    let service = Arc::new(Service::new(Arc::clone(node), client, limits.clone()));
    let address = settings.entry.listen;
    front::Server::bind(address, service, options)
        .await
        .wrap_err_with(|| format!("can't listen for callers on {address}"))
}
