//! Recognizes demand that recurs with a fixed period, and forecasts its next onset.
//!
//! Moving a host takes longer than the arrivals of a burst take to be recognized. If a
//! pool's bursts recur, hosts move before the next one. A forecast must be right once
//! before anything follows from it, and then only half of its height counts the first
//! time. A wrong forecast is dropped.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Scheduler, SchedulerEvent};
use crate::job::{Feature, Resource};
use crate::time::Instant;

mod history;

use history::{BUCKET_MS, History};

/// Number of buckets before the expected onset at which hosts are ordered: 1.5 s for a
/// move, and one bucket as the onset may be up to a bucket early.
const LEAD_BUCKETS: u64 = 7;

/// Number of buckets after the expected onset at which a forecast is judged. Until then
/// it holds capacity.
const JUDGED_AFTER_BUCKETS: u64 = 6;

/// Number of buckets by which an onset may be earlier or later than expected.
const TOLERANCE_BUCKETS: u64 = 2;

/// Factor by which a burst may be lower or higher than expected.
const HEIGHT_TOLERANCE: u64 = 2;

/// Interval at which the demand of a pool is searched for a period, in buckets.
const SEARCH_INTERVAL_BUCKETS: u64 = 4;

/// What happened to the forecast for a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PatternChange {
    /// A period was found; nothing follows from it yet.
    Found,
    /// The expected onset came. The next one is prepared for.
    Confirmed,
    /// The pool is about to grow for the expected onset.
    Acted,
    /// The expected onset didn't come, or its height was far off.
    Dropped,
}

impl PatternChange {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Found => "found",
            Self::Confirmed => "confirmed",
            Self::Acted => "acted",
            Self::Dropped => "dropped",
        }
    }
}

/// The next onset that is expected in a pool. Times are numbers of buckets.
#[derive(Clone, Copy, Debug)]
struct Forecast {
    period: u64,
    correlation_percent: u64,
    onset: u64,
    /// Work that is expected in each bucket.
    height: Resource,
    /// Number of onsets that came as expected.
    confirmations: u64,
    acted: bool,
}

impl Forecast {
    /// Returns the work in each bucket for which the pool is to hold capacity.
    fn prepared_work(&self, bucket: u64) -> Resource {
        let from = self.onset.saturating_sub(LEAD_BUCKETS);
        let until = self.onset + JUDGED_AFTER_BUCKETS;
        if !(from..until).contains(&bucket) {
            return Resource::default();
        }
        match self.confirmations {
            0 => Resource::default(),
            1 => Resource {
                cpu: self.height.cpu / 2,
                memory_mb: self.height.memory_mb / 2,
                gpu: self.height.gpu / 2,
            },
            _ => self.height,
        }
    }

    /// Returns whether the height of a burst is about as expected.
    const fn matches(&self, height: &Resource) -> bool {
        height.cpu <= self.height.cpu * HEIGHT_TOLERANCE
            && height.cpu * HEIGHT_TOLERANCE >= self.height.cpu
    }
}

/// History and forecast of one pool.
#[derive(Clone, Debug)]
struct Pattern {
    history: History,
    forecast: Option<Forecast>,
    /// Bucket in which the history is searched for a period again.
    next_search: u64,
}

impl Pattern {
    /// Brings the forecast up to date and returns what happened to it.
    fn update(&mut self, bucket: u64) -> Option<(PatternChange, Forecast)> {
        self.history.advance(bucket);
        let Some(forecast) = self.forecast else {
            self.forecast = self.search(bucket);
            return self
                .forecast
                .map(|forecast| (PatternChange::Found, forecast));
        };
        if bucket > forecast.onset + JUDGED_AFTER_BUCKETS {
            return Some(self.judge(forecast));
        }
        let acts = forecast.prepared_work(bucket) != Resource::default();
        if !acts || forecast.acted {
            return None;
        }
        let acted = Forecast {
            acted: true,
            ..forecast
        };
        self.forecast = Some(acted);
        Some((PatternChange::Acted, acted))
    }

    /// Returns a forecast if the demand repeats, and if two onsets were a period apart.
    fn search(&mut self, bucket: u64) -> Option<Forecast> {
        if bucket < self.next_search {
            return None;
        }
        self.next_search = bucket + SEARCH_INTERVAL_BUCKETS;
        let onsets = self.history.onsets();
        let [.., _, last] = onsets[..] else {
            return None;
        };
        let period = self.history.period()?;
        let before = last.saturating_sub(period.buckets);
        let recurs = onsets
            .iter()
            .any(|onset| onset.abs_diff(before) <= TOLERANCE_BUCKETS);
        let onset = last + period.buckets;
        let is_complete = bucket > last + JUDGED_AFTER_BUCKETS;
        (recurs && is_complete && onset > bucket).then(|| Forecast {
            period: period.buckets,
            correlation_percent: period.correlation_percent,
            onset,
            height: self.history.height(last),
            confirmations: 0,
            acted: false,
        })
    }

    /// Compares a forecast with what came, and replaces it by the next one or drops it.
    fn judge(&mut self, forecast: Forecast) -> (PatternChange, Forecast) {
        let onsets = self.history.onsets();
        let came = onsets
            .into_iter()
            .find(|onset| onset.abs_diff(forecast.onset) <= TOLERANCE_BUCKETS);
        let height = came.map(|onset| self.history.height(onset));
        let (Some(onset), Some(height)) = (came, height) else {
            self.forecast = None;
            return (PatternChange::Dropped, forecast);
        };
        if !forecast.matches(&height) {
            self.forecast = None;
            return (PatternChange::Dropped, forecast);
        }
        let next = Forecast {
            onset: onset + forecast.period,
            height,
            confirmations: forecast.confirmations + 1,
            acted: false,
            ..forecast
        };
        self.forecast = Some(next);
        (PatternChange::Confirmed, next)
    }
}

/// Demand of pools over time, and the forecasts that follow from it.
#[derive(Debug, Default)]
pub(super) struct Patterns {
    by_pool: BTreeMap<String, Pattern>,
}

impl Patterns {
    /// Records work that was submitted to a pool.
    pub(super) fn record(&mut self, now: Instant, pool: &str, work: &Resource) {
        let bucket = bucket_at(now);
        self.pattern_of(bucket, pool).history.record(bucket, work);
    }

    /// Returns the pattern of a pool, whose history begins now if there is none yet.
    fn pattern_of(&mut self, bucket: u64, pool: &str) -> &mut Pattern {
        let pattern = self.by_pool.entry(pool.to_owned());
        pattern.or_insert_with(|| Pattern {
            history: History::new(bucket),
            forecast: None,
            next_search: bucket,
        })
    }

    /// Returns the capacity that a forecast burst will keep busy and that the pool must
    /// hold now.
    pub(super) fn expected(&self, now: Instant, pool: &str) -> Resource {
        let pattern = self.by_pool.get(pool);
        let forecast = pattern.and_then(|pattern| pattern.forecast);
        let work = forecast.map(|forecast| forecast.prepared_work(bucket_at(now)));
        work.unwrap_or_default()
            .divided_by(Duration::from_millis(BUCKET_MS))
    }

    /// Returns the mean demand of a pool in the last seconds without the newest one, or
    /// `None` if it isn't known.
    pub(super) fn usual_demand(&self, pool: &str) -> Option<Resource> {
        let work = self.by_pool.get(pool)?.history.usual()?;
        Some(work.divided_by(Duration::from_millis(BUCKET_MS)))
    }

    /// Brings all forecasts up to date and returns what happened to them.
    fn update(&mut self, now: Instant) -> Vec<SchedulerEvent> {
        let bucket = bucket_at(now);
        let mut events = Vec::new();
        for (pool, pattern) in &mut self.by_pool {
            if let Some((change, forecast)) = pattern.update(bucket) {
                let height = forecast.height;
                events.push(SchedulerEvent::DemandPattern {
                    pool: pool.clone(),
                    change,
                    period: buckets(forecast.period),
                    correlation_percent: forecast.correlation_percent,
                    onset_in: buckets(forecast.onset.saturating_sub(bucket)),
                    height: height.divided_by(Duration::from_millis(BUCKET_MS)),
                    confirmations: forecast.confirmations,
                });
            }
        }
        events
    }
}

impl Scheduler {
    /// Brings the forecasts of recurring demand up to date.
    pub(super) fn update_patterns(&mut self, now: Instant) {
        if self.has_feature(Feature::DemandPatterns) {
            let patterns = &mut self.arrivals.patterns;
            for pool in self.configuration.pools.iter().filter(|pool| !pool.standby) {
                patterns.pattern_of(bucket_at(now), &pool.name);
            }
            let events = patterns.update(now);
            self.events.extend(events);
        }
    }
}

/// Returns the number of the bucket of a time.
fn bucket_at(at: Instant) -> u64 {
    at.as_micros() / 1_000 / BUCKET_MS
}

/// Returns the length of a number of buckets.
const fn buckets(count: u64) -> Duration {
    Duration::from_millis(count * BUCKET_MS)
}
