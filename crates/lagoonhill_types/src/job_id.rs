use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// A text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a {kind}: copy it unchanged from the answer that named it")]
pub struct ParseIdError {
    /// Kind of identifier expected.
    pub kind: &'static str,
    /// The invalid text.
    pub text: String,
}

/// Identifies a job by the entry incarnation that accepted it and its number there.
///
/// Displayed as `<incarnation>-<number>`, both hexadecimal.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobId {
    /// The entry incarnation that owns the job.
    pub entry: Incarnation,
    /// Counts up from 1 within the incarnation.
    pub number: u64,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.entry, self.number)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError {
            kind: "job id",
            text: text.to_owned(),
        };
        let (entry, number) = text.split_once('-').ok_or_else(error)?;
        Ok(Self {
            entry: entry.parse().map_err(|_| error())?,
            number: u64::from_str_radix(number, 16).map_err(|_| error())?,
        })
    }
}
