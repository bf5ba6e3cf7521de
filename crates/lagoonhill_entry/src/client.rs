use std::sync::Arc;

use lagoonhill_core::entry::{Answer, Submission};
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use tokio::sync::watch;

use crate::control::{CallerReply, ControlEvent, SubmissionKind};
use crate::handle::{ControlHandle, Stopped};

/// Submits jobs to an entry of the same process, for front ends that speak
/// another protocol than the entry's own.
#[derive(Clone, Debug)]
pub struct EntryClient {
    control: ControlHandle,
    rules: watch::Receiver<Arc<RuleSet>>,
}

impl EntryClient {
    pub(crate) fn new(control: ControlHandle, rules: watch::Receiver<Arc<RuleSet>>) -> Self {
        Self { control, rules }
    }

    /// Submits a job and waits for its answer. Dropping the future withdraws
    /// the job.
    pub async fn submit(&self, submission: Submission) -> Result<Answer, Stopped> {
        // The caller's name makes a repeated submission one job here.
        let kind = match &submission.order {
            Some(order) => SubmissionKind::Key {
                key: order.name.clone(),
                bound_here: true,
            },
            None => SubmissionKind::Plain,
        };
        match self.control.submit(kind, submission).await? {
            CallerReply::Answer(answer) => Ok(answer),
            CallerReply::Forward(_) => Err(Stopped),
        }
    }

    /// Jobs of a queue of which no task has been ordered yet.
    pub async fn waiting_jobs(&self, queue: QueueName) -> Result<usize, Stopped> {
        self.control
            .ask(|reply| ControlEvent::Waiting { queue, reply })
            .await
    }

    /// The rules in force; marked as changed whenever newer ones are.
    pub fn rules(&self) -> watch::Receiver<Arc<RuleSet>> {
        self.rules.clone()
    }
}
