//! A caller gets the whole answer to its own request, or is told that it did not.

mod support;

use std::fmt::Write;
use std::ops::AddAssign;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrill_standin::endpoint::Fault;
use sha2::{Digest, Sha256};
use support::call::{Answer, Call};
use support::cluster::Cluster;
use support::fleet::{Fleet, Workspace};

const WORKSPACE: Workspace = Workspace {
    name: "counter",
    share: 1,
    limit: 40,
};

const SEED: u64 = 0x5eed_0003;
const CALLERS: u64 = 12;
const REQUESTS_PER_CALLER: u64 = 200;
const MAX_BODY_BYTES: usize = 4_000;
const LARGE_BODY_BYTES: usize = 60_000;
/// One body in this many is large.
const LARGE_EVERY: u64 = 20;

/// Time that one endpoint misbehaves in one way.
const TURN: Duration = Duration::from_millis(60);

const FAULTS: [Fault; 6] = [
    Fault::CloseMidResponse,
    Fault::LengthTooLong,
    Fault::LengthTooShort,
    Fault::FailFast,
    Fault::Refuse,
    Fault::SlowFirstByte(Duration::from_millis(30)),
];

/// Bytes that an endpoint leaves out when it announces too short a length.
const MISSING_BYTES: usize = 5;

/// What callers saw.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    whole: u32,
    /// Cut by the endpoint's own wrong length; the digest tells.
    short: u32,
    refused: u32,
    broken: u32,
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.whole += other.whole;
        self.short += other.short;
        self.refused += other.refused;
        self.broken += other.broken;
    }
}

#[test]
fn no_answer_crosses_or_is_cut_unseen() {
    println!("seed {SEED:#x}");
    let cluster = Cluster::start(Fleet::start(&[WORKSPACE], &["z1"], 3), &["z1"], 2);
    cluster.wait_for_units();
    let done = AtomicBool::new(false);
    let total = thread::scope(|scope| {
        scope.spawn(|| misbehave(&cluster.fleet, &done));
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let cluster = &cluster;
                scope.spawn(move || send_all(cluster, caller))
            })
            .collect();
        let counts: Vec<_> = callers.into_iter().map(|caller| caller.join()).collect();
        done.store(true, Ordering::Relaxed);
        let mut total = Count::default();
        for count in counts {
            total += count.unwrap_or_else(|panic| std::panic::resume_unwind(panic));
        }
        total
    });
    println!("{total:?}");
    assert!(total.whole > 1000, "{total:?}");
    assert!(total.short + total.refused + total.broken > 0, "{total:?}");
}

/// Lets one endpoint after the other misbehave in a way drawn by the seed.
fn misbehave(fleet: &Fleet, done: &AtomicBool) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    while !done.load(Ordering::Relaxed) {
        let endpoint = &fleet.endpoints[rng.random_range(0..fleet.endpoints.len())];
        endpoint.set_fault(FAULTS[rng.random_range(0..FAULTS.len())]);
        thread::sleep(TURN);
        endpoint.set_fault(Fault::None);
    }
}

fn send_all(cluster: &Cluster, caller: u64) -> Count {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED + 1 + caller);
    let mut count = Count::default();
    let address = cluster.daemons[caller as usize % 2].callers;
    for number in 0..REQUESTS_PER_CALLER {
        // Bodies differ from their first bytes on, so that a part tells whose it is.
        let mut body = format!("{caller}/{number}:").into_bytes();
        let is_large = number % LARGE_EVERY == 0;
        let most = if is_large {
            LARGE_BODY_BYTES
        } else {
            MAX_BODY_BYTES
        };
        let len = rng.random_range(0..most);
        body.extend((0..len).map(|_| rng.random::<u8>()));
        let call = Call::keyed(&cluster.fleet.tokens[0])
            .header("rhubarbrill-timeout-ms", "1500")
            .body(body.clone());
        match call.post(address, "/quotes") {
            Err(_) => count.broken += 1,
            Ok(answer) if answer.status != 200 => {
                assert!(!contains(&answer.body, &body), "{answer:?}");
                count.refused += 1;
            }
            Ok(answer) if answer.body == body => {
                assert_eq!(answer.digest, Some(digest(&body)));
                count.whole += 1;
            }
            Ok(answer) => {
                assert_short(&answer, &body);
                count.short += 1;
            }
        }
    }
    count
}

/// Checks that an answer lacks just what the endpoint left out, and shows it.
fn assert_short(answer: &Answer, own: &[u8]) {
    assert!(own.starts_with(&answer.body), "another request's answer");
    assert_eq!(answer.body.len() + MISSING_BYTES, own.len(), "cut unseen");
    assert_eq!(answer.digest, Some(digest(own)));
}

/// Returns whether a refusal carries the start of the request.
fn contains(refusal: &[u8], body: &[u8]) -> bool {
    refusal.starts_with(&body[..body.len().min(8)])
}

fn digest(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(bytes) {
        write!(text, "{byte:02x}").unwrap();
    }
    text
}
