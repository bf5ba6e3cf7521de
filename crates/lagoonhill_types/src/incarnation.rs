use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{ParseIdError, TimestampMs};

/// Identifies one run of a process. A restarted process has a larger one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Low bits that tell apart processes started in the same millisecond.
    pub(crate) const RANDOM_BITS: u32 = 20;

    /// When the process started, by its own clock.
    pub fn started_ms(self) -> TimestampMs {
        TimestampMs(self.0 >> Self::RANDOM_BITS)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError {
                kind: "incarnation",
                text: text.to_owned(),
            })
    }
}
