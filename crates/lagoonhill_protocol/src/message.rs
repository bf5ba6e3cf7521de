//! Messages that a session delivers reliably and in order.

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{EntryAddress, Outcome, Start, Target};

/// Rule changes for a peer whose revision is older.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesUpdate {
    /// The revision to which the update applies; 0 replaces all lines.
    pub from: Revision,
    /// The revision after the update.
    pub to: Revision,
    /// Lines to add or replace, as text.
    pub set: Vec<String>,
    /// Keys of lines to remove, as `kind subject`.
    pub removed: Vec<String>,
}

/// A reliable message of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to agent: run a task.
    Start(Start),
    /// Agent to entry: the outcome of a task.
    Outcome(Outcome),
    /// Entry to agent: drop waiting tasks of the job and stop running ones.
    CancelJob(JobId),
    /// Entry to agent: return the task unstarted, or stop it if it runs. Its
    /// outcome follows.
    Recall(TaskId),
    /// Entry to agent: the ends of these tasks are stored.
    Noted(Vec<TaskId>),
    /// Entry to agent: the ends of these tasks are discarded and will never be
    /// stored.
    Forgone(Vec<TaskId>),
    /// Agent to entry: the target has changed, or (`None`) is gone.
    Target(Option<Target>),
    /// Agent to entry: the agent is shutting down and takes no new work.
    Leaving,
    /// Both directions: newer rules.
    Rules(RulesUpdate),
    /// Entry to agent: newly discovered entries.
    Entries(Vec<EntryAddress>),
}
