use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseIdError;

/// Identifies one run of a process. A restarted process has a larger one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

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
