//! Why a run was interrupted, as far as entries act on it.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use lagoonhill_types::prelude::*;

/// Why a run has ended without a result. Sent as text in
/// [`TaskResult::Interrupted`](crate::TaskResult::Interrupted): earlier releases show
/// it, and their reasons are read as [`Self::Other`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The target crashed while the run was at work.
    TargetCrashed {
        /// How much later the last run started that was at work there.
        before_last_start_ms: DurationMs,
    },
    /// The target crashed before it had confirmed the start of the run.
    TargetCrashedAtStart,
    /// Any other reason; none of them is held against the task.
    Other(String),
}

const TARGET_CRASHED: &str =
    "the target crashed while it was at work; started before the last run there by ";
const TARGET_CRASHED_AT_START: &str = "the target crashed when it was to start";

impl fmt::Display for Interruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TargetCrashed {
                before_last_start_ms,
            } => write!(f, "{TARGET_CRASHED}{before_last_start_ms}"),
            Self::TargetCrashedAtStart => f.write_str(TARGET_CRASHED_AT_START),
            Self::Other(why) => f.write_str(why),
        }
    }
}

impl FromStr for Interruption {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        let crashed = text.strip_prefix(TARGET_CRASHED);
        if let Some(Ok(before_last_start_ms)) = crashed.map(str::parse) {
            return Ok(Self::TargetCrashed {
                before_last_start_ms,
            });
        }
        Ok(match text {
            TARGET_CRASHED_AT_START => Self::TargetCrashedAtStart,
            other => Self::Other(other.to_owned()),
        })
    }
}

impl From<&str> for Interruption {
    fn from(text: &str) -> Self {
        match text.parse() {
            Ok(interruption) => interruption,
            Err(never) => match never {},
        }
    }
}
