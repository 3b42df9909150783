//! Parsing of numbers, values with units, flags and hexadecimal digits.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Error;

const DURATION_UNITS: [(&str, u64); 5] = [
    ("ms", 1),
    ("s", 1_000),
    ("m", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];

const SIZE_UNITS: [(&str, u64); 5] = [
    ("B", 1),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
];

/// A number of hosts, either absolute or as a percentage of a pool.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CountOrPercent {
    /// An absolute number of hosts.
    Count(u32),
    /// A percentage of the pool's hosts, rounded down.
    Percent(u32),
}

impl CountOrPercent {
    /// Returns the number of hosts in a pool of `total` hosts.
    ///
    /// # Example
    ///
    /// ```
    /// use rhubarbrill_config::unit::CountOrPercent;
    ///
    /// assert_eq!(CountOrPercent::Percent(25).resolve(9), 2);
    /// assert_eq!(CountOrPercent::Count(3).resolve(9), 3);
    /// ```
    pub fn resolve(self, total: u32) -> u32 {
        match self {
            Self::Count(count) => count,
            Self::Percent(percent) => {
                let part = u64::from(total) * u64::from(percent) / 100;
                u32::try_from(part).unwrap_or(u32::MAX)
            }
        }
    }
}

/// Parses a whole number.
///
/// # Errors
///
/// Fails if the text isn't an unsigned number of 32 bits.
pub fn count(text: &str) -> Result<u32, Error> {
    text.parse()
        .map_err(|_| Error::invalid(format!("{text:?} is not a whole number")))
}

/// Parses a count, or a percentage from 0% to 100%.
///
/// # Errors
///
/// Fails if the text is neither.
pub fn count_or_percent(text: &str) -> Result<CountOrPercent, Error> {
    let Some(percent) = text.strip_suffix('%') else {
        return count(text).map(CountOrPercent::Count);
    };
    match count(percent)? {
        percent @ 0..=100 => Ok(CountOrPercent::Percent(percent)),
        _ => Err(Error::invalid(format!("{text:?} is above 100%"))),
    }
}

/// Parses a duration: a whole number with `ms`, `s`, `m`, `h` or `d`.
///
/// # Errors
///
/// Fails if the number or unit is missing, the unit is unknown, or the result overflows.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use rhubarbrill_config::unit;
///
/// assert_eq!(unit::duration("500ms"), Ok(Duration::from_millis(500)));
/// assert!(unit::duration("10").is_err());
/// ```
pub fn duration(text: &str) -> Result<Duration, Error> {
    parse_with_unit(text, &DURATION_UNITS).map(Duration::from_millis)
}

/// Parses a size in bytes: a whole number with `B`, `KB`, `MB`, `KiB` or `MiB`.
///
/// # Errors
///
/// Fails if the number or unit is missing, the unit is unknown, or the result overflows.
pub fn size(text: &str) -> Result<u64, Error> {
    parse_with_unit(text, &SIZE_UNITS)
}

/// Parses `yes` or `no`.
///
/// # Errors
///
/// Fails on any other text.
pub fn flag(text: &str) -> Result<bool, Error> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(Error::invalid(format!("{text:?} is neither yes nor no"))),
    }
}

/// Parses bytes written in hexadecimal digits.
///
/// # Errors
///
/// Fails if the text has other characters, or an odd number of digits.
pub fn hex(text: &str) -> Result<Vec<u8>, Error> {
    let invalid = || Error::invalid("not an even number of hexadecimal digits");
    if !text.is_ascii() || text.len() % 2 == 1 {
        return Err(invalid());
    }
    text.as_bytes()
        .chunks(2)
        .map(|pair| {
            let digits = std::str::from_utf8(pair).map_err(|_| invalid())?;
            u8::from_str_radix(digits, 16).map_err(|_| invalid())
        })
        .collect()
}

/// Formats bytes as lower-case hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Result<u64, Error> {
    let digits = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let names: Vec<&str> = units.iter().map(|&(name, _)| name).collect();
    let names = names.join(", ");
    let invalid = |what: &str| Error::invalid(format!("{text:?} {what}; units: {names}"));
    let number: u64 = number.parse().map_err(|_| invalid("has no number"))?;
    let unit = unit.trim();
    let (_, factor) = units
        .iter()
        .find(|&&(name, _)| name == unit)
        .ok_or_else(|| {
            invalid(if unit.is_empty() {
                "has no unit"
            } else {
                "has an unknown unit"
            })
        })?;
    number
        .checked_mul(*factor)
        .ok_or_else(|| invalid("is too large"))
}
