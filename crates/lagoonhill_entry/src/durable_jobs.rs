use lagoonhill_core::entry::StoreWrite;
use lagoonhill_platform::Store;
use lagoonhill_types::prelude::*;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::durable_job_requests::{DurableJobRequests, serve_durable_job_requests};
use crate::durable_store::DurableStore;
use crate::handle::ControlHandle;
use crate::ownership::Ownership;

/// Access to durable jobs: the requests that the store answers, and whether this
/// entry may own jobs.
#[derive(Clone, Debug)]
pub(crate) struct DurableJobs {
    pub(crate) requests: DurableJobRequests,
    /// Whether the store has confirmed at least once that this entry is an owner.
    pub(crate) is_owner: watch::Receiver<bool>,
}

impl DurableJobs {
    /// Starts the tasks that store durable jobs. Without a store, durable jobs are
    /// refused.
    pub(crate) fn start<S: Store>(
        store: Option<S>,
        owner: Incarnation,
        clock: Clock,
        control: &ControlHandle,
        orders: mpsc::UnboundedReceiver<StoreWrite>,
    ) -> (Self, Vec<JoinHandle<()>>) {
        let (requests, request_queue) = mpsc::unbounded_channel();
        let (is_needed, owner_needed) = watch::channel(false);
        let (owning, is_owner) = watch::channel(false);
        let requests = DurableJobRequests::new(requests, is_needed);
        let mut tasks = Vec::new();
        if let Some(store) = store {
            let durable_store = DurableStore::new(store.clone(), owner, clock, control.clone());
            let ownership =
                Ownership::new(store, owner, clock, control.clone(), durable_store.clone());
            let owning = ownership.run(owner_needed, requests.clone(), owning);
            tasks.push(tokio::spawn(durable_store.clone().run(orders)));
            tasks.push(tokio::spawn(serve_durable_job_requests(
                durable_store,
                request_queue,
            )));
            tasks.push(tokio::spawn(owning));
        }
        (Self { requests, is_owner }, tasks)
    }
}
