//! 64-bit integers in JSON.

use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A 64-bit integer that is serialized as a decimal string.
///
/// Deserializing accepts a JSON number as well.
///
/// # Example
///
/// ```
/// use rhubarbrill_wire::Int64;
///
/// assert_eq!(serde_json::to_string(&Int64(7))?, r#""7""#);
/// assert_eq!(serde_json::from_str::<Int64>("7")?, Int64(7));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Int64(pub i64);

impl Int64 {
    /// Returns the value, or zero for a negative one.
    pub fn to_u64(self) -> u64 {
        u64::try_from(self.0).unwrap_or(0)
    }

    /// Converts from `value`, or returns the maximum if it is too large.
    pub fn saturating_from(value: u64) -> Self {
        Self(i64::try_from(value).unwrap_or(i64::MAX))
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Int64Visitor)
    }
}

struct Int64Visitor;

impl Visitor<'_> for Int64Visitor {
    type Value = Int64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a 64-bit integer or a decimal string")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Int64, E> {
        text.parse().map(Int64).map_err(E::custom)
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Int64, E> {
        Ok(Int64(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Int64, E> {
        i64::try_from(value).map(Int64).map_err(E::custom)
    }
}
