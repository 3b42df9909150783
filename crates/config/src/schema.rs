//! Schemas of sections: keys, value types and defaults.
//!
//! They are the single source for checks, typed reading and the tables in
//! `docs/CONFIGURATION.md`.

mod check;
mod fleet;
mod reader;

pub(crate) use check::SectionLocation;
pub use fleet::{fields, title};
pub use reader::Reader;
pub use value::ValueType;
pub(crate) mod value;

/// The schema of one key of a section.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Field {
    /// Key as written in the file.
    pub key: &'static str,
    /// Type of the value.
    pub value: ValueType,
    /// Whether the key may be omitted, and its default.
    pub presence: Presence,
    /// Meaning of the key in one sentence, for hints and documentation.
    pub description: &'static str,
}

/// Whether a key may be omitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// The key must be set.
    Required,
    /// The key may be omitted, and then has no value.
    Optional,
    /// The key may be omitted, and then has this value.
    Default(&'static str),
}

impl Field {
    /// Returns the schema of a required key.
    pub const fn required(
        key: &'static str,
        value: ValueType,
        description: &'static str,
    ) -> Self {
        Self::new(key, value, Presence::Required, description)
    }

    /// Returns the schema of an optional key without a default.
    pub const fn optional(
        key: &'static str,
        value: ValueType,
        description: &'static str,
    ) -> Self {
        Self::new(key, value, Presence::Optional, description)
    }

    /// Returns the schema of an optional key with a default value.
    pub const fn default(
        key: &'static str,
        value: ValueType,
        default: &'static str,
        description: &'static str,
    ) -> Self {
        Self::new(key, value, Presence::Default(default), description)
    }

    const fn new(
        key: &'static str,
        value: ValueType,
        presence: Presence,
        description: &'static str,
    ) -> Self {
        Self {
            key,
            value,
            presence,
            description,
        }
    }
}

/// Returns the keys as a Markdown table, as contained in `docs/CONFIGURATION.md`.
pub fn markdown(fields: &[Field]) -> String {
    let mut table = "| key | value | default | meaning |\n|---|---|---|---|\n".to_owned();
    for field in fields {
        let default = match field.presence {
            Presence::Required => "required".to_owned(),
            Presence::Optional => "none".to_owned(),
            Presence::Default(value) => format!("`{value}`"),
        };
        let Field {
            key,
            value,
            description,
            ..
        } = field;
        table += &format!("| `{key}` | {value} | {default} | {description} |\n");
    }
    table
}
