use std::fmt;

use serde::{Deserialize, Serialize};

use crate::RequestKey;

/// Number of a run of one task, from 1. Later runs have larger numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunNumber(pub u32);

/// Run numbers reserved for each owner epoch of a durable job. Runs of jobs that are
/// not durable never reach this number.
const RUNS_PER_EPOCH: u32 = 1_000;

impl RunNumber {
    /// The number before the first run of a durable job in an owner epoch. Epochs
    /// count from 1.
    pub fn before_owner(epoch: u32) -> Self {
        Self(epoch.saturating_mul(RUNS_PER_EPOCH))
    }

    /// Whether this is a run of a durable job.
    pub fn is_of_kept_job(self) -> bool {
        self.0 > RUNS_PER_EPOCH
    }

    /// The next run number.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Name of a task from its caller's view, independent of the entry that accepts it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskName {
    /// The caller's idempotency key of the job.
    pub job: RequestKey,
    /// Position of the step in the job, from 0.
    pub step: u16,
    /// Position of the task in the step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.step, self.index)
    }
}
