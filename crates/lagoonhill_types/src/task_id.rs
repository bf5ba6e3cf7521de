use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{JobId, ParseIdError};

/// A task's position in its job, from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskIndex(pub u16);

impl fmt::Display for TaskIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Names one task of one job. Prints as `<job>/<index>`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskId {
    /// The job the task belongs to.
    pub job: JobId,
    /// Its position there.
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
