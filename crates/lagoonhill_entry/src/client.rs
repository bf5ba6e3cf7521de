use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use lagoonhill_core::entry::{Answer, KeptState, Submission};
use lagoonhill_platform::StoreUnavailable;
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use log::info;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::control::{CallerReply, ControlEvent, SubmissionKind};
use crate::durable_jobs::DurableJobs;
use crate::first_rules::FirstRules;
use crate::handle::{ControlHandle, Stopped};

/// How a job that is kept stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// No task has been ordered yet.
    Queued,
    /// It is not over.
    Running,
    /// It is over.
    Ended(KeptState),
}

impl fmt::Display for JobStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Queued => f.write_str("queued"),
            Self::Running | Self::Ended(KeptState::Open) => f.write_str("running"),
            Self::Ended(state) => state.fmt(f),
        }
    }
}

/// Time between two looks at whether a cancel has been stored.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long a first kept job waits for this entry to become an owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(800);

/// Submits jobs to an entry of the same process, for front ends that speak
/// another protocol than the entry's own.
#[derive(Clone, Debug)]
pub struct EntryClient {
    control: ControlHandle,
    rules: FirstRules,
    durable_jobs: DurableJobs,
}

impl EntryClient {
    pub(crate) fn new(
        control: ControlHandle,
        rules: FirstRules,
        durable_jobs: DurableJobs,
    ) -> Self {
        Self {
            control,
            rules,
            durable_jobs,
        }
    }

    /// Submits a job that is kept; answered when the platform's store has it.
    /// Dropping the future does not withdraw it.
    pub async fn submit_kept(&self, submission: Submission) -> Result<Answer, Stopped> {
        self.durable_jobs.requests.need_owner();
        let mut is_owner = self.durable_jobs.is_owner.clone();
        // Without the store the submission is refused below.
        let _ = timeout(OWNER_TIMEOUT, is_owner.wait_for(|is_owner| *is_owner)).await;
        match self
            .control
            .submit(SubmissionKind::Kept, submission)
            .await?
        {
            CallerReply::Answer(answer) => Ok(answer),
            CallerReply::Forward(_) => Err(Stopped),
        }
    }

    /// How a kept job stands, through any entry; `None` when there is none.
    pub async fn job_status(
        &self,
        name: RequestKey,
    ) -> Result<Option<JobStatus>, StoreUnavailable> {
        if let Some(job_status) = self.own_job_status(&name).await {
            return Ok(Some(job_status));
        }
        let found = self.durable_jobs.requests.look_up(name).await?;
        Ok(found.map(|state| match state {
            KeptState::Open => JobStatus::Running,
            state => JobStatus::Ended(state),
        }))
    }

    async fn own_job_status(&self, name: &RequestKey) -> Option<JobStatus> {
        let name = name.clone();
        let request = self
            .control
            .request(|reply| ControlEvent::DurableJobStarted { name, reply });
        // An entry that has stopped owns nothing.
        let has_started = request.await.unwrap_or(None)?;
        Some(if has_started {
            JobStatus::Running
        } else {
            JobStatus::Queued
        })
    }

    /// Cancels a kept job, through any entry; answered when the store knows.
    /// `None` when there is no such job.
    pub async fn cancel(&self, name: RequestKey) -> Result<Option<KeptState>, StoreUnavailable> {
        let request = self.control.request(|reply| ControlEvent::CancelDurable {
            name: name.clone(),
            reply,
        });
        if request.await.unwrap_or(false) {
            while self.own_job_status(&name).await.is_some() {
                sleep(CANCEL_POLL_INTERVAL).await;
            }
        }
        // It may have become another's meanwhile; one that is over stays so.
        self.durable_jobs.requests.cancel(name).await
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

    /// Jobs of a queue of which no task has been ordered yet: those here, and
    /// kept ones at other entries.
    pub async fn waiting_jobs(&self, queue: QueueName) -> Result<usize, Stopped> {
        let at_peers = self
            .durable_jobs
            .requests
            .waiting_at_peers(queue.clone())
            .await;
        let at_peers = at_peers.unwrap_or_else(|error| {
            info!("only the jobs that wait here are counted: {error}");
            0
        });
        let request = self
            .control
            .request(|reply| ControlEvent::Waiting { queue, reply });
        Ok(request.await? + at_peers)
    }

    /// The rules in force; marked as changed whenever newer ones are.
    pub fn rules(&self) -> watch::Receiver<Arc<RuleSet>> {
        self.rules.watch()
    }

    /// The rules in force; a new entry without any waits a moment for its
    /// first. `None` if it has none.
    pub async fn first_rules(&self) -> Option<Arc<RuleSet>> {
        self.rules.get().await
    }
}
