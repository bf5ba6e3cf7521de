use std::fmt;
use std::sync::Arc;

use lagoonhill_types::prelude::*;

use super::{Submission, WorkerKey};

/// What becomes of a job that is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeptState {
    /// It is not over.
    Open,
    /// Every task ended well.
    Complete,
    /// A task failed as often as its queue allows.
    Failed,
    /// It was cancelled.
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

/// How far a kept job has come; what is not here has not happened yet, and may
/// happen again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Tasks that have ended well.
    pub done: Vec<TaskIndex>,
    /// Tasks that have failed, and how often.
    pub failed: Vec<(TaskIndex, u16)>,
}

/// A kept job as it is stored: enough for another entry to go on with it.
#[derive(Clone, Debug)]
pub struct KeptJob {
    /// What its caller submitted.
    pub submission: Arc<Submission>,
    /// How far it has come.
    pub progress: Progress,
    /// Counts its owners.
    pub epoch: u32,
}

/// What is to be stored about a kept job. At most one order about a job is
/// under way.
#[derive(Clone, Debug)]
pub enum KeepOrder {
    /// Store it, unless a job of its name is known.
    Accept(KeptJob),
    /// Store its progress, if it is still ours.
    Save(KeptJob),
    /// Store its end, if it is still ours.
    Finish(KeptState),
}

/// What became of an order to store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stored {
    /// It was done.
    Done,
    /// A job of this name exists, is another's, or is over. Nothing was stored.
    Taken(KeptState),
    /// The store refused; nothing was stored.
    Refused,
    /// It may have been done, or may yet.
    Unknown,
}

/// What is being stored about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnderWay {
    /// Nothing.
    Nothing,
    /// The job, or how far it has come.
    Progress,
    /// Its end.
    End,
}

/// A kept job's standing at its owner.
#[derive(Debug)]
pub struct Keeping {
    /// What its caller submitted.
    pub submission: Arc<Submission>,
    /// Counts its owners.
    pub epoch: u32,
    /// Whether the store has it.
    pub accepted: bool,
    /// What is being stored.
    pub under_way: UnderWay,
    /// Whether there is progress that no order covers.
    pub dirty: bool,
    /// How it ends, once that is decided.
    pub ending: Option<KeptState>,
    /// Ends that wait for an order, with the worker that reported each.
    pub unnoted: Vec<(TaskId, WorkerKey)>,
    /// Ends that the order under way covers.
    pub noting: Vec<(TaskId, WorkerKey)>,
}

impl Keeping {
    /// A job that is to be stored, or (`accepted`) is.
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
