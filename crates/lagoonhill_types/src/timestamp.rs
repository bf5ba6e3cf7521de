use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::DurationMs;

/// A point in time in milliseconds, on the clock of the process that recorded it.
///
/// Timestamps of different processes are not comparable without an estimate of the
/// offset between their clocks.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TimestampMs(pub u64);

impl TimestampMs {
    /// The time elapsed since `earlier`, zero when `earlier` is in the future.
    pub fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl Add<DurationMs> for TimestampMs {
    type Output = Self;

    fn add(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<DurationMs> for TimestampMs {
    type Output = Self;

    fn sub(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl fmt::Display for TimestampMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
