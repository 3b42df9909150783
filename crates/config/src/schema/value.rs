//! Kinds of value and their checks.

use std::fmt;
use std::net::SocketAddr;

use crate::document::Kind;
use crate::{Error, unit};

/// A kind of value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueType {
    /// IP address and port.
    Address,
    /// IP addresses and ports, split by commas.
    Addresses,
    /// A count, or a percentage.
    CountOrPercent,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// A whole number of at least this much.
    Count(u32),
    /// A duration above zero, with a unit.
    Duration,
    /// Bytes in hexadecimal digits.
    Hex {
        /// Fewest bytes.
        least: usize,
        /// Most bytes.
        most: usize,
    },
    /// A name: lower-case letters, digits, dots and hyphens.
    Name,
    /// A path of a URL.
    Path,
    /// The name of a declared entry of this kind.
    Reference(Kind),
    /// A size in bytes above zero, with a unit.
    Size,
    /// Any text that isn't empty.
    Text,
    /// An HTTP URL.
    Url,
    /// HTTP URLs, split by commas.
    Urls,
}

impl ValueType {
    /// Checks that `text` is such a value.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the text.
    pub fn check(self, text: &str) -> Result<(), Error> {
        match self {
            Self::Address => address(text).map(drop),
            Self::Addresses => list(text).try_for_each(|item| address(item).map(drop)),
            Self::CountOrPercent => unit::count_or_percent(text).map(drop),
            Self::Choice(words) => choice(text, words),
            Self::Count(least) => at_least(unit::count(text)?, least),
            Self::Duration => positive(unit::duration(text)?.is_zero()),
            Self::Hex { least, most } => sized(unit::hex(text)?.len(), least, most),
            Self::Name | Self::Reference(_) => name(text),
            Self::Path => path(text),
            Self::Size => positive(unit::size(text)? == 0),
            Self::Text => filled(text),
            Self::Url => url(text),
            Self::Urls => list(text).try_for_each(url),
        }
    }
}

impl fmt::Display for ValueType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address => f.write_str("IP:PORT"),
            Self::Addresses => f.write_str("IP:PORT, ..."),
            Self::CountOrPercent => f.write_str("count or percent, as 3 or 10%"),
            Self::Choice(words) => f.write_str(&words.join(" or ")),
            Self::Count(least) => write!(f, "whole number, at least {least}"),
            Self::Duration => f.write_str("duration in ms, s, m, h or d"),
            Self::Hex { least, most } if least == most => {
                write!(f, "hexadecimal, {least} bytes")
            }
            Self::Hex { least, most } => {
                write!(f, "hexadecimal, {least} to {most} bytes")
            }
            Self::Name => f.write_str("name"),
            Self::Path => f.write_str("path, as /quotes"),
            Self::Reference(kind) => write!(f, "name of a {kind}"),
            Self::Size => f.write_str("size in B, KB, MB, KiB or MiB"),
            Self::Text => f.write_str("text"),
            Self::Url => f.write_str("URL"),
            Self::Urls => f.write_str("URL, ..."),
        }
    }
}

/// Splits a comma list.
pub(crate) fn list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim)
}

/// Reads an IP address and port.
pub(crate) fn address(text: &str) -> Result<SocketAddr, Error> {
    text.parse().map_err(|_| {
        Error::invalid(format!(
            "{text:?} is not an IP address and port, as 10.0.0.1:80"
        ))
    })
}

/// Checks a name: lower-case letters, digits, dots and hyphens, at most 63 of them.
pub(crate) fn name(text: &str) -> Result<(), Error> {
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || ".-".contains(c);
    let starts = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if starts && text.len() <= 63 && text.chars().all(allowed) {
        return Ok(());
    }
    Err(Error::invalid(format!(
        "{text:?} is not a name; names are up to 63 of a-z, 0-9, dot and hyphen"
    )))
}

fn choice(text: &str, words: &[&str]) -> Result<(), Error> {
    if words.contains(&text) {
        return Ok(());
    }
    Err(Error::invalid(format!(
        "{text:?} is not one of: {}",
        words.join(", ")
    )))
}

fn at_least(given: u32, least: u32) -> Result<(), Error> {
    if given >= least {
        return Ok(());
    }
    Err(Error::invalid(format!("{given} is below {least}")))
}

fn positive(is_zero: bool) -> Result<(), Error> {
    if is_zero {
        return Err(Error::invalid("must be above zero"));
    }
    Ok(())
}

fn sized(given: usize, least: usize, most: usize) -> Result<(), Error> {
    if (least..=most).contains(&given) {
        return Ok(());
    }
    Err(Error::invalid(format!(
        "{given} bytes; must be {least} to {most}"
    )))
}

fn path(text: &str) -> Result<(), Error> {
    let odd = |c: char| c.is_whitespace() || c.is_control() || "?#".contains(c);
    let clean = text == "/" || !text.ends_with('/');
    if text.starts_with('/') && clean && !text.contains("//") && !text.contains(odd) {
        return Ok(());
    }
    Err(Error::invalid(format!(
        "{text:?} is not a path; it starts with / and doesn't end with one"
    )))
}

fn filled(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::invalid("must not be empty"));
    }
    Ok(())
}

fn url(text: &str) -> Result<(), Error> {
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
