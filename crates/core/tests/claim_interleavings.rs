//! No interleaving of arrivals, swaps and losses sends an identity twice.

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
const NAIVE_TRIALS: u32 = 200;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Whole,
    /// Claims are kept by each entry host alone.
    OwnMemory,
    /// The record is read before sending and written afterwards.
    ReadThenSend,
    /// A swap without an answer counts as done.
    TrustLostAnswers,
    /// The oldest claims are forgotten without a horizon.
    ForgetsSilently,
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    LostBefore,
    LostAfter,
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Advance(u64),
    /// A new identity arrives, or an older one again.
    Arrive(usize, usize),
    Depart(usize),
    Land(usize, Fate),
    LandLate(usize),
    GiveUp(usize),
    Replace(usize),
}

fn action() -> impl Strategy<Value = Action> {
    let host = 0..HOSTS;
    let fate = prop_oneof![
        3 => Just(Fate::Answered), 1 => Just(Fate::LostBefore),
        1 => Just(Fate::LostAfter), 1 => Just(Fate::Late),
    ];
    prop_oneof![
        4 => (1..600_u64).prop_map(Action::Advance),
        8 => (host.clone(), 0..12_usize).prop_map(|(h, i)| Action::Arrive(h, i)),
        8 => host.clone().prop_map(Action::Depart),
        8 => (host.clone(), fate).prop_map(|(h, f)| Action::Land(h, f)),
        2 => (0..4_usize).prop_map(Action::LandLate),
        2 => host.clone().prop_map(Action::GiveUp),
        1 => host.prop_map(Action::Replace),
    ]
}

#[derive(Clone)]
struct Swap {
    version: u64,
    shard: Shard,
}

struct Host {
    incarnation: u64,
    known: Swap,
    batch: Batch,
    group: Vec<Request>,
    /// Arrivals that wait for an answer.
    open: BTreeMap<Arrival, IdempotencyKey>,
}

struct World {
    variant: Variant,
    options: ClaimOptions,
    now: u64,
    record: Swap,
    late: Vec<Swap>,
    hosts: Vec<Host>,
    keys: Vec<IdempotencyKey>,
    sent: BTreeMap<IdempotencyKey, u32>,
    arrivals: u64,
}

fn empty() -> Swap {
    Swap {
        version: 0,
        shard: Shard::default(),
    }
}

impl World {
    fn new(variant: Variant) -> Self {
        let options = ClaimOptions::default()
            .interval(Duration::from_millis(20))
            .retention(Duration::from_millis(RETENTION_MS));
        let host = |incarnation| Host {
            incarnation,
            known: empty(),
            batch: Batch::new(options),
            group: Vec::new(),
            open: BTreeMap::new(),
        };
        Self {
            variant,
            options,
            now: 100_000,
            record: empty(),
            late: Vec::new(),
            hosts: (1..=3).map(host).collect(),
            keys: Vec::new(),
            sent: BTreeMap::new(),
            arrivals: 0,
        }
    }

    fn act(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Advance(ms) => self.now += ms,
            Action::Arrive(host, back) => self.arrive(host, back),
            Action::Depart(host) => self.depart(host),
            Action::Land(host, fate) => self.land(host, fate),
            Action::LandLate(index) => {
                if index < self.late.len() {
                    let swap = self.late.swap_remove(index);
                    self.swap(swap);
                }
            }
            Action::GiveUp(host) => self.give_up(host),
            Action::Replace(host) => self.replace(host),
        }
        match self.sent.iter().find(|(_, times)| **times > 1) {
            Some((key, times)) => Err(format!("{key:?} sent {times} times")),
            None => Ok(()),
        }
    }

    fn arrive(&mut self, host: usize, back: usize) {
        if back == 0 || self.keys.len() < back {
            let n = u128::try_from(self.keys.len()).unwrap();
            let bits = u128::from(self.now) << 80 | 7 << 76 | 2 << 62 | n;
            self.keys
                .push(IdempotencyKey::try_new(Uuid::from_u128(bits)).unwrap());
        }
        let back = back.clamp(1, self.keys.len());
        let key = self.keys[self.keys.len() - back];
        self.arrivals += 1;
        let host = &mut self.hosts[host];
        let arrival = Arrival {
            entry: "e".into(),
            incarnation: host.incarnation,
            number: self.arrivals,
        };
        host.open.insert(arrival.clone(), key);
        let at = Timestamp::from_millis(self.now);
        let claim = Claim {
            arrival,
            workspace: "t".into(),
            at,
        };
        host.batch.push(Request::Take { key, claim });
    }

    fn depart(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        if let Some(group) = host.batch.begin_flush(Instant::from_millis(self.now)) {
            host.group = group;
            if self.variant != Variant::OwnMemory {
                host.known = self.record.clone();
            }
        }
    }

    fn land(&mut self, index: usize, fate: Fate) {
        let host = &mut self.hosts[index];
        if host.group.is_empty() {
            return;
        }
        let mut shard = host.known.shard.clone();
        if self.variant == Variant::ForgetsSilently {
            shard = forget(&shard, self.now);
        }
        let replies = shard.apply(&host.group, &self.options);
        let swap = Swap {
            version: host.known.version,
            shard,
        };
        let answered = match (self.variant, fate) {
            (Variant::OwnMemory, _) => {
                self.hosts[index].known = swap;
                true
            }
            (_, Fate::Answered) => self.swap(swap),
            (_, Fate::LostBefore) => false,
            (_, Fate::LostAfter) => {
                self.swap(swap);
                false
            }
            (_, Fate::Late) => {
                self.late.push(swap);
                false
            }
        };
        let trusts = matches!(self.variant, Variant::ReadThenSend)
            || self.variant == Variant::TrustLostAnswers
                && !matches!(fate, Fate::Answered);
        let host = &mut self.hosts[index];
        if !answered && !trusts {
            // The same group is decided again on what the record holds by then.
            host.known = self.record.clone();
            return;
        }
        host.group.clear();
        host.batch.finish_flush();
        for reply in replies {
            let open = self.hosts[index].open.remove(&reply.arrival);
            if let (Some(key), Answer::Won) = (open, &reply.answer) {
                *self.sent.entry(key).or_default() += 1;
            }
        }
    }

    /// The oldest open arrival passes its deadline: it will never be sent.
    fn give_up(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        if let Some((arrival, key)) = host.open.pop_first() {
            host.batch.push(Request::Release { key, arrival });
        }
    }

    fn replace(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        host.incarnation += 100;
        host.known = empty();
        host.batch = Batch::new(self.options);
        host.group.clear();
        host.open.clear();
    }

    fn swap(&mut self, swap: Swap) -> bool {
        let fits = swap.version == self.record.version;
        if fits {
            self.record = Swap {
                version: swap.version + 1,
                ..swap
            };
        }
        fits
    }
}

/// Drops claims by age, and the horizon with them.
fn forget(shard: &Shard, now: u64) -> Shard {
    let mut value = serde_json::to_value(shard).unwrap();
    value["horizon"] = 0.into();
    value["newest"] = 0.into();
    let claims = value["claims"].as_object_mut().unwrap();
    claims.retain(|_, claim| claim["at"].as_u64().unwrap() + RETENTION_MS / 4 > now);
    serde_json::from_value(value).unwrap()
}

fn run(variant: Variant, actions: &[Action]) -> Result<World, String> {
    let mut world = World::new(variant);
    for &action in actions {
        world.act(action)?;
    }
    Ok(world)
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..Config::default()
    })]

    #[test]
    fn an_identity_is_sent_at_most_once(actions in prop::collection::vec(action(), 300)) {
        run(Variant::Whole, &actions).map_err(TestCaseError::fail)?;
    }
}

#[rstest]
#[case::whole(Variant::Whole, false)]
#[case::own_memory(Variant::OwnMemory, true)]
#[case::read_then_send(Variant::ReadThenSend, true)]
#[case::trust_lost_answers(Variant::TrustLostAnswers, true)]
#[case::forgets_silently(Variant::ForgetsSilently, true)]
fn naive_versions_send_twice(#[case] variant: Variant, #[case] breaks: bool) {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let strategy = prop::collection::vec(action(), 300);
    let trials = (0..NAIVE_TRIALS).map(|_| {
        let actions = strategy.new_tree(&mut runner).expect("a tree").current();
        run(variant, &actions)
    });
    let (whole, broken): (Vec<_>, Vec<_>) = trials.partition(Result::is_ok);
    let sent: usize = whole.iter().flatten().map(|world| world.sent.len()).sum();
    println!(
        "{variant:?}: {} of {NAIVE_TRIALS} broke; {sent} sent in the rest",
        broken.len()
    );
    assert_eq!(!broken.is_empty(), breaks);
}
