use std::time::Duration;

use lagoonhill_core::entry::KeptState;
use lagoonhill_platform::{Store, StoreUnavailable};
use lagoonhill_types::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::durable_store::DurableStore;

/// Longest wait for the word that this entry ends.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// What is asked about jobs of which this process's memory knows nothing.
#[derive(Debug)]
pub(crate) enum DurableJobRequest {
    /// How a job stands in the store.
    LookUp {
        name: RequestKey,
        reply: oneshot::Sender<Result<Option<KeptState>, StoreUnavailable>>,
    },
    /// How many jobs of a queue wait at other entries.
    Waiting {
        queue: QueueName,
        reply: oneshot::Sender<Result<usize, StoreUnavailable>>,
    },
    /// Tell the other owners that this entry ends.
    Leave { reply: oneshot::Sender<()> },
    /// Cancel a job that another entry owns.
    Cancel {
        name: RequestKey,
        reply: oneshot::Sender<Result<Option<KeptState>, StoreUnavailable>>,
    },
}

/// Asks the store about kept jobs.
#[derive(Clone, Debug)]
pub(crate) struct DurableJobRequests {
    requests: mpsc::UnboundedSender<DurableJobRequest>,
    /// Whether there are kept jobs, so that an owner is needed.
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

    /// Kept jobs have come: this entry is to own some.
    pub(crate) fn need_owner(&self) {
        self.is_needed
            .send_if_modified(|is_needed| !std::mem::replace(is_needed, true));
    }

    /// Kept jobs of a queue that wait at other entries.
    pub(crate) async fn waiting_at_peers(
        &self,
        queue: QueueName,
    ) -> Result<usize, StoreUnavailable> {
        if !*self.is_needed.borrow() {
            return Ok(0);
        }
        self.request(|reply| DurableJobRequest::Waiting { queue, reply })
            .await
    }

    pub(crate) async fn look_up(
        &self,
        name: RequestKey,
    ) -> Result<Option<KeptState>, StoreUnavailable> {
        self.request(|reply| DurableJobRequest::LookUp { name, reply })
            .await
    }

    pub(crate) async fn cancel(
        &self,
        name: RequestKey,
    ) -> Result<Option<KeptState>, StoreUnavailable> {
        self.request(|reply| DurableJobRequest::Cancel { name, reply })
            .await
    }

    /// This entry ends; a store that is away finds out by itself.
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

/// Answers requests until their senders are gone.
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
                DurableJobRequest::Waiting { queue, reply } => {
                    let _ = reply.send(durable_store.waiting_at_peers(&queue).await);
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
