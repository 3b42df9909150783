//! Model test: no interleaving of arrivals, swaps and losses sends the request of a key
//! twice.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{
    Config, FileFailurePersistence, RngAlgorithm, TestRng, TestRunner,
};
use rhubarbrill_core::claim::{
    Answer, Arrival, Batch, Claim, ClaimOptions, IdempotencyKey, Request, Shard,
};
use rhubarbrill_core::time::{Instant, Timestamp};
use rstest::rstest;
use uuid::Uuid;

const HOSTS: usize = 3;
const RETENTION_MS: u64 = 4_000;
const TRIALS_PER_PROTOCOL: u32 = 200;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Protocol {
    Correct,
    /// Each entry host keeps its claims only in its own memory.
    OwnMemory,
    /// Requests are sent after a read of the record, whether or not the swap succeeds.
    ReadThenSend,
    /// A swap without an answer counts as successful.
    AssumeLostSucceeded,
    /// The oldest claims are dropped without a horizon.
    ForgetWithoutHorizon,
}

#[derive(Clone, Copy, Debug)]
enum SwapResult {
    Answered,
    LostBefore,
    LostAfter,
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Advance(u64),
    /// A request with a new key arrives at a host, or, for an index above zero, an
    /// earlier one again.
    Arrive(usize, usize),
    BeginFlush(usize),
    Finish(usize, SwapResult),
    DeliverLate(usize),
    GiveUp(usize),
    Restart(usize),
}

fn action() -> impl Strategy<Value = Action> {
    let host = 0..HOSTS;
    let result = prop_oneof![
        3 => Just(SwapResult::Answered), 1 => Just(SwapResult::LostBefore),
        1 => Just(SwapResult::LostAfter), 1 => Just(SwapResult::Delayed),
    ];
    prop_oneof![
        4 => (1..600_u64).prop_map(Action::Advance),
        8 => (host.clone(), 0..12_usize).prop_map(|(h, i)| Action::Arrive(h, i)),
        8 => host.clone().prop_map(Action::BeginFlush),
        8 => (host.clone(), result).prop_map(|(h, f)| Action::Finish(h, f)),
        2 => (0..4_usize).prop_map(Action::DeliverLate),
        2 => host.clone().prop_map(Action::GiveUp),
        1 => host.prop_map(Action::Restart),
    ]
}

#[derive(Clone)]
struct Swap {
    version: u64,
    shard: Shard,
}

struct Host {
    incarnation: u64,
    last_read: Swap,
    batch: Batch,
    flush: Vec<Request>,
    /// Arrivals that wait for an answer.
    waiting_arrivals: BTreeMap<Arrival, IdempotencyKey>,
}

struct Simulation {
    protocol: Protocol,
    options: ClaimOptions,
    now: u64,
    record: Swap,
    delayed_swaps: Vec<Swap>,
    hosts: Vec<Host>,
    keys: Vec<IdempotencyKey>,
    send_counts: BTreeMap<IdempotencyKey, u32>,
    arrivals: u64,
}

fn empty() -> Swap {
    Swap {
        version: 0,
        shard: Shard::default(),
    }
}

impl Simulation {
    fn new(protocol: Protocol) -> Self {
        let options = ClaimOptions::default()
            .interval(Duration::from_millis(20))
            .retention(Duration::from_millis(RETENTION_MS));
        let host = |incarnation| Host {
            incarnation,
            last_read: empty(),
            batch: Batch::new(options),
            flush: Vec::new(),
            waiting_arrivals: BTreeMap::new(),
        };
        Self {
            protocol,
            options,
            now: 100_000,
            record: empty(),
            delayed_swaps: Vec::new(),
            hosts: (1..=3).map(host).collect(),
            keys: Vec::new(),
            send_counts: BTreeMap::new(),
            arrivals: 0,
        }
    }

    fn act(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Advance(ms) => self.now += ms,
            Action::Arrive(host, age_rank) => self.arrive(host, age_rank),
            Action::BeginFlush(host) => self.begin_flush(host),
            Action::Finish(host, result) => self.finish(host, result),
            Action::DeliverLate(index) => {
                if index < self.delayed_swaps.len() {
                    let swap = self.delayed_swaps.swap_remove(index);
                    self.swap(swap);
                }
            }
            Action::GiveUp(host) => self.give_up(host),
            Action::Restart(host) => self.restart(host),
        }
        match self.send_counts.iter().find(|(_, times)| **times > 1) {
            Some((key, times)) => Err(format!("{key:?} sent {times} times")),
            None => Ok(()),
        }
    }

    fn arrive(&mut self, host: usize, age_rank: usize) {
        if age_rank == 0 || self.keys.len() < age_rank {
            let n = u128::try_from(self.keys.len()).unwrap();
            let bits = u128::from(self.now) << 80 | 7 << 76 | 2 << 62 | n;
            self.keys
                .push(IdempotencyKey::try_new(Uuid::from_u128(bits)).unwrap());
        }
        let age_rank = age_rank.clamp(1, self.keys.len());
        let key = self.keys[self.keys.len() - age_rank];
        self.arrivals += 1;
        let host = &mut self.hosts[host];
        let arrival = Arrival {
            entry: "e".into(),
            incarnation: host.incarnation,
            number: self.arrivals,
        };
        host.waiting_arrivals.insert(arrival.clone(), key);
        let at = Timestamp::from_millis(self.now);
        let claim = Claim {
            arrival,
            workspace: "t".into(),
            at,
        };
        host.batch.push(Request::Take { key, claim });
    }

    fn begin_flush(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        if let Some(flush) = host.batch.begin_flush(Instant::from_millis(self.now)) {
            host.flush = flush;
            if self.protocol != Protocol::OwnMemory {
                host.last_read = self.record.clone();
            }
        }
    }

    fn finish(&mut self, index: usize, result: SwapResult) {
        let host = &mut self.hosts[index];
        if host.flush.is_empty() {
            return;
        }
        let mut shard = host.last_read.shard.clone();
        if self.protocol == Protocol::ForgetWithoutHorizon {
            shard = forget(&shard, self.now);
        }
        let replies = shard.apply(&host.flush, &self.options);
        let swap = Swap {
            version: host.last_read.version,
            shard,
        };
        let answered = match (self.protocol, result) {
            (Protocol::OwnMemory, _) => {
                self.hosts[index].last_read = swap;
                true
            }
            (_, SwapResult::Answered) => self.swap(swap),
            (_, SwapResult::LostBefore) => false,
            (_, SwapResult::LostAfter) => {
                self.swap(swap);
                false
            }
            (_, SwapResult::Delayed) => {
                self.delayed_swaps.push(swap);
                false
            }
        };
        let assumes_success = matches!(self.protocol, Protocol::ReadThenSend)
            || self.protocol == Protocol::AssumeLostSucceeded
                && !matches!(result, SwapResult::Answered);
        let host = &mut self.hosts[index];
        if !answered && !assumes_success {
            // The same group is applied again to the latest record.
            host.last_read = self.record.clone();
            return;
        }
        host.flush.clear();
        host.batch.finish_flush();
        for reply in replies {
            let key = self.hosts[index].waiting_arrivals.remove(&reply.arrival);
            if let (Some(key), Answer::Won) = (key, &reply.answer) {
                *self.send_counts.entry(key).or_default() += 1;
            }
        }
    }

    /// The oldest waiting arrival passes its deadline and will never be sent.
    fn give_up(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        if let Some((arrival, key)) = host.waiting_arrivals.pop_first() {
            host.batch.push(Request::Release { key, arrival });
        }
    }

    fn restart(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        host.incarnation += 100;
        host.last_read = empty();
        host.batch = Batch::new(self.options);
        host.flush.clear();
        host.waiting_arrivals.clear();
    }

    fn swap(&mut self, swap: Swap) -> bool {
        let version_matches = swap.version == self.record.version;
        if version_matches {
            self.record = Swap {
                version: swap.version + 1,
                ..swap
            };
        }
        version_matches
    }
}

/// Drops claims by age and resets the horizon, as a store without a horizon would.
fn forget(shard: &Shard, now: u64) -> Shard {
    let mut value = serde_json::to_value(shard).unwrap();
    value["horizon"] = 0.into();
    value["newest"] = 0.into();
    let claims = value["claims"].as_object_mut().unwrap();
    claims.retain(|_, claim| claim["at"].as_u64().unwrap() + RETENTION_MS / 4 > now);
    serde_json::from_value(value).unwrap()
}

fn run(protocol: Protocol, actions: &[Action]) -> Result<Simulation, String> {
    let mut simulation = Simulation::new(protocol);
    for &action in actions {
        simulation.act(action)?;
    }
    Ok(simulation)
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..Config::default()
    })]

    #[test]
    fn a_key_is_sent_at_most_once(actions in prop::collection::vec(action(), 300)) {
        run(Protocol::Correct, &actions).map_err(TestCaseError::fail)?;
    }
}

#[rstest]
#[case::correct(Protocol::Correct, false)]
#[case::own_memory(Protocol::OwnMemory, true)]
#[case::read_then_send(Protocol::ReadThenSend, true)]
#[case::assume_lost_succeeded(Protocol::AssumeLostSucceeded, true)]
#[case::forget_without_horizon(Protocol::ForgetWithoutHorizon, true)]
fn faulty_protocols_send_twice(#[case] protocol: Protocol, #[case] violates: bool) {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let strategy = prop::collection::vec(action(), 300);
    let trials = (0..TRIALS_PER_PROTOCOL).map(|_| {
        let actions = strategy.new_tree(&mut runner).expect("a tree").current();
        run(protocol, &actions)
    });
    let (correct, violations): (Vec<_>, Vec<_>) = trials.partition(Result::is_ok);
    let sent_keys: usize = correct
        .iter()
        .flatten()
        .map(|simulation| simulation.send_counts.len())
        .sum();
    println!(
        "{protocol:?}: {} of {TRIALS_PER_PROTOCOL} broke; {sent_keys} sent in the rest",
        violations.len()
    );
    assert_eq!(!violations.is_empty(), violates);
}
