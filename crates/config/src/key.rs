//! Access keys: creates them, and verifies the tokens that callers present.
//!
//! A token has the form `rb_TEAM_NAME_SECRET`. Names contain no underscore, so the token
//! identifies its key, and verification costs one lookup and one hash. As the secret has
//! 256 random bits, no slow hash is needed; the salt hides whether two secrets are equal.

use rand::TryRngCore as _;
use rand::rngs::OsRng;
use rhubarbrill_core::fleet::{AccessKeyKey, Fleet};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::document::{Id, Kind, Properties, Section};
use crate::{Error, schema, unit};

const PREFIX: &str = "rb";
const SECRET_BYTES: usize = 32;
const SALT_BYTES: usize = 16;

/// A new access key: the section to declare, and the token to give to the caller.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Section that declares the key, with salt and digest but without the secret.
    pub section: Section,
    /// Token that the caller presents; it isn't stored and can't be recovered.
    pub token: String,
}

/// Creates an access key of a workspace.
///
/// # Errors
///
/// Fails if a name is invalid, or the operating system provides no random bytes.
pub fn grant(workspace: &str, name: &str) -> Result<Grant, Error> {
    schema::ValueType::Name.check(workspace)?;
    schema::ValueType::Name.check(name)?;
    let secret = unit::to_hex(&random_bytes::<SECRET_BYTES>()?);
    let salt = random_bytes::<SALT_BYTES>()?;
    let properties: Properties = [
        ("salt", unit::to_hex(&salt)),
        ("digest", unit::to_hex(&digest(&salt, &secret))),
    ]
    .into_iter()
    .collect();
    Ok(Grant {
        section: Section {
            id: Id::new(Kind::Key, format!("{workspace}/{name}")),
            properties,
        },
        token: format!("{PREFIX}_{workspace}_{name}_{secret}"),
    })
}

/// Returns the access key of a token if it is declared and the secret matches.
///
/// The time taken doesn't depend on the secret, as digests are compared in constant time.
pub fn verify(fleet: &Fleet, token: &str) -> Option<AccessKeyKey> {
    let mut parts = token.splitn(4, '_');
    if parts.next() != Some(PREFIX) {
        return None;
    }
    let (workspace, name, secret) = (parts.next()?, parts.next()?, parts.next()?);
    let key = fleet.access_keys.find(&format!("{workspace}/{name}"))?;
    let access_key = fleet.access_keys.get(key)?;
    let matches = digest(&access_key.salt, secret).ct_eq(&access_key.digest);
    bool::from(matches).then_some(key)
}

/// Returns the workspace in the name of an access key, `TEAM/NAME`.
pub(crate) fn workspace_of(name: &str) -> Result<&str, Error> {
    match name.split_once('/') {
        Some((workspace, rest)) if !rest.contains('/') => Ok(workspace),
        _ => Err(Error::invalid(format!(
            "{name:?} is not of the form TEAM/NAME"
        ))),
    }
}

fn digest(salt: &[u8], secret: &str) -> [u8; 32] {
    Sha256::new()
        .chain_update(salt)
        .chain_update(secret)
        .finalize()
        .into()
}

fn random_bytes<const N: usize>() -> Result<[u8; N], Error> {
    let mut bytes = [0; N];
    OsRng.try_fill_bytes(&mut bytes).map_err(|error| {
        Error::invalid(format!("failed to read random bytes: {error}"))
    })?;
    Ok(bytes)
}
