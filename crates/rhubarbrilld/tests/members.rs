//! Tests the member record and the holder's pause detection with the daemon's worker
//! threads.

use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_core::allowance::Holder;
use rhubarbrill_core::fleet::{Arena, DisconnectedPolicy, Workspace, WorkspaceKey};
use rhubarbrill_core::gate;
use rhubarbrill_core::member::Member;
use rhubarbrill_edge::store::{
    AnyStore, Expect, Gateway, Memory, Prefixed, Store, Swap, Swapped,
};
use rhubarbrilld::clock::Clock;
use rhubarbrilld::control::{FleetStore, Node, Parts, Workers};
use rhubarbrilld::engine::Engine;
use rhubarbrilld::metrics::Metrics;
use tokio_util::sync::CancellationToken;

const TERM: Duration = Duration::from_secs(2);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

fn node() -> Arc<Node> {
    let clock = Clock::new();
    let engine = Engine::new(clock, gate::Options::default());
    let holder = Holder::default().with_longest_pause(LONGEST_PAUSE);
    engine.change(|gate, _| *gate.holder_mut() = holder);
    Arc::new(Node::new(Parts {
        member: Member {
            entry: "e1".into(),
            zone: "z1".into(),
            incarnation: 1,
        },
        address: "127.0.0.1:9".parse().unwrap(),
        peer_timeout: Duration::from_secs(1),
        stale_after: Duration::from_secs(30),
        engine: Arc::new(engine),
        active_revision: Arc::default(),
        metrics: Arc::new(Metrics::try_new().unwrap()),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    }))
}

/// Guards against a process that keeps serving beside its replacement: a process of the
/// same name overwrites the member record while the lease of the first one is still
/// alive.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_ends_when_its_member_record_is_overwritten() {
    let memory = Memory::new().with_idle_timeout(Duration::from_millis(500));
    let store: Arc<FleetStore> = Arc::new(Prefixed::new(AnyStore::Memory(memory), ""));
    let (node, cancel) = (node(), CancellationToken::new());
    let workers = Workers::start(&node, &store, TERM, &cancel).unwrap();
    let key = "member/z1/e1";
    let entry = loop {
        match store.get(key).unwrap() {
            Some(entry) => break entry,
            None => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    let text = String::from_utf8(entry.value).unwrap();
    let overwritten = text.replace("\"incarnation\":1", "\"incarnation\":2");
    let swap = Swap {
        key: key.into(),
        expect: Expect::Version(entry.version),
        value: Some(overwritten.clone().into_bytes()),
        lease: None,
    };
    assert!(matches!(store.swap(swap), Ok(Swapped::Done(_))));
    let replaced = tokio::time::timeout(TERM * 2, node.replaced()).await;
    cancel.cancel();
    tokio::task::spawn_blocking(|| workers.join())
        .await
        .unwrap()
        .unwrap();
    assert!(
        replaced.is_ok(),
        "the process kept running beside its replacement"
    );
    let remaining = store.get(key).unwrap().unwrap();
    assert_eq!(
        remaining.value,
        overwritten.into_bytes(),
        "the replacement's record was changed"
    );
}

/// Guards against taking idleness for a pause of the process: no request starts and the
/// store does not respond for longer than the longest trusted pause, and the floor must
/// stay usable.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_outage_does_not_count_as_a_pause() {
    let down = Gateway::try_new(["http://127.0.0.1:9".to_owned()]).unwrap();
    let store: Arc<FleetStore> = Arc::new(Prefixed::new(AnyStore::Gateway(down), ""));
    let mut workspaces: Arena<WorkspaceKey, Workspace> = Arena::default();
    let workspace = workspaces.upsert(
        "t",
        Workspace {
            share: 1,
            limit: 4,
            when_disconnected: DisconnectedPolicy::Serve,
        },
    );
    let (node, cancel) = (node(), CancellationToken::new());
    node.engine()
        .change(|gate, _| gate.holder_mut().set_floor(workspace, 4));
    let usable = || {
        node.engine()
            .read(|gate, now| gate.holder().usable_units(workspace, now))
    };
    assert_eq!(usable(), 4);
    let workers = Workers::start(&node, &store, TERM, &cancel).unwrap();
    tokio::time::sleep(LONGEST_PAUSE * 5).await;
    assert_eq!(usable(), 4, "the floor was lost");
    cancel.cancel();
    tokio::task::spawn_blocking(|| workers.join())
        .await
        .unwrap()
        .unwrap();
}
