//! Byte strings in JSON.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A byte string that is serialized as standard base64.
///
/// # Example
///
/// ```
/// use rhubarbrill_wire::Base64;
///
/// assert_eq!(serde_json::to_string(&Base64::from("key"))?, r#""a2V5""#);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Base64(pub Vec<u8>);

impl fmt::Debug for Base64 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Base64({} bytes)", self.0.len())
    }
}

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(Base64Visitor)
    }
}

struct Base64Visitor;

impl Visitor<'_> for Base64Visitor {
    type Value = Base64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a base64 string")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Base64, E> {
        STANDARD.decode(text).map(Base64).map_err(E::custom)
    }
}
