use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use lagoonhill_types::prelude::*;

/// Names one waiting request within an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// What a job asks of a worker beyond its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Needs {
    /// Memory for one task.
    pub memory_bytes: ByteCount,
    /// Accelerators.
    pub accelerators: u16,
}

impl Needs {
    /// The stricter of two.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl fmt::Display for Needs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "memory {}, accelerators {}",
            self.memory_bytes, self.accelerators
        )
    }
}

/// A job as a caller submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The service wanted.
    pub service: ServiceName,
    /// The team that pays.
    pub team: TeamName,
    /// Deadline of the answer, if not the service's.
    pub deadline_ms: Option<DurationMs>,
    /// Declared run time of a task, if any.
    pub run_time_ms: Option<DurationMs>,
    /// Needs beyond the service's.
    pub needs: Needs,
    /// One input a task.
    pub tasks: Vec<Payload>,
}

impl Submission {
    /// Tells two different requests under one key apart.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.service.hash(&mut hasher);
        self.team.hash(&mut hasher);
        for task in &self.tasks {
            task.as_slice().hash(&mut hasher);
        }
        hasher.finish()
    }
}
