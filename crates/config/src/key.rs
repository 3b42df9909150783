//! Access keys: granting them, and checking the token that a caller presents.
//!
//! A token reads `rb_TEAM_NAME_SECRET`. Names hold no underscore, so the token names its
//! key, and a check costs one look-up and one hash. The secret is 256 random bits, which
//! needs no slow hash; the salt keeps equal secrets from showing.

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

/// A new access key: the section to declare, and the token to hand out.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The section that declares the key; holds no secret.
    pub section: Section,
    /// What the caller presents. It is not kept anywhere and can't be shown again.
    pub token: String,
}

/// Makes a new access key of a workspace.
///
/// # Errors
///
/// Fails when a name isn't well formed, or the system gives no random bytes.
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

/// Returns the access key that a token stands for, if it is declared and the secret fits.
///
/// The time taken doesn't depend on the secret.
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

/// Returns the workspace in a key's name, which reads `TEAM/NAME`.
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
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|error| Error::invalid(format!("no random bytes: {error}")))?;
    Ok(bytes)
}
