//! Value types and their checks.

use std::fmt;
use std::net::SocketAddr;

use crate::document::Kind;
use crate::{Error, unit};

/// The type of a value, with its constraints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueType {
    /// An IP address and port.
    Address,
    /// IP addresses and ports, separated by commas.
    Addresses,
    /// A count, or a percentage from 0% to 100%.
    CountOrPercent,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An unsigned number of 32 bits that is at least this.
    Count(u32),
    /// A duration greater than zero, with a unit.
    Duration,
    /// Bytes in hexadecimal digits.
    Hex {
        /// Minimum number of bytes.
        min: usize,
        /// Maximum number of bytes.
        max: usize,
    },
    /// A name: up to 63 lower-case letters, digits, dots and hyphens.
    Name,
    /// An absolute URL path, without query or trailing slash.
    Path,
    /// The name of a declared section of this kind.
    Reference(Kind),
    /// A size in bytes greater than zero, with a unit.
    Size,
    /// Any non-empty text.
    Text,
    /// An `http://` or `https://` URL.
    Url,
    /// `http://` or `https://` URLs, separated by commas.
    Urls,
}

impl ValueType {
    /// Checks that `text` is a value of this type.
    ///
    /// The existence of the section that a reference names isn't checked.
    ///
    /// # Errors
    ///
    /// Fails if the text is invalid, and says why.
    pub fn check(self, text: &str) -> Result<(), Error> {
        match self {
            Self::Address => parse_address(text).map(drop),
            Self::Addresses => {
                split_list(text).try_for_each(|item| parse_address(item).map(drop))
            }
            Self::CountOrPercent => unit::count_or_percent(text).map(drop),
            Self::Choice(words) => check_choice(text, words),
            Self::Count(min) => check_minimum(unit::count(text)?, min),
            Self::Duration => check_positive(unit::duration(text)?.is_zero()),
            Self::Hex { min, max } => check_length(unit::hex(text)?.len(), min, max),
            Self::Name | Self::Reference(_) => check_name(text),
            Self::Path => check_path(text),
            Self::Size => check_positive(unit::size(text)? == 0),
            Self::Text => check_not_empty(text),
            Self::Url => check_url(text),
            Self::Urls => split_list(text).try_for_each(check_url),
        }
    }
}

impl fmt::Display for ValueType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address => f.write_str("IP:PORT"),
            Self::Addresses => f.write_str("IP:PORT, ..."),
            Self::CountOrPercent => f.write_str("count or percentage, such as 3 or 10%"),
            Self::Choice(words) => f.write_str(&words.join(" or ")),
            Self::Count(min) => write!(f, "whole number, at least {min}"),
            Self::Duration => f.write_str("duration in ms, s, m, h or d"),
            Self::Hex { min, max } if min == max => {
                write!(f, "hexadecimal, {min} bytes")
            }
            Self::Hex { min, max } => {
                write!(f, "hexadecimal, {min} to {max} bytes")
            }
            Self::Name => f.write_str("name"),
            Self::Path => f.write_str("path, such as /quotes"),
            Self::Reference(kind) => write!(f, "name of a {kind}"),
            Self::Size => f.write_str("size in B, KB, MB, KiB or MiB"),
            Self::Text => f.write_str("text"),
            Self::Url => f.write_str("URL"),
            Self::Urls => f.write_str("URL, ..."),
        }
    }
}

/// Splits a comma-separated list.
pub(crate) fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim)
}

/// Parses an IP address and port.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, Error> {
    text.parse().map_err(|_| {
        Error::invalid(format!(
            "{text:?} is not an IP address and port such as 10.0.0.1:80"
        ))
    })
}

/// Checks a name: up to 63 lower-case letters, digits, dots and hyphens, the first of
/// them a letter or digit.
pub(crate) fn check_name(text: &str) -> Result<(), Error> {
    let is_allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || ".-".contains(c);
    let has_valid_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if has_valid_start && text.len() <= 63 && text.chars().all(is_allowed) {
        return Ok(());
    }
    Err(Error::invalid(format!(
        "{text:?} is not a name; a name has up to 63 of a-z, 0-9, dot and hyphen"
    )))
}

fn check_choice(text: &str, words: &[&str]) -> Result<(), Error> {
    if words.contains(&text) {
        return Ok(());
    }
    Err(Error::invalid(format!(
        "{text:?} is not one of: {}",
        words.join(", ")
    )))
}

fn check_minimum(given: u32, min: u32) -> Result<(), Error> {
    if given >= min {
        return Ok(());
    }
    Err(Error::invalid(format!("{given} is less than {min}")))
}

fn check_positive(is_zero: bool) -> Result<(), Error> {
    if is_zero {
        return Err(Error::invalid("must be greater than zero"));
    }
    Ok(())
}

fn check_length(given: usize, min: usize, max: usize) -> Result<(), Error> {
    if (min..=max).contains(&given) {
        return Ok(());
    }
    Err(Error::invalid(format!(
        "{given} bytes; expected {min} to {max}"
    )))
}

fn check_path(text: &str) -> Result<(), Error> {
    let is_forbidden = |c: char| c.is_whitespace() || c.is_control() || "?#".contains(c);
    let has_valid_end = text == "/" || !text.ends_with('/');
    if text.starts_with('/')
        && has_valid_end
        && !text.contains("//")
        && !text.contains(is_forbidden)
    {
        return Ok(());
    }
    Err(Error::invalid(format!(
        "{text:?} is not a path; it starts with / and doesn't end with one"
    )))
}

fn check_not_empty(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::invalid("must not be empty"));
    }
    Ok(())
}

fn check_url(text: &str) -> Result<(), Error> {
    let rest = text
        .strip_prefix("http://")
        .or(text.strip_prefix("https://"));
    match rest {
        Some(rest) if !rest.is_empty() && !rest.contains(char::is_whitespace) => Ok(()),
        _ => Err(Error::invalid(format!(
            "{text:?} is not an http:// or https:// URL"
        ))),
    }
}
