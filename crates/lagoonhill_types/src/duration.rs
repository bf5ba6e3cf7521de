use std::fmt;
use std::iter::Sum;
use std::ops::{Add, Div, Mul};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A span of time in milliseconds.
///
/// Parsed and displayed with a unit: `250ms`, `12s`, `5m`, `1h`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DurationMs(pub u64);

impl DurationMs {
    /// The zero duration.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Seconds, for metrics.
    pub fn as_secs_f64(self) -> f64 {
        Duration::from(self).as_secs_f64()
    }

    /// Whole seconds, rounded up, for HTTP's `Retry-After`.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000)
    }
}

impl From<DurationMs> for Duration {
    fn from(duration: DurationMs) -> Self {
        Self::from_millis(duration.0)
    }
}

impl Add for DurationMs {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Mul<u64> for DurationMs {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Div<u64> for DurationMs {
    type Output = Self;

    fn div(self, divisor: u64) -> Self {
        Self(self.0 / divisor.max(1))
    }
}

impl Sum for DurationMs {
    fn sum<I: Iterator<Item = Self>>(durations: I) -> Self {
        durations.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const UNITS: [(u64, &str); 3] = [(3_600_000, "h"), (60_000, "m"), (1_000, "s")];
        let unit = UNITS
            .iter()
            .find(|(size_ms, _)| self.0 > 0 && self.0.is_multiple_of(*size_ms));
        match unit {
            Some((size_ms, name)) => write!(f, "{}{name}", self.0 / size_ms),
            None => write!(f, "{}ms", self.0),
        }
    }
}

/// A text that is not a valid duration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a duration: write a whole number with a unit, such as 250ms, 12s, 5m or 1h")]
pub struct ParseDurationError(pub String);

impl FromStr for DurationMs {
    type Err = ParseDurationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseDurationError(text.to_owned());
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| error())?;
        let unit_ms = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(error()),
        };
        number.checked_mul(unit_ms).map(Self).ok_or_else(error)
    }
}
