//! How many workers have crashed under a task, and what follows from it.

use std::fmt;

use lagoonhill_protocol::Interruption;
use lagoonhill_types::prelude::*;

/// Crashes after which a task is given up if the last one shows that it is the cause.
const CONVICTING_CRASHES: u16 = 2;

/// Crashes after which a task is given up in any case.
const MAX_CRASHES: u16 = 3;

/// Crashes after which a task is given up, including those at an unconfirmed start.
const MAX_CRASHES_WITH_UNCONFIRMED: u16 = 5;

/// A run that started this long before the last one at its worker, or less, may have
/// crashed it soon after its start.
const RECENT_START_MS: DurationMs = DurationMs(50);

/// Crashes of workers under one task, over all of its owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashCount {
    /// Crashes while a run was at work.
    pub at_work: u16,
    /// Crashes before the start of a run was confirmed. The run may not have reached its
    /// target, so these are weak evidence.
    pub at_start: u16,
}

/// What the crashes under a task show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be the cause: it runs next beside no other suspect.
    Suspected,
    /// It is the cause, or can't be told from it within the permitted crashes.
    Convicted,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Suspected => "suspected",
            Self::Convicted => "convicted",
        })
    }
}

impl CrashCount {
    /// Whether any worker has crashed under the task.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    /// Adds a crash, if `interruption` is one. `is_isolated`: no other suspect of this
    /// entry was at the worker.
    pub fn add(&mut self, interruption: &Interruption, is_isolated: bool) -> Option<Verdict> {
        let is_recent = match interruption {
            Interruption::TargetCrashed {
                before_last_start_ms,
            } => {
                self.at_work = self.at_work.saturating_add(1);
                *before_last_start_ms <= RECENT_START_MS
            }
            Interruption::TargetCrashedAtStart => {
                self.at_start = self.at_start.saturating_add(1);
                false
            }
            Interruption::Other(_) => return None,
        };
        let is_shown = self.at_work >= CONVICTING_CRASHES && is_recent && is_isolated;
        Some(if is_shown || self.is_exhausted() {
            Verdict::Convicted
        } else {
            Verdict::Suspected
        })
    }

    /// Whether the task may not start again, whatever its crashes show.
    fn is_exhausted(self) -> bool {
        self.at_work >= MAX_CRASHES
            || self.at_work.saturating_add(self.at_start) >= MAX_CRASHES_WITH_UNCONFIRMED
    }
}

impl fmt::Display for CrashCount {
    /// Writes the fields of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at_work={} at_start={}", self.at_work, self.at_start)
    }
}
