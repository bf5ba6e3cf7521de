use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{EntryAddress, Outcome, Start, Target};

/// Rule lines handed to a peer that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesUpdate {
    /// The revision the update applies to; 0 replaces everything.
    pub from: Revision,
    /// The revision it leads to.
    pub to: Revision,
    /// Lines to set, as text.
    pub set: Vec<String>,
    /// Keys of lines to remove, as `kind subject`.
    pub removed: Vec<String>,
}

/// A reliable message of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to agent: run this task.
    Start(Start),
    /// Agent to entry: what became of a task.
    Outcome(Outcome),
    /// Entry to agent: drop the job's waiting tasks, stop its running ones.
    CancelJob(JobId),
    /// Entry to agent: withdraw this task, or stop it; its outcome follows.
    Recall(TaskId),
    /// Entry to agent: the ends of these tasks are stored.
    Noted(Vec<TaskId>),
    /// Entry to agent: the ends of these tasks will never be stored.
    Forgone(Vec<TaskId>),
    /// Agent to entry: the target announced itself anew, or is gone.
    Target(Option<Target>),
    /// Agent to entry: no new work, please.
    Leaving,
    /// Either way: newer rules.
    Rules(RulesUpdate),
    /// Entry to agent: entries that have appeared.
    Entries(Vec<EntryAddress>),
}
