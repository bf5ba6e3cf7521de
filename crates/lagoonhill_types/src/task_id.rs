use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{JobId, ParseIdError};

/// Position of a task in its job, from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskIndex(pub u16);

impl fmt::Display for TaskIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies a task of a job. Displayed as `<job>/<index>`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Position of the task in the job.
    pub index: TaskIndex,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError {
            kind: "task id",
            text: text.to_owned(),
        };
        let (job, index) = text.split_once('/').ok_or_else(error)?;
        Ok(Self {
            job: job.parse().map_err(|_| error())?,
            index: TaskIndex(index.parse().map_err(|_| error())?),
        })
    }
}
