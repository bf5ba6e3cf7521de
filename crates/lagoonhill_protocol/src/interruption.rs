//! Why a run was interrupted, as far as entries act on it.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use lagoonhill_types::prelude::*;

use crate::{HeldRun, TargetLoss};

/// Why a run has ended without a result. Sent as text in
/// [`TaskResult::Interrupted`](crate::TaskResult::Interrupted): earlier releases show
/// it, and their reasons are read as [`Self::Other`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The target was lost under the run. Only sent to entries that have announced
    /// [`Feature::TargetLosses`](crate::Feature::TargetLosses).
    TargetLost(TargetLoss),
    /// As agents report to entries of earlier releases, and those of earlier releases to
    /// all: the target crashed, or refused connections, while the run was at work.
    TargetCrashed {
        /// How much later the last run started that was at work there.
        before_last_start_ms: DurationMs,
    },
    /// As [`Self::TargetCrashed`], before the target had confirmed the start of the run.
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
            Self::TargetLost(loss) => loss.fmt(f),
            Self::TargetCrashed {
                before_last_start_ms,
            } => write!(f, "{TARGET_CRASHED}{before_last_start_ms}"),
            Self::TargetCrashedAtStart => f.write_str(TARGET_CRASHED_AT_START),
            Self::Other(why) => f.write_str(why),
        }
    }
}

impl Interruption {
    /// The interruption in the form that entries of earlier releases act on.
    #[must_use]
    pub fn for_earlier_release(self) -> Self {
        let Self::TargetLost(loss) = self else {
            return self;
        };
        match loss.held {
            HeldRun::Confirmed {
                before_last_start_ms,
                ..
            } => Self::TargetCrashed {
                before_last_start_ms,
            },
            HeldRun::Unconfirmed => Self::TargetCrashedAtStart,
        }
    }
}

impl FromStr for Interruption {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        if let Ok(loss) = text.parse() {
            return Ok(Self::TargetLost(loss));
        }
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
