//! How many workers have crashed under a task.

use std::fmt;

/// Crashes after which a task is given up if one of them shows that it is the cause.
const CONVICTING_CRASHES: u16 = 2;

/// Crashes after which a task is given up in any case.
const MAX_CRASHES: u16 = 3;

/// What a crash of a worker shows of a run that it held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The run was at work.
    AtWork {
        /// Whether it is the likely cause: it had just started, beside no other suspect.
        is_cause: bool,
    },
    /// The start of the run was not confirmed, so it may not have reached its target. Or
    /// an agent of an earlier release does not tell a crash from refused connections.
    AtStart,
}

/// Crashes of workers under one task, over all of its owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashCount {
    /// Crashes while a run was at work.
    pub at_work: u16,
    /// Crashes before the start of a run was confirmed: weak evidence.
    pub at_start: u16,
}

impl CrashCount {
    /// Crashes after which a task is given up, including those that are weak evidence.
    pub const MAX_TOTAL: u16 = 5;

    /// Whether no worker has crashed under the task.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    /// Number of crashes of any kind.
    pub fn total(self) -> u16 {
        self.at_work.saturating_add(self.at_start)
    }

    /// Adds a crash.
    pub fn add(&mut self, evidence: CrashEvidence) {
        let count = match evidence {
            CrashEvidence::AtWork { .. } => &mut self.at_work,
            CrashEvidence::AtStart => &mut self.at_start,
        };
        *count = count.saturating_add(1);
    }

    /// Whether the task is to be given up. `is_cause`: a crash shows that it is the cause.
    pub fn convicts(self, is_cause: bool) -> bool {
        self.at_work >= CONVICTING_CRASHES && is_cause || self.is_exhausted()
    }

    /// Whether the task may not start again, whatever its crashes show.
    fn is_exhausted(self) -> bool {
        self.at_work >= MAX_CRASHES || self.total() >= Self::MAX_TOTAL
    }
}

impl fmt::Display for CrashCount {
    /// Writes the fields of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at_work={} at_start={}", self.at_work, self.at_start)
    }
}
