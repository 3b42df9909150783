//! Statistics over reports whose weight decays with time.

use std::time::Duration;

use crate::time::Instant;

/// Time in which the weight of a report halves. Interference changes within seconds, and
/// so must the estimates.
const HALF_LIFE: Duration = Duration::from_secs(15);

/// Lower bound of the estimated noise of one report, in percent of the target. A few equal
/// reports by chance would otherwise count as certain.
const MIN_NOISE: f64 = 5.0;

/// Reports that an estimate needs beyond the number of its unknowns. The noise of fewer is
/// estimated too low at times.
const MIN_FREEDOM: f64 = 8.0;

/// Ratio of the harm to its standard error from which a pair is found. The decision is
/// taken anew with each report, so that chance has many tries.
const MIN_SIGNIFICANCE: f64 = 5.0;

/// The same ratio for a comparison between endpoints. Their loads differ, and there are few
/// of them: with 4.5, 7 of 300 seeded runs with six endpoints found a harmless pair.
const MIN_SIGNIFICANCE_BETWEEN: f64 = 8.0;

/// Decayed sums of the reports of a victim: how many aggressors ran beside it (the dose),
/// and its tail latency in percent of its target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sums {
    pub(super) weight: f64,
    dose: f64,
    tail: f64,
    dose_dose: f64,
    dose_tail: f64,
    tail_tail: f64,
    at: Instant,
}

impl Sums {
    /// Returns the sums with their weight at `now`.
    pub(super) fn at(&self, now: Instant) -> Self {
        let elapsed = now.saturating_since(self.at).as_secs_f64();
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        Self {
            weight: self.weight * factor,
            dose: self.dose * factor,
            tail: self.tail * factor,
            dose_dose: self.dose_dose * factor,
            dose_tail: self.dose_tail * factor,
            tail_tail: self.tail_tail * factor,
            at: now,
        }
    }

    /// Adds one report.
    pub(super) fn record(&mut self, now: Instant, dose: f64, tail: f64) {
        *self = self.at(now);
        self.weight += 1.0;
        self.dose += dose;
        self.tail += tail;
        self.dose_dose += dose * dose;
        self.dose_tail += dose * tail;
        self.tail_tail += tail * tail;
    }

    /// Returns the sums over the reports of both.
    pub(super) fn merged(&self, other: &Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            dose: self.dose + other.dose,
            tail: self.tail + other.tail,
            dose_dose: self.dose_dose + other.dose_dose,
            dose_tail: self.dose_tail + other.dose_tail,
            tail_tail: self.tail_tail + other.tail_tail,
            at: self.at,
        }
    }

    /// Returns the sum of the squared deviations of the dose.
    pub(super) fn dose_variation(&self) -> f64 {
        self.dose.mul_add(-self.mean_dose(), self.dose_dose)
    }

    pub(super) const fn dose_dose(&self) -> f64 {
        self.dose_dose
    }

    pub(super) fn mean_dose(&self) -> f64 {
        self.dose / self.weight
    }

    pub(super) fn mean_tail(&self) -> f64 {
        self.tail / self.weight
    }
}

/// An estimated harm: what one aggressor at full speed adds to the victim's tail latency,
/// in percent of its target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    pub(super) harm: f64,
    /// Whether the harm is too large to be due to chance.
    pub(super) is_significant: bool,
}

/// Estimates the harm from changes of the dose on each endpoint. An endpoint on which the
/// victim is always slow adds nothing, since each endpoint is compared with itself.
pub(super) fn within_endpoints(endpoints: &[Sums]) -> Option<Estimate> {
    let (mut dose_dose, mut dose_tail, mut tail_tail) = (0.0, 0.0, 0.0);
    let mut freedom = -1.0;
    for sums in endpoints {
        dose_dose += sums.dose_variation();
        dose_tail += sums.dose_tail - sums.dose * sums.mean_tail();
        tail_tail += sums.tail_tail - sums.tail * sums.mean_tail();
        freedom += sums.weight - 1.0;
    }
    if dose_dose <= f64::EPSILON || freedom < 1.0 {
        return None;
    }
    let harm = dose_tail / dose_dose;
    let unexplained = harm.mul_add(-dose_tail, tail_tail).max(0.0);
    let noise = (unexplained / freedom).sqrt().max(MIN_NOISE);
    Some(Estimate {
        harm,
        is_significant: freedom >= MIN_FREEDOM
            && harm * dose_dose.sqrt() >= MIN_SIGNIFICANCE * noise,
    })
}

/// Estimates the harm from endpoints with the pair and others without the aggressor. It
/// compares medians, so that one slow endpoint among several doesn't count as a pair.
pub(super) fn between_endpoints(exposed: &[Sums], others: &[Sums]) -> Option<Estimate> {
    let dose = exposed.iter().map(Sums::mean_dose).sum::<f64>() / count(exposed);
    let exposed: Vec<f64> = exposed.iter().map(Sums::mean_tail).collect();
    let others: Vec<f64> = others.iter().map(Sums::mean_tail).collect();
    let freedom = count(&exposed) + count(&others) - 2.0;
    if dose <= f64::EPSILON || freedom < 1.0 {
        return None;
    }
    let difference = median(&exposed) - median(&others);
    let spread = squared_deviations(&exposed) + squared_deviations(&others);
    let noise = (spread / freedom).sqrt().max(MIN_NOISE);
    let error = noise * (1.0 / count(&exposed) + 1.0 / count(&others)).sqrt();
    Some(Estimate {
        harm: difference / dose,
        is_significant: difference >= MIN_SIGNIFICANCE_BETWEEN * error,
    })
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    if sorted.len().is_multiple_of(2) {
        f64::midpoint(sorted[middle - 1], sorted[middle])
    } else {
        sorted[middle]
    }
}

fn squared_deviations(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / count(values);
    values.iter().map(|value| (value - mean).powi(2)).sum()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "there are at most a few dozen endpoints"
)]
const fn count<T>(values: &[T]) -> f64 {
    values.len() as f64
}
