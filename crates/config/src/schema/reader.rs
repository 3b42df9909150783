//! Typed reading of a section's properties.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Field, Presence, value};
use crate::document::Properties;
use crate::{Error, unit};

/// Reads typed values from one section, with the defaults of its table.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    fields: &'static [Field],
    properties: &'a Properties,
}

impl<'a> Reader<'a> {
    /// Returns a reader of a section's properties.
    pub fn new(fields: &'static [Field], properties: &'a Properties) -> Self {
        Self { fields, properties }
    }

    /// Returns the value or its default.
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

    /// Returns the text.
    ///
    /// # Errors
    ///
    /// Fails when the key has no value, or one of another kind.
    pub fn text(&self, key: &str) -> Result<&'a str, Error> {
        self.get(key).ok_or_else(|| Error::missing(key))
    }

    /// Returns a whole number.
    ///
    /// # Errors
    ///
    /// Fails when the key has no value, or one of another kind.
    pub fn count(&self, key: &str) -> Result<u32, Error> {
        self.parse(key, unit::count)
    }

    /// Returns a count or percentage.
    ///
    /// # Errors
    ///
    /// Fails when the key has no value, or one of another kind.
    pub fn count_or_percent(&self, key: &str) -> Result<unit::CountOrPercent, Error> {
        self.parse(key, unit::count_or_percent)
    }

    /// Returns a duration.
    ///
    /// # Errors
    ///
    /// Fails when the key has no value, or one of another kind.
    pub fn duration(&self, key: &str) -> Result<Duration, Error> {
        self.parse(key, unit::duration)
    }

    /// Returns a size in bytes.
    ///
    /// # Errors
    ///
    /// Fails when the key has no value, or one of another kind.
    pub fn size(&self, key: &str) -> Result<u64, Error> {
        self.parse(key, unit::size)
    }

    /// Returns a yes or no.
    ///
    /// # Errors
    ///
    /// Fails when the key has no value, or one of another kind.
    pub fn flag(&self, key: &str) -> Result<bool, Error> {
        self.parse(key, unit::flag)
    }

    /// Returns bytes.
    ///
    /// # Errors
    ///
    /// Fails when the key has no value, or one of another kind.
    pub fn hex(&self, key: &str) -> Result<Vec<u8>, Error> {
        self.parse(key, unit::hex)
    }

    /// Returns an IP address and port.
    ///
    /// # Errors
    ///
    /// Fails when the key has no value, or one of another kind.
    pub fn address(&self, key: &str) -> Result<SocketAddr, Error> {
        self.parse(key, value::parse_address)
    }

    /// Returns the items of a comma list; none when the key isn't given.
    ///
    /// # Errors
    ///
    /// Fails when an item is of another kind.
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

    /// Returns IP addresses and ports; none when the key isn't given.
    ///
    /// # Errors
    ///
    /// Fails when an item is of another kind.
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
