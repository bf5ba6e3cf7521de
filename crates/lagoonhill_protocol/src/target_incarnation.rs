use std::fmt;
use std::str::FromStr;

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Name of the incarnation.
    pub name: WorkerId,
    /// Start time on the target's wall clock, or 0 if unknown.
    pub born_ms: u64,
}

impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.born_ms)
    }
}

/// The text of an incarnation is not of the form `NAME@BORN_MS`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` names no incarnation: write its name, `@` and its start time in ms")]
pub struct ParseTargetIncarnationError(String);

impl FromStr for TargetIncarnation {
    type Err = ParseTargetIncarnationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (name, born_ms) = text.rsplit_once('@')?;
            Some(Self {
                name: name.parse().ok()?,
                born_ms: born_ms.parse().ok()?,
            })
        };
        parse().ok_or_else(|| ParseTargetIncarnationError(text.to_owned()))
    }
}
