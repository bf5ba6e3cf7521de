//! The counts of waiting durable jobs that this entry publishes.

use std::collections::BTreeMap;

use lagoonhill_platform::{
    LeaseId, Store, StoreRevision, Transaction, TransactionOutcome, WAITING_COUNTS_PREFIX,
};
use lagoonhill_types::prelude::*;
use log::debug;

/// Attempts to publish at a time: the second one follows a conflict.
const MAX_ATTEMPTS: u32 = 2;

/// The key with this entry's counts. Only this entry writes it.
///
/// Each write expects the revision that the last one left, so a write without an answer
/// can't replace a later one when it is carried out.
#[derive(Debug)]
pub(crate) struct PublishedCounts<S> {
    store: S,
    key: String,
    /// The counts in the store; `None` after a write without an answer.
    counts: Option<BTreeMap<QueueName, usize>>,
    /// The revision that the key is believed to have.
    revision: StoreRevision,
}

impl<S: Store> PublishedCounts<S> {
    /// The state before the first write: an absent key stands for no waiting jobs.
    pub(crate) fn new(store: S, owner: Incarnation) -> Self {
        Self {
            store,
            key: format!("{WAITING_COUNTS_PREFIX}{owner}"),
            counts: Some(BTreeMap::new()),
            revision: StoreRevision::ABSENT,
        }
    }

    /// Handles the end of the lease of the last write, with which the key was removed.
    pub(crate) fn lease_ended(&mut self) {
        self.counts = Some(BTreeMap::new());
        self.revision = StoreRevision::ABSENT;
    }

    /// Publishes the counts until the lease ends, if the store may have others.
    pub(crate) async fn publish(&mut self, counts: &BTreeMap<QueueName, usize>, lease: LeaseId) {
        if self.counts.as_ref() == Some(counts) {
            return;
        }
        self.counts = None;
        let value = serde_json::to_vec(counts).expect("counts always serialize");
        for _ in 0..MAX_ATTEMPTS {
            let write = Transaction::swap(&self.key, self.revision, &value, Some(lease));
            match self.store.transact(&write).await {
                TransactionOutcome::Done(revision) => {
                    self.revision = revision;
                    self.counts = Some(counts.clone());
                    return;
                }
                // An earlier write was carried out after all.
                TransactionOutcome::Conflict(found) => {
                    let present = found.first().map(|found| found.revision);
                    self.revision = present.unwrap_or(StoreRevision::ABSENT);
                    debug!("{} has changed, at revision {}", self.key, self.revision);
                }
                outcome => return debug!("{} was not published: {outcome:?}", self.key),
            }
        }
    }
}
