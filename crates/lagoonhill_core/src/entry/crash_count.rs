//! How many workers have crashed under a task.

use std::fmt;

use super::CrashEvidence;

/// Crashes under runs that were seen until then after which a task is given up if one of
/// them shows that it is the cause.
const CONVICTING_CRASHES: u16 = 2;

/// Crashes under runs that were seen until then after which a task is given up in any case.
const MAX_SEEN: u16 = 3;

/// The same under runs whose start was confirmed. One more than [`MAX_SEEN`]: a run of a
/// sound task that is short may well have ended while it was not seen.
const MAX_CONFIRMED: u16 = 4;

/// Crashes of workers under one task, over all of its owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashCount {
    /// Crashes while a run was at work.
    pub at_work: u16,
    /// Crashes while a run was near its end.
    pub near_end: u16,
    /// Crashes after which a run may have ended before.
    pub may_have_ended: u16,
    /// Crashes before the start of a run was confirmed.
    pub at_start: u16,
}

impl CrashCount {
    /// Crashes after which a task is given up, including those that are weak evidence, and
    /// losses that were not resolved in time.
    pub const MAX_TOTAL: u16 = 5;

    /// Whether no worker has crashed under the task.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    /// Number of crashes of any kind.
    pub fn total(self) -> u16 {
        self.confirmed().saturating_add(self.at_start)
    }

    /// Number of crashes under runs that were seen until then.
    pub fn seen(self) -> u16 {
        self.at_work.saturating_add(self.near_end)
    }

    /// Number of crashes under runs whose start was confirmed.
    fn confirmed(self) -> u16 {
        self.seen().saturating_add(self.may_have_ended)
    }

    /// Adds a crash.
    pub fn add(&mut self, evidence: CrashEvidence) {
        let count = match evidence {
            CrashEvidence::AtWork(_) => &mut self.at_work,
            CrashEvidence::NearEnd(_) => &mut self.near_end,
            CrashEvidence::MayHaveEnded => &mut self.may_have_ended,
            CrashEvidence::AtStart => &mut self.at_start,
        };
        *count = count.saturating_add(1);
    }

    /// Whether the task is to be given up. `is_cause`: a crash shows that it is the cause.
    /// `have_similar_ages`: of the runs that were seen. A run of a sound task may end in the
    /// last moment before a crash, but hardly twice, and then at the end of its run time.
    pub fn convicts(self, is_cause: bool, have_similar_ages: bool) -> bool {
        let were_at_work = self.at_work >= CONVICTING_CRASHES
            || self.seen() >= CONVICTING_CRASHES && have_similar_ages;
        were_at_work && is_cause
            || self.seen() >= MAX_SEEN
            || self.confirmed() >= MAX_CONFIRMED
            || self.total() >= Self::MAX_TOTAL
    }
}

impl fmt::Display for CrashCount {
    /// Writes the fields of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at_work={} at_start={}", self.at_work, self.at_start)?;
        if self.near_end > 0 {
            write!(f, " near_end={}", self.near_end)?;
        }
        match self.may_have_ended {
            0 => Ok(()),
            count => write!(f, " may_have_ended={count}"),
        }
    }
}
