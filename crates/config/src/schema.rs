//! What each section may hold: keys, kinds of value, defaults.
//!
//! The tables here are the one source for checks, typed reading and
//! `docs/CONFIGURATION.md`.

mod check;
mod fleet;
mod reader;

pub(crate) use check::SectionLocation;
pub use fleet::{fields, title};
pub use reader::Reader;
pub use value::ValueType;
pub(crate) mod value;

/// One key of a section.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Field {
    /// The key.
    pub key: &'static str,
    /// The kind of value.
    pub value: ValueType,
    /// Whether the key may be left out, and what then counts.
    pub presence: Presence,
    /// What the key means, in one sentence.
    pub description: &'static str,
}

/// Whether a key may be left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// The key must be given.
    Required,
    /// The key may be left out, and then has no value.
    Optional,
    /// The key may be left out, and then has this value.
    Default(&'static str),
}

impl Field {
    /// Returns a key that must be given.
    pub const fn required(
        key: &'static str,
        value: ValueType,
        description: &'static str,
    ) -> Self {
        Self::new(key, value, Presence::Required, description)
    }

    /// Returns a key that may be left out, and then has no value.
    pub const fn optional(
        key: &'static str,
        value: ValueType,
        description: &'static str,
    ) -> Self {
        Self::new(key, value, Presence::Optional, description)
    }

    /// Returns a key that may be left out, and then has this value.
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

/// Returns the Markdown table of the keys, as the operators' page has it.
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
