//! Demand of a pool over the last minute, and the period and the onsets found in it.

use std::collections::VecDeque;
use std::ops::Range;

use crate::job::Resource;

/// Length of a bucket, in milliseconds.
pub(super) const BUCKET_MS: u64 = 250;

/// Number of buckets that are kept: one minute.
const MAX_BUCKETS: usize = 240;

/// Shortest period that is searched for: 4 s.
const MIN_PERIOD: usize = 16;

/// Correlation below which demand counts as having changed since the last bucket. Periods
/// are searched for beyond the first lag with such a correlation.
const UNRELATED_PERCENT: i64 = 30;

/// Correlation that a period must have.
const MIN_CORRELATION_PERCENT: i64 = 60;

/// Share of the highest correlation that the period must have. Multiples of a period
/// correlate about as well as the period itself.
const NEAR_BEST_PERCENT: i64 = 90;

/// Factor by which demand must exceed its usual low for an onset.
const MIN_CONTRAST: u64 = 3;

/// Number of buckets whose mean is the highest demand.
const HIGH_BUCKETS: usize = 4;

/// Smallest number of buckets between two onsets.
const MIN_ONSET_DISTANCE: u64 = 8;

/// Number of the newest buckets, the incomplete one among them, that may belong to a burst
/// that has just begun.
const NEW_BUCKETS: usize = 5;

/// Number of buckets before these whose mean is the usual demand: 8 s.
const USUAL_BUCKETS: usize = 32;

/// A period found in a history.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Period {
    /// Length in buckets.
    pub(super) buckets: u64,
    /// Correlation of the demand with that of one period before.
    pub(super) correlation_percent: u64,
}

/// Work that was submitted, by bucket. The newest bucket isn't complete.
#[derive(Clone, Debug)]
pub(super) struct History {
    work: VecDeque<Resource>,
    /// Number of the newest bucket.
    newest: u64,
}

impl History {
    pub(super) fn new(bucket: u64) -> Self {
        Self {
            work: VecDeque::from([Resource::default()]),
            newest: bucket,
        }
    }

    /// Adds empty buckets up to the given one.
    pub(super) fn advance(&mut self, bucket: u64) {
        let missing = bucket.saturating_sub(self.newest);
        for _ in 0..missing.min(MAX_BUCKETS as u64) {
            self.work.push_back(Resource::default());
        }
        self.newest = self.newest.max(bucket);
        while self.work.len() > MAX_BUCKETS {
            self.work.pop_front();
        }
    }

    /// Adds work to a bucket, or to the newest one if the bucket is older.
    pub(super) fn record(&mut self, bucket: u64, work: &Resource) {
        self.advance(bucket);
        if let Some(newest) = self.work.back_mut() {
            newest.add(work);
        }
    }

    /// Returns the number of the oldest bucket.
    fn oldest(&self) -> u64 {
        (self.newest + 1).saturating_sub(self.work.len() as u64)
    }

    /// Returns the CPU demand of the complete buckets, in hundredths of a core. The sum of
    /// 240 products of two values then fits into 64 bits for 800,000 cores.
    fn demand(&self) -> Vec<u64> {
        let complete = self.work.iter().take(self.work.len() - 1);
        complete.map(|work| work.cpu / BUCKET_MS / 10).collect()
    }

    /// Returns the shortest period with which the demand repeats.
    pub(super) fn period(&self) -> Option<Period> {
        let correlations = correlations(&self.demand());
        let changed = correlations
            .iter()
            .position(|&percent| percent < UNRELATED_PERCENT)?;
        let first = changed.max(MIN_PERIOD - 1);
        let best = *correlations.get(first..)?.iter().max()?;
        if best < MIN_CORRELATION_PERCENT {
            return None;
        }
        let is_near_best = |percent: i64| percent * 100 >= best * NEAR_BEST_PERCENT;
        let mut index = (first..correlations.len())
            .find(|&index| is_near_best(correlations[index]))?;
        while index + 1 < correlations.len()
            && correlations[index + 1] > correlations[index]
        {
            index += 1;
        }
        Some(Period {
            buckets: index as u64 + 1,
            correlation_percent: u64::try_from(correlations[index]).unwrap_or(0),
        })
    }

    /// Returns the buckets in which the demand rose from low to high, in order.
    pub(super) fn onsets(&self) -> Vec<u64> {
        let demand = self.demand();
        let Some(threshold) = onset_threshold(&demand) else {
            return Vec::new();
        };
        let mut onsets: Vec<u64> = Vec::new();
        for (index, pair) in demand.windows(2).enumerate() {
            let bucket = self.oldest() + index as u64 + 1;
            let is_apart = onsets
                .last()
                .is_none_or(|&last| bucket - last >= MIN_ONSET_DISTANCE);
            if pair[0] < threshold && pair[1] >= threshold && is_apart {
                onsets.push(bucket);
            }
        }
        onsets
    }

    /// Returns the mean work of a bucket in the last seconds, or `None` if they are too few.
    /// The newest buckets don't count, as they may belong to a burst that has just begun.
    pub(super) fn usual(&self) -> Option<Resource> {
        let to = self.work.len().checked_sub(NEW_BUCKETS)?;
        let from = to.saturating_sub(USUAL_BUCKETS);
        (to - from >= NEW_BUCKETS).then(|| self.mean(from..to))
    }

    /// Returns the mean work of a complete bucket in the second that follows an onset. The
    /// bucket of the onset itself may be only partly high.
    pub(super) fn height(&self, onset: u64) -> Resource {
        let complete = self.work.len() - 1;
        let skipped = usize::try_from((onset + 1).saturating_sub(self.oldest()));
        let from = skipped.unwrap_or(usize::MAX).min(complete);
        let to = (from + HIGH_BUCKETS).min(complete);
        self.mean(from..to)
    }

    /// Returns the mean work of some buckets, given by their positions.
    fn mean(&self, range: Range<usize>) -> Resource {
        let count = range.len().max(1) as u64;
        let mut total = Resource::default();
        for work in self.work.range(range) {
            total.add(work);
        }
        Resource {
            cpu: total.cpu / count,
            memory_mb: total.memory_mb / count,
            gpu: total.gpu / count,
        }
    }
}

/// Returns the demand half-way between the usual low and the highest one, or `None` if
/// they don't differ enough.
fn onset_threshold(demand: &[u64]) -> Option<u64> {
    let mut sorted = demand.to_vec();
    sorted.sort_unstable();
    let low = *sorted.get(sorted.len() / 4)?;
    let means = demand.windows(HIGH_BUCKETS);
    let high = means
        .map(|window| window.iter().sum::<u64>() / HIGH_BUCKETS as u64)
        .max()?;
    (high > 0 && high >= low * MIN_CONTRAST).then_some(low.midpoint(high))
}

/// Returns the correlation of a series with itself, in percent, at each lag from one on.
///
/// Each lag leaves an overlap of at least a quarter of it.
fn correlations(series: &[u64]) -> Vec<i64> {
    let count = series.len().max(1) as u64;
    let mean = series.iter().sum::<u64>() / count;
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    let centred: Vec<i64> = series
        .iter()
        .map(|&value| signed(value) - signed(mean))
        .collect();
    let longest = series.len() * 4 / 5;
    let lags = 1..=longest.min(series.len().saturating_sub(MIN_PERIOD));
    lags.map(|lag| correlation(&centred[lag..], &centred[..centred.len() - lag]))
        .collect()
}

fn correlation(one: &[i64], other: &[i64]) -> i64 {
    let product = |left: &[i64], right: &[i64]| {
        let pairs = left.iter().zip(right);
        pairs
            .map(|(&left, &right)| left.saturating_mul(right))
            .fold(0, i64::saturating_add)
    };
    let scale = product(one, one).isqrt() * product(other, other).isqrt() / 100;
    product(one, other) / scale.max(1)
}
