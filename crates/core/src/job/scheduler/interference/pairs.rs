//! Learns which pairs of images slow each other down, from reports with and without the
//! pair.

use std::collections::BTreeMap;

use super::evidence::{self, Estimate, Sums};
use crate::job::EndpointKey;
use crate::time::Instant;

/// Maximum number of pairs. The pair with the least evidence makes room for a new one.
const MAX_PAIRS: usize = 256;

/// Maximum number of endpoints whose reports are kept for one pair, and for one victim
/// without any aggressor.
const MAX_ENDPOINTS: usize = 16;

/// Dose from which a report counts as one with the pair.
const EXPOSED_DOSE: f64 = 0.15;

/// Weight of reports of each kind that a decision needs. Twelve reports in nine seconds
/// still weigh nine.
const MIN_WEIGHT: f64 = 6.0;

/// Variation of the dose that a decision needs: the sum of the squared deviations, relative
/// to the mean square of the dose in reports with the pair. It is 3 for six reports of each
/// kind. Pacing keeps a harmful aggressor at low speeds, and it is lower then.
const MIN_VARIATION: f64 = 2.0;

/// Variation of the dose with which the harm of a known pair is still estimated.
const MIN_KNOWN_VARIATION: f64 = 0.75;

/// Weight of the reports of one endpoint that a comparison between endpoints needs.
const MIN_ENDPOINT_WEIGHT: f64 = 1.0;

/// Number of endpoints of each kind that a comparison between endpoints needs. With four,
/// one slow endpoint doesn't decide the median.
const MIN_ENDPOINTS: usize = 4;

/// Harm from which a pair is found, in percent of the target.
const MIN_HARM: f64 = 25.0;

/// Harm below which a known pair is forgotten, in percent of the target.
const FORGET_BELOW_HARM: f64 = 15.0;

/// Weight of the reports with the pair below which a known pair is forgotten. Without new
/// reports this takes about 40 s.
const FORGET_BELOW_WEIGHT: f64 = 1.5;

/// Weight below which the reports of an endpoint are removed.
const NEGLIGIBLE_WEIGHT: f64 = 0.1;

/// Highest tail latency that is counted, in percent of the target. It limits the effect of
/// a single outlier.
const MAX_TAIL_PERCENT: u64 = 500;

/// Two images, of which one slows the other down.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pair {
    /// Image of the tasks with a latency target.
    pub victim: String,
    /// Image of the best-effort tasks beside them.
    pub aggressor: String,
}

/// What a report says about one image with a latency target.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Endpoint that reported.
    pub endpoint: EndpointKey,
    /// Image of the task with a latency target.
    pub victim: &'a str,
    /// Its tail latency, in percent of its target.
    pub tail_percent: u64,
    /// Number of best-effort runs beside it, by image; a run at half speed counts half.
    pub doses: &'a BTreeMap<String, f64>,
}

/// Why a pair is no longer known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForgetReason {
    /// Newer reports show little harm.
    Harmless,
    /// There are too few recent reports with or without the pair.
    Expired,
    /// Another pair took its place.
    Evicted,
}

impl ForgetReason {
    /// Returns the text used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Harmless => "recent reports show little harm",
            Self::Expired => "too few recent reports",
            Self::Evicted => "too many pairs, and this one had the least evidence",
        }
    }
}

/// A change of the known pairs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A pair was found.
    Found {
        /// The pair.
        pair: Pair,
        /// What one aggressor adds, in percent of the victim's target.
        harm_percent: u64,
        /// Decayed number of reports with the pair.
        with: u64,
        /// Decayed number of reports without the pair.
        without: u64,
    },
    /// A pair is no longer known.
    Forgotten {
        /// The pair.
        pair: Pair,
        /// Why it was forgotten.
        reason: ForgetReason,
    },
}

/// Reports of one endpoint about one pair.
#[derive(Clone, Copy, Debug, Default)]
struct Contrast {
    exposed: Sums,
    unexposed: Sums,
}

impl Contrast {
    fn at(&self, now: Instant) -> Self {
        Self {
            exposed: self.exposed.at(now),
            unexposed: self.unexposed.at(now),
        }
    }

    fn weight(&self) -> f64 {
        self.exposed.weight + self.unexposed.weight
    }
}

/// State of one pair.
#[derive(Clone, Debug, Default)]
struct Evidence {
    by_endpoint: BTreeMap<EndpointKey, Contrast>,
    /// Harm in percent of the target; `None` unless the pair is known.
    known_harm: Option<f64>,
    /// Whether there was enough evidence for a decision.
    assessed: bool,
}

impl Evidence {
    fn exposed_weight(&self, now: Instant) -> f64 {
        let contrasts = self.by_endpoint.values();
        contrasts
            .map(|contrast| contrast.exposed.at(now).weight)
            .sum()
    }
}

/// Reports of a victim without any aggressor, by endpoint.
type Baseline = BTreeMap<EndpointKey, Sums>;

/// The pairs and the reports about them.
#[derive(Clone, Debug, Default)]
pub struct Pairs {
    evidence: BTreeMap<Pair, Evidence>,
    baselines: BTreeMap<String, Baseline>,
    /// Harm of the known pairs, by aggressor and victim.
    known: BTreeMap<String, BTreeMap<String, f64>>,
}

impl Pairs {
    /// Returns the number of known pairs.
    pub fn known_count(&self) -> usize {
        self.known.values().map(BTreeMap::len).sum()
    }

    /// Returns whether no pair is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns what one aggressor adds to the tail latency of a victim, in percent of its
    /// target; 0 unless the pair is known.
    pub fn harm(&self, aggressor: &str, victim: &str) -> f64 {
        let victims = self.known.get(aggressor);
        let harm = victims.and_then(|victims| victims.get(victim));
        harm.copied().unwrap_or(0.0)
    }

    /// Returns whether an image slows another one down.
    pub fn is_aggressor(&self, image: &str) -> bool {
        self.known.contains_key(image)
    }

    /// Processes a report and returns the changes of the known pairs.
    pub fn observe(
        &mut self,
        now: Instant,
        observation: &Observation<'_>,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        self.add_pairs(now, observation, &mut changes);
        if observation.doses.values().all(|&dose| dose < EXPOSED_DOSE) {
            self.record_baseline(now, observation);
        }
        for pair in self.attributable(observation) {
            self.record(now, observation, &pair);
            self.assess(now, &pair, &mut changes);
        }
        changes
    }

    /// Forgets pairs and reports whose evidence has expired, and returns the changes of
    /// the known pairs.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        for baseline in self.baselines.values_mut() {
            baseline.retain(|_, sums| sums.at(now).weight > NEGLIGIBLE_WEIGHT);
        }
        self.baselines.retain(|_, baseline| !baseline.is_empty());
        for evidence in self.evidence.values_mut() {
            let contrasts = &mut evidence.by_endpoint;
            contrasts.retain(|_, contrast| contrast.at(now).weight() > NEGLIGIBLE_WEIGHT);
        }
        let mut changes = Vec::new();
        let pairs: Vec<Pair> = self.evidence.keys().cloned().collect();
        for pair in pairs {
            self.assess(now, &pair, &mut changes);
        }
        self.evidence
            .retain(|_, evidence| !evidence.by_endpoint.is_empty());
        changes
    }

    /// Adds the pairs that a report shows for the first time.
    fn add_pairs(
        &mut self,
        now: Instant,
        observation: &Observation<'_>,
        changes: &mut Vec<Change>,
    ) {
        for (aggressor, &dose) in observation.doses {
            let pair = Pair {
                victim: observation.victim.to_owned(),
                aggressor: aggressor.clone(),
            };
            if dose < EXPOSED_DOSE || self.evidence.contains_key(&pair) {
                continue;
            }
            if self.evidence.len() >= MAX_PAIRS {
                self.evict(now, changes);
            }
            self.evidence.insert(pair, Evidence::default());
        }
    }

    /// Removes the pair with the least evidence.
    fn evict(&mut self, now: Instant, changes: &mut Vec<Change>) {
        let weight = |evidence: &Evidence| evidence.exposed_weight(now);
        let least = self
            .evidence
            .iter()
            .min_by(|(_, left), (_, right)| weight(left).total_cmp(&weight(right)));
        let Some(pair) = least.map(|(pair, _)| pair.clone()) else {
            return;
        };
        self.forget(&pair, ForgetReason::Evicted, changes);
        self.evidence.remove(&pair);
    }

    fn record_baseline(&mut self, now: Instant, observation: &Observation<'_>) {
        let tail = counted_tail(observation);
        let victim = observation.victim.to_owned();
        let baseline = self.baselines.entry(victim).or_default();
        make_room(baseline, observation.endpoint, |sums| sums.at(now).weight);
        let sums = baseline.entry(observation.endpoint).or_default();
        sums.record(now, 0.0, tail);
    }

    /// Returns the pairs to which a report can be attributed: those of the victim if all
    /// other aggressors on the endpoint have been assessed.
    ///
    /// The effects of two aggressors that are both unknown can't be told apart.
    fn attributable(&self, observation: &Observation<'_>) -> Vec<Pair> {
        let is_exposed = |pair: &Pair| dose_of(observation, pair) >= EXPOSED_DOSE;
        let of_victim: Vec<(&Pair, &Evidence)> = self
            .evidence
            .iter()
            .filter(|(pair, _)| pair.victim == observation.victim)
            .collect();
        let unassessed: Vec<&Pair> = of_victim
            .iter()
            .filter(|(pair, evidence)| is_exposed(pair) && !evidence.assessed)
            .map(|(pair, _)| *pair)
            .collect();
        match unassessed.as_slice() {
            [] => of_victim
                .iter()
                .filter(|(pair, evidence)| {
                    let endpoint = &observation.endpoint;
                    is_exposed(pair) || evidence.by_endpoint.contains_key(endpoint)
                })
                .map(|(pair, _)| (*pair).clone())
                .collect(),
            [only] => vec![(*only).clone()],
            _ => Vec::new(),
        }
    }

    /// Adds a report to the evidence about a pair, less the effect of other known pairs.
    fn record(&mut self, now: Instant, observation: &Observation<'_>, pair: &Pair) {
        let others = observation
            .doses
            .iter()
            .filter(|(image, _)| **image != pair.aggressor);
        let explained: f64 = others
            .map(|(image, dose)| dose * self.harm(image, observation.victim))
            .sum();
        let tail = counted_tail(observation) - explained;
        let dose = dose_of(observation, pair);
        let endpoint = observation.endpoint;
        let baseline = self.baselines.get(&pair.victim);
        let baseline = baseline.and_then(|sums| sums.get(&endpoint).copied());
        let Some(evidence) = self.evidence.get_mut(pair) else {
            return;
        };
        let contrasts = &mut evidence.by_endpoint;
        make_room(contrasts, endpoint, |contrast| contrast.at(now).weight());
        if dose < EXPOSED_DOSE {
            let contrast = contrasts.entry(endpoint).or_default();
            contrast.unexposed.record(now, dose, tail);
            return;
        }
        let contrast = contrasts.entry(endpoint).or_insert_with(|| Contrast {
            unexposed: baseline.unwrap_or_default(),
            ..Contrast::default()
        });
        contrast.exposed.record(now, dose, tail);
    }

    /// Decides whether a pair is known.
    fn assess(&mut self, now: Instant, pair: &Pair, changes: &mut Vec<Change>) {
        let Some(evidence) = self.evidence.get(pair) else {
            return;
        };
        let contrasts: Vec<Contrast> = evidence
            .by_endpoint
            .values()
            .map(|contrast| contrast.at(now))
            .collect();
        let baseline = self.unexposed_elsewhere(now, pair, evidence);
        let was_known = evidence.known_harm.is_some();
        let required = if was_known {
            Requirement::TO_KEEP
        } else {
            Requirement::TO_FIND
        };
        let estimate = estimate(&contrasts, &baseline, required);
        let with: f64 = contrasts.iter().map(|c| c.exposed.weight).sum();
        let without: f64 = contrasts.iter().map(|c| c.unexposed.weight).sum::<f64>()
            + baseline.iter().map(|sums| sums.weight).sum::<f64>();
        let Some(evidence) = self.evidence.get_mut(pair) else {
            return;
        };
        evidence.assessed = with >= MIN_WEIGHT && estimate.is_some();
        if was_known {
            match estimate {
                None => self.forget(pair, ForgetReason::Expired, changes),
                Some(estimate) if estimate.harm < FORGET_BELOW_HARM => {
                    self.forget(pair, ForgetReason::Harmless, changes);
                }
                Some(estimate) => self.set_harm(pair, estimate.harm),
            }
            return;
        }
        let Some(estimate) = estimate else {
            return;
        };
        if estimate.harm >= MIN_HARM && estimate.is_significant {
            self.set_harm(pair, estimate.harm);
            changes.push(Change::Found {
                pair: pair.clone(),
                harm_percent: rounded(estimate.harm),
                with: rounded(with),
                without: rounded(without),
            });
        }
    }

    /// Returns the reports of the victim on endpoints without the aggressor.
    fn unexposed_elsewhere(
        &self,
        now: Instant,
        pair: &Pair,
        evidence: &Evidence,
    ) -> Vec<Sums> {
        let baseline = self.baselines.get(&pair.victim).into_iter().flatten();
        baseline
            .filter(|(endpoint, _)| !evidence.by_endpoint.contains_key(endpoint))
            .map(|(_, sums)| sums.at(now))
            .filter(|sums| sums.weight >= MIN_ENDPOINT_WEIGHT)
            .collect()
    }

    fn set_harm(&mut self, pair: &Pair, harm: f64) {
        if let Some(evidence) = self.evidence.get_mut(pair) {
            evidence.known_harm = Some(harm);
        }
        let victims = self.known.entry(pair.aggressor.clone()).or_default();
        victims.insert(pair.victim.clone(), harm);
    }

    fn forget(&mut self, pair: &Pair, reason: ForgetReason, changes: &mut Vec<Change>) {
        let Some(evidence) = self.evidence.get_mut(pair) else {
            return;
        };
        if evidence.known_harm.take().is_none() {
            return;
        }
        if let Some(victims) = self.known.get_mut(&pair.aggressor) {
            victims.remove(&pair.victim);
        }
        self.known.retain(|_, victims| !victims.is_empty());
        changes.push(Change::Forgotten {
            pair: pair.clone(),
            reason,
        });
    }
}

/// How much evidence an estimate needs.
#[derive(Clone, Copy, Debug)]
struct Requirement {
    weight: f64,
    variation: f64,
}

impl Requirement {
    /// A pair that isn't known yet.
    const TO_FIND: Self = Self {
        weight: MIN_WEIGHT,
        variation: MIN_VARIATION,
    };
    /// A known pair.
    const TO_KEEP: Self = Self {
        weight: FORGET_BELOW_WEIGHT,
        variation: MIN_KNOWN_VARIATION,
    };
}

/// Estimates the harm of a pair. Changes on the same endpoint decide if the dose varies
/// enough there, and a comparison between endpoints otherwise.
fn estimate(
    contrasts: &[Contrast],
    baseline: &[Sums],
    required: Requirement,
) -> Option<Estimate> {
    let exposed: f64 = contrasts.iter().map(|c| c.exposed.weight).sum();
    if exposed < required.weight {
        return None;
    }
    let merged: Vec<Sums> = contrasts
        .iter()
        .map(|contrast| contrast.exposed.merged(&contrast.unexposed))
        .filter(|sums| sums.weight >= 1.0)
        .collect();
    let weight: f64 = merged.iter().map(|sums| sums.weight).sum();
    let variation: f64 = merged.iter().map(Sums::dose_variation).sum();
    let square = contrasts.iter().map(|c| c.exposed.dose_dose()).sum::<f64>() / exposed;
    if weight >= 2.0 * required.weight && variation >= required.variation * square {
        return evidence::within_endpoints(&merged);
    }
    let exposed: Vec<Sums> = contrasts
        .iter()
        .map(|contrast| contrast.exposed)
        .filter(|sums| sums.weight >= MIN_ENDPOINT_WEIGHT)
        .collect();
    let is_enough = |sums: &[Sums]| {
        let weight: f64 = sums.iter().map(|sums| sums.weight).sum();
        sums.len() >= MIN_ENDPOINTS && weight >= required.weight
    };
    if is_enough(&exposed) && is_enough(baseline) {
        return evidence::between_endpoints(&exposed, baseline);
    }
    None
}

/// Removes the entry with the least weight if a new endpoint would exceed the maximum.
fn make_room<T>(
    entries: &mut BTreeMap<EndpointKey, T>,
    endpoint: EndpointKey,
    weight: impl Fn(&T) -> f64,
) {
    if entries.len() < MAX_ENDPOINTS || entries.contains_key(&endpoint) {
        return;
    }
    let least = entries
        .iter()
        .min_by(|(_, left), (_, right)| weight(left).total_cmp(&weight(right)))
        .map(|(&key, _)| key);
    if let Some(key) = least {
        entries.remove(&key);
    }
}

fn dose_of(observation: &Observation<'_>, pair: &Pair) -> f64 {
    let dose = observation.doses.get(&pair.aggressor);
    dose.copied().unwrap_or(0.0)
}

#[expect(clippy::cast_precision_loss, reason = "the value is at most 500")]
fn counted_tail(observation: &Observation<'_>) -> f64 {
    observation.tail_percent.min(MAX_TAIL_PERCENT) as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is a small positive number"
)]
fn rounded(value: f64) -> u64 {
    value.round().max(0.0) as u64
}
