//! A refusal, with what was weighed.

use super::{JobFailure, Weighed};

/// A submission that was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The caller's answer.
    pub failure: JobFailure,
    /// What was weighed, if it was refused for lack of room.
    pub weighed: Option<Box<Weighed>>,
}

impl From<JobFailure> for Refusal {
    fn from(failure: JobFailure) -> Self {
        Self {
            failure,
            weighed: None,
        }
    }
}
