//! Scheduling features that the settings of a deployment switch on.

/// A scheduling feature. Each one is off unless the settings of a deployment switch it on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Feature {
    /// Jobs that can't end while they are of use are rejected at once.
    Admission,
    /// Recurring demand of pools is learned, and hosts move before it rises.
    DemandPatterns,
    /// The speed of endpoints is learned, and placement prefers those on which a task is
    /// expected to end first.
    EndpointPace,
    /// Jobs that can end on time start before those that can't, which only get the capacity
    /// that is left.
    FeasibleSet,
    /// A leader that can't reach the store while other entry hosts can ends its term.
    HandOver,
    /// Tasks that slow each other down are kept on separate endpoints.
    Interference,
    /// Run times are learned by queue, and correct the estimates of callers.
    RunTimeEstimates,
}

impl Feature {
    /// Every feature, in order of name.
    pub const ALL: [Self; 7] = [
        Self::Admission,
        Self::DemandPatterns,
        Self::EndpointPace,
        Self::FeasibleSet,
        Self::HandOver,
        Self::Interference,
        Self::RunTimeEstimates,
    ];

    /// Returns the name used in settings and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::DemandPatterns => "demand-patterns",
            Self::EndpointPace => "endpoint-pace",
            Self::FeasibleSet => "feasible-set",
            Self::HandOver => "hand-over",
            Self::Interference => "interference",
            Self::RunTimeEstimates => "run-time-estimates",
        }
    }

    const fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// A set of features.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Features(u32);

impl Features {
    /// The empty set.
    pub const NONE: Self = Self(0);

    /// Returns the set with one more feature.
    #[must_use]
    pub const fn with(self, feature: Feature) -> Self {
        Self(self.0 | feature.bit())
    }

    /// Returns whether the set contains a feature.
    pub const fn contains(self, feature: Feature) -> bool {
        self.0 & feature.bit() != 0
    }

    /// Returns the features of the set, in order of name.
    pub fn iter(self) -> impl Iterator<Item = Feature> {
        let all = Feature::ALL.into_iter();
        all.filter(move |&feature| self.contains(feature))
    }
}

impl FromIterator<Feature> for Features {
    fn from_iter<I: IntoIterator<Item = Feature>>(features: I) -> Self {
        features.into_iter().fold(Self::NONE, Self::with)
    }
}
