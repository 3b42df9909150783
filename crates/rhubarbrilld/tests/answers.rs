//! Checks that a caller gets the complete response to its own request, or an error or a
//! digest mismatch that shows that it did not.

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

/// How long each injected endpoint fault lasts.
const FAULT_DURATION: Duration = Duration::from_millis(60);

const FAULTS: [Fault; 6] = [
    Fault::CloseMidResponse,
    Fault::LengthTooLong,
    Fault::LengthTooShort,
    Fault::FailFast,
    Fault::Refuse,
    Fault::SlowFirstByte(Duration::from_millis(30)),
];

/// Number of bytes that an endpoint omits under [`Fault::LengthTooShort`].
const MISSING_BYTES: usize = 5;

/// Counts of the outcomes that callers observed.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    whole: u32,
    /// Truncated because the endpoint announced too short a length; the digest
    /// reveals it.
    truncated: u32,
    refused: u32,
    failed: u32,
}

impl AddAssign for Outcomes {
    fn add_assign(&mut self, other: Self) {
        self.whole += other.whole;
        self.truncated += other.truncated;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

#[test]
fn responses_are_never_mixed_up_or_silently_truncated() {
    println!("seed {SEED:#x}");
    let cluster = Cluster::start(Fleet::start(&[WORKSPACE], &["z1"], 3), &["z1"], 2);
    cluster.wait_for_units();
    let done = AtomicBool::new(false);
    let total = thread::scope(|scope| {
        scope.spawn(|| inject_faults(&cluster.fleet, &done));
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let cluster = &cluster;
                scope.spawn(move || send_all(cluster, caller))
            })
            .collect();
        let all_outcomes: Vec<_> =
            callers.into_iter().map(|caller| caller.join()).collect();
        done.store(true, Ordering::Relaxed);
        let mut total = Outcomes::default();
        for outcomes in all_outcomes {
            total += outcomes.unwrap_or_else(|panic| std::panic::resume_unwind(panic));
        }
        total
    });
    println!("{total:?}");
    assert!(total.whole > 1000, "{total:?}");
    assert!(
        total.truncated + total.refused + total.failed > 0,
        "{total:?}"
    );
}

/// Injects a random fault into one random endpoint at a time, both drawn from `SEED`.
fn inject_faults(fleet: &Fleet, done: &AtomicBool) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    while !done.load(Ordering::Relaxed) {
        let endpoint = &fleet.endpoints[rng.random_range(0..fleet.endpoints.len())];
        endpoint.set_fault(FAULTS[rng.random_range(0..FAULTS.len())]);
        thread::sleep(FAULT_DURATION);
        endpoint.set_fault(Fault::None);
    }
}

fn send_all(cluster: &Cluster, caller: u64) -> Outcomes {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED + 1 + caller);
    let mut outcomes = Outcomes::default();
    let address = cluster.daemons[caller as usize % 2].callers;
    for number in 0..REQUESTS_PER_CALLER {
        // Bodies differ from the first byte, so that even a truncated one identifies its
        // request.
        let mut body = format!("{caller}/{number}:").into_bytes();
        let is_large = number % LARGE_EVERY == 0;
        let max_len = if is_large {
            LARGE_BODY_BYTES
        } else {
            MAX_BODY_BYTES
        };
        let len = rng.random_range(0..max_len);
        body.extend((0..len).map(|_| rng.random::<u8>()));
        let call = Call::keyed(&cluster.fleet.tokens[0])
            .header("rhubarbrill-timeout-ms", "1500")
            .body(body.clone());
        match call.post(address, "/quotes") {
            Err(_) => outcomes.failed += 1,
            Ok(answer) if answer.status != 200 => {
                assert!(!echoes_request(&answer.body, &body), "{answer:?}");
                outcomes.refused += 1;
            }
            Ok(answer) if answer.body == body => {
                assert_eq!(answer.digest, Some(digest(&body)));
                outcomes.whole += 1;
            }
            Ok(answer) => {
                assert_truncated(&answer, &body);
                outcomes.truncated += 1;
            }
        }
    }
    outcomes
}

/// Asserts that the response lacks exactly the bytes that the endpoint omitted, and that
/// its digest, which covers the whole body, reveals the truncation.
fn assert_truncated(answer: &Answer, sent: &[u8]) {
    assert!(
        sent.starts_with(&answer.body),
        "the response belongs to another request"
    );
    assert_eq!(
        answer.body.len() + MISSING_BYTES,
        sent.len(),
        "truncated by something other than the endpoint"
    );
    assert_eq!(answer.digest, Some(digest(sent)));
}

/// Returns whether the body of a refusal starts with the first 8 bytes of the request.
fn echoes_request(refusal: &[u8], body: &[u8]) -> bool {
    refusal.starts_with(&body[..body.len().min(8)])
}

fn digest(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(bytes) {
        write!(text, "{byte:02x}").unwrap();
    }
    text
}
