//! In-process access to an entry, durable jobs included.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use lagoonhill_core::entry::{Answer, DurableJobState, Submission};
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
use crate::metrics::Metrics;

/// The status of a durable job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// No task has been dispatched yet.
    Queued,
    /// At least one task was dispatched, or another entry owns the job.
    Running,
    /// It has ended, in this state.
    Over(DurableJobState),
}

impl fmt::Display for JobStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Queued => f.write_str("queued"),
            Self::Running | Self::Over(DurableJobState::Open) => f.write_str("running"),
            Self::Over(state) => state.fmt(f),
        }
    }
}

/// Time between two checks of whether a cancel has been stored.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest wait for a cancel to be stored. The cancel stays in effect after that;
/// its caller is told that it is not confirmed.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the first durable job waits for this entry to become an owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(800);

/// In-process client of an entry, for front ends with another protocol than the
/// entry's own.
#[derive(Clone, Debug)]
pub struct EntryClient {
    control: ControlHandle,
    rules: FirstRules,
    durable_jobs: DurableJobs,
    metrics: Metrics,
}

impl EntryClient {
    pub(crate) fn new(
        control: ControlHandle,
        rules: FirstRules,
        durable_jobs: DurableJobs,
        metrics: Metrics,
    ) -> Self {
        Self {
            control,
            rules,
            durable_jobs,
            metrics,
        }
    }

    /// Submits a durable job; answered once it is in the platform's store.
    /// Dropping the future does not withdraw the job.
    pub async fn submit_durable(&self, submission: Submission) -> Result<Answer, Stopped> {
        self.durable_jobs.requests.need_owner();
        let mut is_owner = self.durable_jobs.is_owner.clone();
        // After a timeout the entry refuses the submission below.
        let _ = timeout(OWNER_TIMEOUT, is_owner.wait_for(|is_owner| *is_owner)).await;
        match self
            .control
            .submit(SubmissionKind::Durable, submission)
            .await?
        {
            CallerReply::Answer(answer) => Ok(answer),
            CallerReply::Forward(_) => Err(Stopped),
        }
    }

    /// The status of a durable job, whichever entry owns it; `None` if there is no
    /// such job. Fails if the store does not answer.
    ///
    /// The store is asked even about a job of this entry, since another entry may
    /// have stored its cancellation a moment ago. Memory only tells whether an open
    /// job has started.
    pub async fn job_status(
        &self,
        name: RequestKey,
    ) -> Result<Option<JobStatus>, StoreUnavailable> {
        let found = self.durable_jobs.requests.look_up(name.clone()).await?;
        Ok(match found {
            Some(DurableJobState::Open) => {
                let own = self.own_job_status(&name).await;
                Some(own.unwrap_or(JobStatus::Running))
            }
            Some(state) => Some(JobStatus::Over(state)),
            None => None,
        })
    }

    async fn own_job_status(&self, name: &RequestKey) -> Option<JobStatus> {
        let name = name.clone();
        let request = self
            .control
            .request(|reply| ControlEvent::DurableJobStarted { name, reply });
        // An entry that has stopped owns no jobs.
        let has_started = request.await.unwrap_or(None)?;
        Some(if has_started {
            JobStatus::Running
        } else {
            JobStatus::Queued
        })
    }

    /// Cancels a durable job, whichever entry owns it; answered once that is stored.
    /// `None` if there is no such job.
    pub async fn cancel(
        &self,
        name: RequestKey,
    ) -> Result<Option<DurableJobState>, StoreUnavailable> {
        let request = self.control.request(|reply| ControlEvent::CancelDurable {
            name: name.clone(),
            reply,
        });
        let cancelled = async {
            if request.await.unwrap_or(false) {
                while self.own_job_status(&name).await.is_some() {
                    sleep(CANCEL_POLL_INTERVAL).await;
                }
            }
            // Another entry may own it by now; the state of an ended job does not
            // change.
            self.durable_jobs.requests.cancel(name.clone()).await
        };
        timeout(CANCEL_TIMEOUT, cancelled)
            .await
            .unwrap_or_else(|_| {
                let why = format!("the cancellation of {name} is not confirmed yet");
                Err(StoreUnavailable(why))
            })
    }

    /// Submits a job and waits for its answer. Dropping the future withdraws
    /// the job.
    pub async fn submit(&self, submission: Submission) -> Result<Answer, Stopped> {
        let kind = match &submission.queued {
            Some(_) => SubmissionKind::Named,
            None => SubmissionKind::Plain,
        };
        match self.control.submit(kind, submission).await? {
            CallerReply::Answer(answer) => Ok(answer),
            CallerReply::Forward(_) => Err(Stopped),
        }
    }

    /// Jobs of a queue of which no task has been dispatched yet: all jobs here, and
    /// the durable ones at other entries.
    pub async fn waiting_jobs(&self, queue: QueueName) -> Result<usize, Stopped> {
        let at_peers = self
            .durable_jobs
            .requests
            .waiting_at_peers(queue.clone())
            .await;
        let at_peers = at_peers.unwrap_or_else(|error| {
            info!("waiting jobs at other entries are unknown, counting only those here: {error}");
            0
        });
        let request = self
            .control
            .request(|reply| ControlEvent::Waiting { queue, reply });
        Ok(request.await?.saturating_add(at_peers))
    }

    /// The rules in force; the receiver is notified of each newer revision.
    pub fn rules(&self) -> watch::Receiver<Arc<RuleSet>> {
        self.rules.watch()
    }

    /// The rules in force. Soon after the start, waits up to `limit_ms` for the first
    /// ones; `None` if there are none.
    pub async fn first_rules(&self, limit_ms: DurationMs) -> Option<Arc<RuleSet>> {
        let rules = self.rules.get(limit_ms.into()).await;
        self.metrics.rules_awaited(rules.is_some());
        rules
    }
}
