//! Declared availability zones.

slotmap::new_key_type! {
    /// Identifies an availability zone in its arena.
    pub struct ZoneKey;
}

/// A declared availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Zone {
    /// The name of the region that contains the availability zone.
    pub region: String,
}
