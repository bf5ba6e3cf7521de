use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A text that is not a valid size, count or rate.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a {kind}: write {example}")]
pub struct ParseSizeError {
    kind: &'static str,
    text: String,
    example: &'static str,
}

/// Number of tasks that a target runs concurrently.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotCount(pub u16);

impl fmt::Display for SlotCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for SlotCount {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: Option<u16> = text.parse().ok().filter(|slots| *slots > 0);
        number.map(Self).ok_or_else(|| ParseSizeError {
            kind: "slot count",
            text: text.to_owned(),
            example: "a whole number from 1 to 65535, such as 8",
        })
    }
}

/// A size in bytes. Parsed and displayed as `512B`, `64KiB`, `4MiB`, `2GiB`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ByteCount(pub u64);

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= GIB && n.is_multiple_of(GIB) => write!(f, "{}GiB", n / GIB),
            n if n >= MIB && n.is_multiple_of(MIB) => write!(f, "{}MiB", n / MIB),
            n if n >= KIB && n.is_multiple_of(KIB) => write!(f, "{}KiB", n / KIB),
            n => write!(f, "{n}B"),
        }
    }
}

impl FromStr for ByteCount {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseSizeError {
            kind: "size",
            text: text.to_owned(),
            example: "a whole number with a unit, such as 512B, 64KiB or 4MiB",
        };
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let factor = match unit {
            "B" => 1,
            "KiB" => KIB,
            "MiB" => MIB,
            "GiB" => GIB,
            _ => return Err(error()),
        };
        let number: u64 = number.parse().map_err(|_| error())?;
        number.checked_mul(factor).map(Self).ok_or_else(error)
    }
}

/// A rate of events. Parsed and displayed as `500/s`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PerSecond(pub u32);

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text
            .strip_suffix("/s")
            .and_then(|number| number.parse().ok());
        number.map(Self).ok_or_else(|| ParseSizeError {
            kind: "rate",
            text: text.to_owned(),
            example: "a whole number a second, such as 500/s",
        })
    }
}
