//! Durable jobs: the stored record, requests to the store and the owner's state.

use std::fmt;
use std::sync::Arc;

use lagoonhill_types::prelude::*;

use super::{JobTerms, StoreWriteId, Submission, TaskCrashes, WorkerKey};

/// State of a durable job in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DurableJobState {
    /// Not ended.
    Open,
    /// Every task succeeded.
    Complete,
    /// A task failed as often as its queue allows, or crashed its workers.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl fmt::Display for DurableJobState {
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
    /// Tasks under which workers have crashed, or been lost.
    pub crashed: Vec<(TaskIndex, TaskCrashes)>,
}

/// Stored record of a durable job, from which another entry can take it over.
#[derive(Clone, Debug)]
pub struct DurableJob {
    /// Submission of the caller.
    pub submission: Arc<Submission>,
    /// Terms of its acceptance; `None` in records of earlier releases.
    pub terms: Option<JobTerms>,
    /// Progress at the time of storing.
    pub progress: Progress,
    /// Number of owners so far, including the present one.
    pub epoch: u32,
}

/// Request to store something about a durable job, one at a time for each job.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    /// Store a new job, unless the store has a job of its name.
    Accept(DurableJob),
    /// Store the job's progress, if this entry still owns it.
    Save(DurableJob),
    /// Store the job's final state, if this entry still owns it.
    Finish(DurableJobState),
}

/// Outcome of a request to store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// Stored.
    Done,
    /// Nothing was stored: the name is taken, or the job has another owner or ended.
    OwnedElsewhere(DurableJobState),
    /// Nothing was stored, because the store refused the request.
    Rejected,
    /// The outcome is unknown: it may have been stored, or may still be.
    Unknown,
}

/// The request about a job that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingWrite {
    /// Identifies the request.
    pub id: StoreWriteId,
    /// Whether it stores the final state, rather than the new job or its progress.
    pub is_end: bool,
}

/// State of a durable job at its owner.
#[derive(Debug)]
pub struct DurableState {
    /// Submission of the caller.
    pub submission: Arc<Submission>,
    /// Terms of its acceptance. `None` until the rules have its queue again, if it was
    /// taken over from an earlier release while they had not.
    pub terms: Option<JobTerms>,
    /// Number of owners so far, including this one.
    pub epoch: u32,
    /// Whether the job has been stored.
    pub is_stored: bool,
    /// Request that is in flight, if any.
    pub pending_write: Option<PendingWrite>,
    /// Whether there is progress that no request covers.
    pub dirty: bool,
    /// Final state, once it is decided.
    pub final_state: Option<DurableJobState>,
    /// Ends that are not stored yet, with the worker that reported each.
    pub unstored_ends: Vec<(TaskId, WorkerKey)>,
    /// Ends that the request in flight covers.
    pub pending_ends: Vec<(TaskId, WorkerKey)>,
}

impl DurableState {
    /// Creates the state of a job that is to be stored, or already is (`is_stored`).
    pub fn new(
        submission: Arc<Submission>,
        terms: Option<JobTerms>,
        epoch: u32,
        is_stored: bool,
    ) -> Self {
        Self {
            submission,
            terms,
            epoch,
            is_stored,
            pending_write: None,
            dirty: false,
            final_state: None,
            unstored_ends: Vec::new(),
            pending_ends: Vec::new(),
        }
    }
}
