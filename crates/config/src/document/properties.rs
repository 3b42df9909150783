//! Properties: the keys and values of a section.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Kind;
use crate::schema;

/// The keys and values of a section, sorted by key.
///
/// The representation is compact, because each process holds the properties of the whole
/// fleet: keys of the schema are borrowed instead of copied, and a sorted slice takes
/// less memory than a map.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "BTreeMap<String, String>", into = "BTreeMap<String, String>")]
pub struct Properties(Box<[Property]>);

#[derive(Clone, Debug, Eq, PartialEq)]
struct Property {
    key: Cow<'static, str>,
    value: Box<str>,
}

impl Properties {
    /// Sets the value of a key, replacing a previous value.
    pub fn set(&mut self, key: impl Into<String>, value: impl Into<String>) {
        let key = interned(key.into());
        let value = value.into().into_boxed_str();
        match self.position(&key) {
            Ok(index) => self.0[index].value = value,
            Err(index) => {
                let mut properties = std::mem::take(&mut self.0).into_vec();
                properties.insert(index, Property { key, value });
                self.0 = properties.into_boxed_slice();
            }
        }
    }

    /// Returns the value of a key, or `None` if it isn't set.
    pub fn get(&self, key: &str) -> Option<&str> {
        let index = self.position(key).ok()?;
        Some(&self.0[index].value)
    }

    /// Returns the keys and values, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|property| (property.key.as_ref(), property.value.as_ref()))
    }

    /// Returns the index of a key, or else the index at which to insert it.
    fn position(&self, key: &str) -> Result<usize, usize> {
        self.0
            .binary_search_by(|property| property.key.as_ref().cmp(key))
    }
}

/// Returns the schema's static copy of a key if there is one, else the key itself.
fn interned(key: String) -> Cow<'static, str> {
    let mut fields = Kind::ALL.into_iter().flat_map(schema::fields);
    match fields.find(|field| field.key == key) {
        Some(field) => Cow::Borrowed(field.key),
        None => Cow::Owned(key),
    }
}

impl From<BTreeMap<String, String>> for Properties {
    fn from(map: BTreeMap<String, String>) -> Self {
        let property = |(key, value): (String, String)| Property {
            key: interned(key),
            value: value.into_boxed_str(),
        };
        Self(map.into_iter().map(property).collect())
    }
}

impl From<Properties> for BTreeMap<String, String> {
    fn from(properties: Properties) -> Self {
        let pairs = properties.iter();
        pairs
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect()
    }
}

impl<K: Into<String>, V: Into<String>> FromIterator<(K, V)> for Properties {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(items: I) -> Self {
        let pairs = items.into_iter();
        let map: BTreeMap<String, String> = pairs
            .map(|(key, value)| (key.into(), value.into()))
            .collect();
        Self::from(map)
    }
}
