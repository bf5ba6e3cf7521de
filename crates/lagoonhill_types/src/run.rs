use std::fmt;

use serde::{Deserialize, Serialize};

use crate::RequestKey;

/// Counts the runs of one task, from 1. Later runs have larger numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunNumber(pub u32);

impl RunNumber {
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
