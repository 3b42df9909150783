//! Digests of documents.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Error, unit};

/// The SHA-256 of a document; displayed and serialized as 64 hexadecimal digits.
#[derive(Clone, Copy, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&unit::to_hex(&self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        let bytes = unit::hex(&text)?;
        match bytes.try_into() {
            Ok(bytes) => Ok(Self(bytes)),
            Err(_) => Err(Error::invalid("a digest must have 32 bytes")),
        }
    }
}
