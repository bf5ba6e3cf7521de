use std::fmt;

use serde::{Deserialize, Serialize};

use crate::RequestKey;

/// Counts the runs of one task, from 1. Later runs have larger numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunNumber(pub u32);

/// Runs that one owner of a kept job may order of a task; each further owner's
/// are numbered from the next such number on, and no other run gets so far.
const RUNS_OF_AN_OWNER: u32 = 1_000;

impl RunNumber {
    /// The number before the first run under a kept job's owner, counted from
    /// 1.
    pub fn before_owner(epoch: u32) -> Self {
        Self(epoch.saturating_mul(RUNS_OF_AN_OWNER))
    }

    /// Whether it numbers a run of a kept job's task.
    pub fn is_of_kept_job(self) -> bool {
        self.0 > RUNS_OF_AN_OWNER
    }

    /// The number after this one.
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

/// A task as its caller knows it, the same through whichever entry it comes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskName {
    /// The caller's name of the job.
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
