use std::fmt;
use std::sync::Arc;

use lagoonhill_types::prelude::*;

use super::{Submission, WorkerKey};

/// State of a durable job in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeptState {
    /// Not ended.
    Open,
    /// Every task succeeded.
    Complete,
    /// A task failed as often as its queue allows.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl fmt::Display for KeptState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Open => "open",
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}

/// Stored progress of a durable job. Ends that are not stored here count as not
/// having happened; their tasks may run again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Tasks that have succeeded.
    pub done: Vec<TaskIndex>,
    /// Tasks that have failed, with the number of failures.
    pub failed: Vec<(TaskIndex, u16)>,
}

/// Stored record of a durable job, from which another entry can take it over.
#[derive(Clone, Debug)]
pub struct KeptJob {
    /// Submission of the caller.
    pub submission: Arc<Submission>,
    /// Progress at the time of storing.
    pub progress: Progress,
    /// Number of owners so far, including the present one.
    pub epoch: u32,
}

/// Request to store something about a durable job. At most one request for a
/// job is in flight.
#[derive(Clone, Debug)]
pub enum KeepOrder {
    /// Store a new job, unless the store has a job of its name.
    Accept(KeptJob),
    /// Store the job's progress, if this entry still owns it.
    Save(KeptJob),
    /// Store the job's final state, if this entry still owns it.
    Finish(KeptState),
}

/// Outcome of a request to store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stored {
    /// Stored.
    Done,
    /// Nothing was stored, because a job of this name exists, has another
    /// owner or has ended.
    Taken(KeptState),
    /// Nothing was stored, because the store refused the request.
    Refused,
    /// The outcome is unknown: it may have been stored, or may still be.
    Unknown,
}

/// Kind of the request about a job that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnderWay {
    /// No request is in flight.
    Nothing,
    /// The new job or its progress.
    Progress,
    /// The final state.
    End,
}

/// State of a durable job at its owner.
#[derive(Debug)]
pub struct Keeping {
    /// Submission of the caller.
    pub submission: Arc<Submission>,
    /// Number of owners so far, including this one.
    pub epoch: u32,
    /// Whether the job has been stored.
    pub accepted: bool,
    /// Request that is in flight.
    pub under_way: UnderWay,
    /// Whether there is progress that no request covers.
    pub dirty: bool,
    /// Final state, once it is decided.
    pub ending: Option<KeptState>,
    /// Ends that are not stored yet, with the worker that reported each.
    pub unnoted: Vec<(TaskId, WorkerKey)>,
    /// Ends that the request in flight covers.
    pub noting: Vec<(TaskId, WorkerKey)>,
}

impl Keeping {
    /// Creates the state of a job that is to be stored, or already is (`accepted`).
    pub fn new(submission: Arc<Submission>, epoch: u32, accepted: bool) -> Self {
        Self {
            submission,
            epoch,
            accepted,
            under_way: UnderWay::Nothing,
            dirty: false,
            ending: None,
            unnoted: Vec::new(),
            noting: Vec::new(),
        }
    }
}
