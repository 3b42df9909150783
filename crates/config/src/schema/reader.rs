//! Conversion of a section's properties to types.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Field, Presence, value};
use crate::document::Properties;
use crate::{Error, unit};

/// Reads typed values from a section, with the defaults of its schema.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    fields: &'static [Field],
    properties: &'a Properties,
}

impl<'a> Reader<'a> {
    /// Returns a reader of a section's properties, with the schema of its keys.
    pub fn new(fields: &'static [Field], properties: &'a Properties) -> Self {
        Self { fields, properties }
    }

    /// Returns the text of a key or its default; `None` if it has neither.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        if let Some(text) = self.properties.get(key) {
            return Some(text);
        }
        let field = self.fields.iter().find(|field| field.key == key)?;
        match field.presence {
            Presence::Default(text) => Some(text),
            Presence::Optional | Presence::Required => None,
        }
    }

    /// Returns the text of a key or its default.
    ///
    /// # Errors
    ///
    /// Fails if the key has no value.
    pub fn text(&self, key: &str) -> Result<&'a str, Error> {
        self.get(key).ok_or_else(|| Error::missing(key))
    }

    /// Returns the value of a key as a whole number.
    ///
    /// # Errors
    ///
    /// Fails if the key has no value or an invalid one.
    pub fn count(&self, key: &str) -> Result<u32, Error> {
        self.parse(key, unit::count)
    }

    /// Returns the value of a key as a count or percentage.
    ///
    /// # Errors
    ///
    /// Fails if the key has no value or an invalid one.
    pub fn count_or_percent(&self, key: &str) -> Result<unit::CountOrPercent, Error> {
        self.parse(key, unit::count_or_percent)
    }

    /// Returns the value of a key as a duration.
    ///
    /// # Errors
    ///
    /// Fails if the key has no value or an invalid one.
    pub fn duration(&self, key: &str) -> Result<Duration, Error> {
        self.parse(key, unit::duration)
    }

    /// Returns the value of a key as a size in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the key has no value or an invalid one.
    pub fn size(&self, key: &str) -> Result<u64, Error> {
        self.parse(key, unit::size)
    }

    /// Returns the value of a key as a flag, written `yes` or `no`.
    ///
    /// # Errors
    ///
    /// Fails if the key has no value or an invalid one.
    pub fn flag(&self, key: &str) -> Result<bool, Error> {
        self.parse(key, unit::flag)
    }

    /// Returns the value of a key as bytes, written in hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails if the key has no value or an invalid one.
    pub fn hex(&self, key: &str) -> Result<Vec<u8>, Error> {
        self.parse(key, unit::hex)
    }

    /// Returns the value of a key as an IP address and port.
    ///
    /// # Errors
    ///
    /// Fails if the key has no value or an invalid one.
    pub fn address(&self, key: &str) -> Result<SocketAddr, Error> {
        self.parse(key, value::parse_address)
    }

    /// Returns the items of a comma-separated list; empty if the key isn't set.
    ///
    /// # Errors
    ///
    /// Fails if an item is invalid.
    pub fn list<T>(
        &self,
        key: &str,
        read: fn(&str) -> Result<T, Error>,
    ) -> Result<Vec<T>, Error> {
        let Some(text) = self.get(key) else {
            return Ok(Vec::new());
        };
        value::split_list(text)
            .map(|item| read(item).map_err(|error| error.at(key)))
            .collect()
    }

    /// Returns a comma-separated list of IP addresses and ports; empty if the key isn't
    /// set.
    ///
    /// # Errors
    ///
    /// Fails if an item is invalid.
    pub fn addresses(&self, key: &str) -> Result<Vec<SocketAddr>, Error> {
        self.list(key, value::parse_address)
    }

    fn parse<T>(
        &self,
        key: &str,
        read: fn(&str) -> Result<T, Error>,
    ) -> Result<T, Error> {
        read(self.text(key)?).map_err(|error| error.at(key))
    }
}
