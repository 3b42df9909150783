//! Measures on a virtual clock what claims cost the store and a request, and estimates
//! how many requests are refused when an entry host is lost.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrill_core::claim::{
    Arrival, Batch, Claim, ClaimOptions, IdempotencyKey, Request, SHARDS, Shard, ShardId,
};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::time::{Instant, Timestamp};
use uuid::Uuid;

const ENTRIES: u64 = 8;
const EPOCH_MS: u64 = 1_700_000_000_000;
const RUN_MS: u64 = 20_000;
const FORWARD_MS: u64 = 1;
const REQUEST_MS: u64 = 200;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CommitMode {
    /// Each claim is a write of its own.
    Single,
    /// Each entry host batches its own claims.
    Own,
    /// One coordinator per record batches all claims.
    Gathered,
    /// As `Gathered`, with a second write that releases the claim when the request ends.
    Completed,
}

/// A group that is being written to the store.
struct InFlight {
    finishes_at: u64,
    version: u64,
    group: Vec<Request>,
}

struct Writer {
    shard_id: usize,
    batch: Batch,
    in_flight: Option<InFlight>,
}

struct Simulation {
    mode: CommitMode,
    options: ClaimOptions,
    latency: u64,
    members: Vec<Member>,
    records: Vec<(u64, Shard)>,
    writers: BTreeMap<(usize, u64), Writer>,
    arrived: BTreeMap<u64, u64>,
    endings: BTreeMap<u64, Vec<(IdempotencyKey, Arrival)>>,
    waits: Vec<u64>,
    swaps: u64,
}

fn shard_id(index: usize) -> ShardId {
    ShardId::all().nth(index).expect("an index below SHARDS")
}

impl Simulation {
    fn new(mode: CommitMode, latency: u64) -> Self {
        let member = |entry| Member {
            entry: format!("e{entry}"),
            zone: "z1".into(),
            incarnation: 1,
        };
        Self {
            mode,
            options: ClaimOptions::default(),
            latency,
            members: (0..ENTRIES).map(member).collect(),
            records: vec![(0, Shard::default()); usize::from(SHARDS)],
            writers: BTreeMap::new(),
            arrived: BTreeMap::new(),
            endings: BTreeMap::new(),
            waits: Vec::new(),
            swaps: 0,
        }
    }

    fn arrive(&mut self, now: u64, number: u64) {
        let random =
            u128::from(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)) & (u128::MAX >> 66);
        let bits = u128::from(EPOCH_MS + now) << 80 | 7 << 76 | 2 << 62 | random;
        let key = IdempotencyKey::try_new(Uuid::from_u128(bits)).expect("version 7");
        let entry = number % ENTRIES;
        let arrival = Arrival {
            entry: format!("e{entry}"),
            incarnation: 1,
            number,
        };
        let at = Timestamp::from_millis(EPOCH_MS + now);
        let claim = Claim {
            arrival: arrival.clone(),
            workspace: "quotes".into(),
            at,
        };
        self.arrived.insert(number, now);
        self.push(key, entry, number, Request::Take { key, claim });
        if self.mode == CommitMode::Completed {
            let endings = self.endings.entry(now + REQUEST_MS).or_default();
            endings.push((key, arrival));
        }
    }

    fn push(&mut self, key: IdempotencyKey, entry: u64, number: u64, request: Request) {
        let index = key.shard_id().index();
        let (writer, options) = match self.mode {
            CommitMode::Single => (number, self.options.interval(Duration::ZERO)),
            CommitMode::Own => (entry, self.options),
            CommitMode::Gathered | CommitMode::Completed => (0, self.options),
        };
        let writer = self
            .writers
            .entry((index, writer))
            .or_insert_with(|| Writer {
                shard_id: index,
                batch: Batch::new(options),
                in_flight: None,
            });
        writer.batch.push(request);
    }

    fn step(&mut self, now: u64) {
        for (key, arrival) in self.endings.remove(&now).unwrap_or_default() {
            let number = arrival.number;
            self.push(
                key,
                number % ENTRIES,
                number,
                Request::Release { key, arrival },
            );
        }
        let Self {
            writers,
            records,
            options,
            arrived,
            waits,
            swaps,
            latency,
            ..
        } = self;
        for writer in writers.values_mut() {
            let (version, shard) = &mut records[writer.shard_id];
            if let Some(in_flight) = writer
                .in_flight
                .take_if(|in_flight| in_flight.finishes_at <= now)
            {
                if in_flight.version == *version {
                    *version += 1;
                    for reply in shard.apply(&in_flight.group, options) {
                        waits.extend(
                            arrived.remove(&reply.arrival.number).map(|at| now - at),
                        );
                    }
                    writer.batch.finish_flush();
                } else {
                    // The conflict returned the newer record, so the swap is retried on
                    // it.
                    *swaps += 1;
                    let (finishes_at, version) = (now + *latency, *version);
                    writer.in_flight = Some(InFlight {
                        finishes_at,
                        version,
                        ..in_flight
                    });
                }
            }
            if let Some(group) = writer.batch.begin_flush(Instant::from_millis(now)) {
                *swaps += 1;
                let (finishes_at, version) = (now + *latency, *version);
                writer.in_flight = Some(InFlight {
                    finishes_at,
                    version,
                    group,
                });
            }
        }
        if self.mode == CommitMode::Single {
            self.writers
                .retain(|_, w| w.in_flight.is_some() || w.batch.waiting() > 0);
        }
    }

    fn report(mut self, rate: u64) {
        self.waits.sort_unstable();
        let forward_ms = match self.mode {
            CommitMode::Single | CommitMode::Own => 0,
            CommitMode::Gathered | CommitMode::Completed => 2 * FORWARD_MS,
        };
        let claimed = self.waits.len();
        let mean = self.waits.iter().sum::<u64>() as f64 / claimed.max(1) as f64
            + forward_ms as f64;
        let p99 = self
            .waits
            .get(claimed * 99 / 100)
            .copied()
            .unwrap_or_default()
            + forward_ms;
        let bytes = self
            .records
            .iter()
            .map(|(_, shard)| serde_json::to_vec(shard).map_or(0, |bytes| bytes.len()));
        let secs = RUN_MS as f64 / 1_000.0;
        println!(
            "{:?};{};{rate};{:.0};{:.0};{mean:.0};{p99};{}",
            self.mode,
            self.latency,
            claimed as f64 / secs,
            self.swaps as f64 / secs,
            bytes.max().unwrap_or_default() / 1_000,
        );
    }
}

/// Estimates the refused first arrivals when the entry host that owns a part of the keys
/// in memory is lost: until the loss is detected, its keys have no owner, and its
/// successor must refuse keys that may predate it.
fn report_owner_loss(rate: u64, detect_ms: u64) {
    let members: Vec<Member> = Simulation::new(CommitMode::Own, 1).members;
    let owned = (0..usize::from(SHARDS))
        .filter(|&index| shard_id(index).coordinator(&members) == members.first())
        .count() as f64
        / f64::from(SHARDS);
    let skew_ms = 5_000;
    let unowned = rate as f64 * owned * detect_ms as f64 / 1_000.0;
    // The successor can't judge keys issued before its start, give or take the clock
    // skew.
    let predating = rate as f64 * owned * skew_ms as f64 / 1_000.0;
    // Sent by the lost entry host and unanswered, in every mode.
    let sent = rate as f64 / ENTRIES as f64 * REQUEST_MS as f64 / 1_000.0;
    println!("{rate};{detect_ms};{owned:.3};{unowned:.0};{predating:.0};{sent:.0}");
}

fn main() {
    println!(
        "mode;latency ms;offered/s;claims/s;swaps/s;mean ms;p99 ms;largest record kB"
    );
    for latency in [2, 5, 20] {
        for rate in [50, 400] {
            for mode in [
                CommitMode::Single,
                CommitMode::Own,
                CommitMode::Gathered,
                CommitMode::Completed,
            ] {
                let mut simulation = Simulation::new(mode, latency);
                let mut number = 0;
                for now in 0..RUN_MS {
                    while number * 1_000 < now * rate {
                        simulation.arrive(now, number);
                        number += 1;
                    }
                    simulation.step(now);
                }
                simulation.report(rate);
            }
        }
    }
    println!(
        "\nloss of an owner: offered/s;noticed after ms;owned part;without an owner;"
    );
    println!("refused as predating the successor;sent and unanswered (any way)");
    for rate in [50, 400] {
        report_owner_loss(rate, 3_000);
    }
}
