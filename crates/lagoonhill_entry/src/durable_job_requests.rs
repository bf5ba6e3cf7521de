//! Requests about durable jobs that are answered from the platform's store.

use std::time::Duration;

use lagoonhill_core::entry::DurableJobState;
use lagoonhill_platform::{Store, StoreUnavailable};
use lagoonhill_types::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::durable_store::DurableStore;

/// Longest wait for the deletion of the owner key at a shutdown.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// A request about durable jobs that the control thread does not know.
#[derive(Debug)]
pub(crate) enum DurableJobRequest {
    /// The stored state of a job.
    LookUp {
        name: RequestKey,
        reply: oneshot::Sender<Result<Option<DurableJobState>, StoreUnavailable>>,
    },
    /// The number of jobs of a queue that wait at other entries.
    Waiting {
        queue: QueueName,
        /// Whether no durable job is known here, so that older counts will do.
        is_idle: bool,
        reply: oneshot::Sender<Result<usize, StoreUnavailable>>,
    },
    /// Delete this entry's owner key: the process ends.
    Leave { reply: oneshot::Sender<()> },
    /// Cancel a job that another entry owns.
    Cancel {
        name: RequestKey,
        reply: oneshot::Sender<Result<Option<DurableJobState>, StoreUnavailable>>,
    },
}

/// Sends requests about durable jobs to the tasks that use the store.
#[derive(Clone, Debug)]
pub(crate) struct DurableJobRequests {
    requests: mpsc::UnboundedSender<DurableJobRequest>,
    /// Whether there are durable jobs, so that this entry must be an owner.
    is_needed: watch::Sender<bool>,
}

impl DurableJobRequests {
    pub(crate) fn new(
        requests: mpsc::UnboundedSender<DurableJobRequest>,
        is_needed: watch::Sender<bool>,
    ) -> Self {
        Self {
            requests,
            is_needed,
        }
    }

    /// Makes this entry an owner: there are durable jobs.
    pub(crate) fn need_owner(&self) {
        self.is_needed
            .send_if_modified(|is_needed| !std::mem::replace(is_needed, true));
    }

    /// Durable jobs of a queue that wait at other entries.
    pub(crate) async fn waiting_at_peers(
        &self,
        queue: QueueName,
    ) -> Result<usize, StoreUnavailable> {
        let is_idle = !*self.is_needed.borrow();
        self.request(|reply| DurableJobRequest::Waiting {
            queue,
            is_idle,
            reply,
        })
        .await
    }

    pub(crate) async fn look_up(
        &self,
        name: RequestKey,
    ) -> Result<Option<DurableJobState>, StoreUnavailable> {
        self.request(|reply| DurableJobRequest::LookUp { name, reply })
            .await
    }

    pub(crate) async fn cancel(
        &self,
        name: RequestKey,
    ) -> Result<Option<DurableJobState>, StoreUnavailable> {
        self.request(|reply| DurableJobRequest::Cancel { name, reply })
            .await
    }

    /// Deletes this entry's owner key. If the store does not answer, the key
    /// expires with its lease.
    pub(crate) async fn leave(&self) {
        let (reply, answer) = oneshot::channel();
        if *self.is_needed.borrow()
            && self
                .requests
                .send(DurableJobRequest::Leave { reply })
                .is_ok()
        {
            let _ = timeout(LEAVE_TIMEOUT, answer).await;
        }
    }

    async fn request<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<Result<T, StoreUnavailable>>) -> DurableJobRequest,
    ) -> Result<T, StoreUnavailable> {
        let (reply, answer) = oneshot::channel();
        let gone = || StoreUnavailable("this entry has no store".to_owned());
        self.requests.send(request(reply)).map_err(|_| gone())?;
        answer.await.map_err(|_| gone())?
    }
}

/// Serves requests until their senders are dropped.
pub(crate) async fn serve_durable_job_requests<S: Store>(
    durable_store: DurableStore<S>,
    mut requests: mpsc::UnboundedReceiver<DurableJobRequest>,
) {
    while let Some(request) = requests.recv().await {
        let durable_store = durable_store.clone();
        tokio::spawn(async move {
            match request {
                DurableJobRequest::LookUp { name, reply } => {
                    let found = durable_store.look_up(&name).await;
                    let found = found.map(|found| found.map(|(form, _)| form.state.into()));
                    let _ = reply.send(found);
                }
                DurableJobRequest::Waiting {
                    queue,
                    is_idle,
                    reply,
                } => {
                    let _ = reply.send(durable_store.waiting_at_peers(&queue, is_idle).await);
                }
                DurableJobRequest::Leave { reply } => {
                    durable_store.leave().await;
                    let _ = reply.send(());
                }
                DurableJobRequest::Cancel { name, reply } => {
                    let _ = reply.send(durable_store.cancel_at_owner(&name).await);
                }
            }
        });
    }
}
