use std::time::Duration;

use lagoonhill_core::entry::KeptState;
use lagoonhill_platform::{Store, StoreUnavailable};
use lagoonhill_types::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::keeper::Keeper;

/// Longest wait for the word that this entry ends.
const LEAVE_LIMIT: Duration = Duration::from_millis(300);

/// What is asked about jobs of which this process's memory knows nothing.
#[derive(Debug)]
pub(crate) enum KeptRequest {
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
pub(crate) struct KeptRequests {
    requests: mpsc::UnboundedSender<KeptRequest>,
    /// Whether there are kept jobs, so that an owner is needed.
    is_needed: watch::Sender<bool>,
}

impl KeptRequests {
    pub(crate) fn new(
        requests: mpsc::UnboundedSender<KeptRequest>,
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
    pub(crate) async fn waiting_elsewhere(
        &self,
        queue: QueueName,
    ) -> Result<usize, StoreUnavailable> {
        if !*self.is_needed.borrow() {
            return Ok(0);
        }
        self.ask(|reply| KeptRequest::Waiting { queue, reply })
            .await
    }

    pub(crate) async fn look_up(
        &self,
        name: RequestKey,
    ) -> Result<Option<KeptState>, StoreUnavailable> {
        self.ask(|reply| KeptRequest::LookUp { name, reply }).await
    }

    pub(crate) async fn cancel(
        &self,
        name: RequestKey,
    ) -> Result<Option<KeptState>, StoreUnavailable> {
        self.ask(|reply| KeptRequest::Cancel { name, reply }).await
    }

    /// This entry ends; a store that is away finds out by itself.
    pub(crate) async fn leave(&self) {
        let (reply, answer) = oneshot::channel();
        if *self.is_needed.borrow() && self.requests.send(KeptRequest::Leave { reply }).is_ok() {
            let _ = timeout(LEAVE_LIMIT, answer).await;
        }
    }

    async fn ask<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<Result<T, StoreUnavailable>>) -> KeptRequest,
    ) -> Result<T, StoreUnavailable> {
        let (reply, answer) = oneshot::channel();
        let gone = || StoreUnavailable("this entry has no store".to_owned());
        self.requests.send(request(reply)).map_err(|_| gone())?;
        answer.await.map_err(|_| gone())?
    }
}

/// Answers requests until their senders are gone.
pub(crate) async fn serve_kept_requests<S: Store>(
    keeper: Keeper<S>,
    mut requests: mpsc::UnboundedReceiver<KeptRequest>,
) {
    while let Some(request) = requests.recv().await {
        let keeper = keeper.clone();
        tokio::spawn(async move {
            match request {
                KeptRequest::LookUp { name, reply } => {
                    let found = keeper.look_up(&name).await;
                    let found = found.map(|found| found.map(|(form, _)| form.state.into()));
                    let _ = reply.send(found);
                }
                KeptRequest::Waiting { queue, reply } => {
                    let _ = reply.send(keeper.waiting_elsewhere(&queue).await);
                }
                KeptRequest::Leave { reply } => {
                    keeper.leave().await;
                    let _ = reply.send(());
                }
                KeptRequest::Cancel { name, reply } => {
                    let _ = reply.send(keeper.cancel_elsewhere(&name).await);
                }
            }
        });
    }
}
