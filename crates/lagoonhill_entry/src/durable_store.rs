use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lagoonhill_core::entry::{KeepOrder, KeptJob, KeptState, Stored};
use lagoonhill_platform::{
    CANCELS_PREFIX, JOBS_PREFIX, LeaseId, OPEN_PREFIX, OWNERS_PREFIX, Put, Store, StoreRevision,
    StoreUnavailable, Transaction, TransactionOutcome, Versioned, WAITING_PREFIX,
};
use lagoonhill_types::prelude::*;
use log::{debug, warn};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout_at};

use crate::control::ControlEvent;
use crate::handle::ControlHandle;
use crate::job_record::{JobRecord, RecordedState, StateRecord};

/// Keys that one transaction may name, as the users' store allows.
const MAX_KEYS_PER_TRANSACTION: usize = 32;

/// How long orders wait for others to ride with them.
const BATCH_DELAY: Duration = Duration::from_millis(8);

/// Transactions under way at the same time: enough at 60 times the usual time
/// of an answer for a tenth of the jobs to come.
const MAX_TRANSACTIONS_IN_FLIGHT: usize = 6;

/// Pause before an order that was refused or not answered is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Tries to store a new job before its caller is told that nobody knows.
const MAX_ACCEPT_ATTEMPTS: u32 = 6;

/// How long the end of a job can be asked for, at least; the same for how long a
/// cancel waits for its owner.
const END_RETENTION: DurationMs = DurationMs::from_secs(180);

/// How long the counts of other owners are believed; callers may be told what
/// is two seconds old.
const WAITING_COUNTS_MAX_AGE: DurationMs = DurationMs(500);

/// Ends within this time share one lease.
const LEASE_REUSE_WINDOW: DurationMs = DurationMs::from_secs(30);

/// One order to store, on its way.
#[derive(Clone, Debug)]
struct PendingWrite {
    name: RequestKey,
    operation: KeepOrder,
    attempts: u32,
}

/// Stores what the control thread orders, several orders in one transaction.
#[derive(Clone, Debug)]
pub(crate) struct DurableStore<S> {
    store: S,
    owner: Incarnation,
    clock: Clock,
    control: ControlHandle,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    /// At which revision each job that is ours was last seen to be.
    revisions: HashMap<RequestKey, StoreRevision>,
    lease: Option<(LeaseId, TimestampMs)>,
    /// What other owners last said of their waiting jobs, and when it was read.
    waiting: Option<(BTreeMap<QueueName, usize>, TimestampMs)>,
}

/// What a transaction's answer means for one of its orders.
enum ConflictOutcome {
    Stored(Stored),
    /// It is ours at another revision; try again.
    Retry,
}

impl<S: Store> DurableStore<S> {
    pub(crate) fn new(store: S, owner: Incarnation, clock: Clock, control: ControlHandle) -> Self {
        Self {
            store,
            owner,
            clock,
            control,
            shared: Arc::default(),
        }
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Carries orders out until the sender is gone.
    pub(crate) async fn run(self, mut writes: mpsc::UnboundedReceiver<(RequestKey, KeepOrder)>) {
        let in_flight = Arc::new(Semaphore::new(MAX_TRANSACTIONS_IN_FLIGHT));
        while let Some((name, write)) = writes.recv().await {
            let mut batch = vec![PendingWrite {
                name,
                operation: write,
                attempts: 0,
            }];
            let deadline = tokio::time::Instant::now() + BATCH_DELAY;
            let mut keys = batch[0].keys();
            while keys + MAX_KEYS_PER_WRITE <= MAX_KEYS_PER_TRANSACTION
                && let Ok(Some((name, write))) = timeout_at(deadline, writes.recv()).await
            {
                let write = PendingWrite {
                    name,
                    operation: write,
                    attempts: 0,
                };
                keys += write.keys();
                batch.push(write);
            }
            let Ok(permit) = Arc::clone(&in_flight).acquire_owned().await else {
                return;
            };
            let durable_store = self.clone();
            tokio::spawn(async move {
                durable_store.write_batch(batch).await;
                drop(permit);
            });
        }
    }

    /// Tries a batch until the outcome of each of its orders is known.
    async fn write_batch(&self, mut batch: Vec<PendingWrite>) {
        while !batch.is_empty() {
            let lease = match self.end_lease(&batch).await {
                Ok(lease) => lease,
                Err(error) => {
                    debug!("ends wait to be stored: {error}");
                    batch = self.retry_or_report(batch, Stored::Refused).await;
                    continue;
                }
            };
            let mut transaction = Transaction::default();
            for write in &batch {
                transaction.join(self.transaction_for(write, lease));
            }
            match self.store.transact(&transaction).await {
                TransactionOutcome::Done(revision) => {
                    for write in batch {
                        self.record_revision(&write, revision);
                        self.report(&write, Stored::Done);
                    }
                    return;
                }
                TransactionOutcome::Conflict(found) => {
                    batch = self.resolve_conflict(batch, &found).await
                }
                TransactionOutcome::LeaseGone => self.shared().lease = None,
                TransactionOutcome::Refused => {
                    batch = self.retry_or_report(batch, Stored::Refused).await;
                }
                TransactionOutcome::Unknown => {
                    batch = self.retry_or_report(batch, Stored::Unknown).await;
                }
            }
        }
    }

    /// Waits, and gives up on new jobs that have been tried often enough.
    /// Refused ones are told so at once: nothing of them is stored.
    async fn retry_or_report(&self, batch: Vec<PendingWrite>, why: Stored) -> Vec<PendingWrite> {
        let mut remaining = Vec::with_capacity(batch.len());
        for mut write in batch {
            write.attempts += 1;
            let is_new = matches!(write.operation, KeepOrder::Accept(_));
            // An earlier try without an answer may have been carried out.
            let may_be_stored = write.attempts > 1;
            if is_new && why == Stored::Refused && !may_be_stored {
                self.report(&write, Stored::Refused);
            } else if is_new && write.attempts >= MAX_ACCEPT_ATTEMPTS {
                self.report(&write, Stored::Unknown);
            } else {
                remaining.push(write);
            }
        }
        if !remaining.is_empty() {
            sleep(RETRY_DELAY).await;
        }
        remaining
    }

    /// After a conflict: reports the orders that can't be carried out, keeps
    /// the others for another try.
    async fn resolve_conflict(
        &self,
        batch: Vec<PendingWrite>,
        found: &[Versioned],
    ) -> Vec<PendingWrite> {
        let mut remaining = Vec::with_capacity(batch.len());
        for write in batch {
            let key = state_key(&write.name);
            let current = found.iter().find(|found| found.key == key);
            match self.conflict_outcome(&write, current) {
                ConflictOutcome::Stored(stored) => {
                    if !matches!(write.operation, KeepOrder::Accept(_)) {
                        self.remove_copy(&write.name).await;
                    }
                    self.report(&write, stored);
                }
                ConflictOutcome::Retry => remaining.push(write),
            }
        }
        remaining
    }

    fn conflict_outcome(
        &self,
        write: &PendingWrite,
        current: Option<&Versioned>,
    ) -> ConflictOutcome {
        let is_new = matches!(write.operation, KeepOrder::Accept(_));
        let Some(current) = current else {
            // A new job is not there yet, as it should be; another's end has
            // been forgotten long ago.
            return if is_new {
                ConflictOutcome::Retry
            } else {
                ConflictOutcome::Stored(Stored::Taken(KeptState::Complete))
            };
        };
        let record: StateRecord = match serde_json::from_slice(&current.value) {
            Ok(record) => record,
            Err(error) => {
                warn!("{} can't be read: {error}; it is left alone", current.key);
                return ConflictOutcome::Stored(Stored::Taken(KeptState::Open));
            }
        };
        let is_own = record.state == RecordedState::Open && record.owner == self.owner;
        match &write.operation {
            // An earlier try was carried out after all.
            KeepOrder::Accept(_) if is_own => {
                self.record_revision(write, current.revision);
                ConflictOutcome::Stored(Stored::Done)
            }
            KeepOrder::Finish(state) if record.state == RecordedState::from(*state) => {
                ConflictOutcome::Stored(Stored::Done)
            }
            KeepOrder::Save(_) | KeepOrder::Finish(_) if is_own => {
                // Either it has moved, or another order of the batch conflicted.
                let name = write.name.clone();
                self.shared().revisions.insert(name, current.revision);
                ConflictOutcome::Retry
            }
            _ => ConflictOutcome::Stored(Stored::Taken(record.state.into())),
        }
    }

    fn record_revision(&self, write: &PendingWrite, revision: StoreRevision) {
        let mut shared = self.shared();
        match write.operation {
            KeepOrder::Accept(_) => {
                shared.revisions.insert(write.name.clone(), revision);
            }
            KeepOrder::Save(_) => {}
            KeepOrder::Finish(_) => {
                shared.revisions.remove(&write.name);
            }
        }
    }

    /// A job is over, or another's: our copy goes. What is left is tidied away
    /// by a search.
    async fn remove_copy(&self, name: &RequestKey) {
        self.shared().revisions.remove(name);
        let result = self.store.delete(&open_key(self.owner, name)).await;
        debug!("the copy of {name} here is gone: {result:?}");
    }

    fn report(&self, write: &PendingWrite, stored: Stored) {
        let name = write.name.clone();
        self.control.send(ControlEvent::Stored { name, stored });
    }

    /// The changes of one order.
    fn transaction_for(&self, write: &PendingWrite, lease: Option<LeaseId>) -> Transaction {
        let state_key = state_key(&write.name);
        let open_key = open_key(self.owner, &write.name);
        let known_revision = self.shared().revisions.get(&write.name).copied();
        let expected = vec![(state_key.clone(), known_revision.unwrap_or_default())];
        match &write.operation {
            KeepOrder::Accept(kept) => Transaction {
                expected: vec![(state_key.clone(), StoreRevision::default())],
                puts: vec![
                    self.state_put(state_key, KeptState::Open, None),
                    job_put(open_key, kept),
                ],
                removes: Vec::new(),
            },
            KeepOrder::Save(kept) => Transaction {
                expected,
                puts: vec![job_put(open_key, kept)],
                removes: Vec::new(),
            },
            KeepOrder::Finish(state) => Transaction {
                expected,
                puts: vec![self.state_put(state_key, *state, lease)],
                removes: vec![open_key],
            },
        }
    }

    fn state_put(&self, key: String, state: KeptState, lease: Option<LeaseId>) -> Put {
        let record = StateRecord {
            owner: self.owner,
            state: state.into(),
        };
        let value = serde_json::to_vec(&record).expect("a state always serializes");
        Put { key, value, lease }
    }

    /// A lease for ends, if there is one in the batch.
    async fn end_lease(&self, batch: &[PendingWrite]) -> Result<Option<LeaseId>, StoreUnavailable> {
        let is_end = |write: &PendingWrite| matches!(write.operation, KeepOrder::Finish(_));
        if !batch.iter().any(is_end) {
            return Ok(None);
        }
        self.lease().await.map(Some)
    }

    async fn lease(&self) -> Result<LeaseId, StoreUnavailable> {
        let now = self.clock.now();
        if let Some((lease, granted_ms)) = self.shared().lease
            && now.since(granted_ms) < LEASE_REUSE_WINDOW
        {
            return Ok(lease);
        }
        let lease = self.store.grant(END_RETENTION + LEASE_REUSE_WINDOW).await?;
        self.shared().lease = Some((lease, now));
        Ok(lease)
    }

    /// Tells the others how many jobs wait here, until the owner's lease ends.
    pub(crate) async fn publish_waiting(
        &self,
        counts: &BTreeMap<QueueName, usize>,
        lease: LeaseId,
    ) -> bool {
        let put = Put {
            key: format!("{WAITING_PREFIX}{}", self.owner),
            value: serde_json::to_vec(counts).expect("counts always serialize"),
            lease: Some(lease),
        };
        let transaction = Transaction {
            puts: vec![put],
            ..Transaction::default()
        };
        let published = self.store.transact(&transaction).await;
        matches!(published, TransactionOutcome::Done(_))
    }

    /// Kept jobs of a queue that wait at other entries; up to a second old.
    pub(crate) async fn waiting_at_peers(
        &self,
        queue: &QueueName,
    ) -> Result<usize, StoreUnavailable> {
        let now = self.clock.now();
        if let Some((counts, read_ms)) = &self.shared().waiting
            && now.since(*read_ms) < WAITING_COUNTS_MAX_AGE
        {
            return Ok(counts.get(queue).copied().unwrap_or(0));
        }
        let own = format!("{WAITING_PREFIX}{}", self.owner);
        let mut counts: BTreeMap<QueueName, usize> = BTreeMap::new();
        let found = self.store.list(WAITING_PREFIX).await?;
        for found in found.iter().filter(|found| found.key != own) {
            let peer_counts: BTreeMap<QueueName, usize> = serde_json::from_slice(&found.value)
                .map_err(|error| StoreUnavailable(format!("{}: {error}", found.key)))?;
            for (queue, count) in peer_counts {
                *counts.entry(queue).or_default() += count;
            }
        }
        let count = counts.get(queue).copied().unwrap_or(0);
        self.shared().waiting = Some((counts, now));
        Ok(count)
    }

    /// This entry ends: other owners need not wait until its lease has lapsed.
    pub(crate) async fn leave(&self) {
        let result = self.store.delete(&owner_key(self.owner)).await;
        debug!("no owner any more: {result:?}");
    }

    /// How a job stands in the store, and at which revision.
    pub(crate) async fn look_up(
        &self,
        name: &RequestKey,
    ) -> Result<Option<(StateRecord, StoreRevision)>, StoreUnavailable> {
        let Some(found) = self.store.read(&state_key(name)).await? else {
            return Ok(None);
        };
        let record = serde_json::from_slice(&found.value)
            .map_err(|error| StoreUnavailable(format!("{} can't be read: {error}", found.key)))?;
        Ok(Some((record, found.revision)))
    }

    /// Cancels a job that another entry owns; its owner finds out. Returns how
    /// it stands then, or `None` when there is no such job.
    pub(crate) async fn cancel_at_owner(
        &self,
        name: &RequestKey,
    ) -> Result<Option<KeptState>, StoreUnavailable> {
        loop {
            let Some((record, revision)) = self.look_up(name).await? else {
                return Ok(None);
            };
            if record.state != RecordedState::Open {
                return Ok(Some(record.state.into()));
            }
            let lease = Some(self.lease().await?);
            let key = state_key(name);
            let mut put = self.state_put(key.clone(), KeptState::Cancelled, lease);
            let cancelled = StateRecord {
                state: RecordedState::Cancelled,
                ..record.clone()
            };
            put.value = serde_json::to_vec(&cancelled).expect("a state always serializes");
            let transaction = Transaction {
                expected: vec![(key, revision)],
                puts: vec![
                    put,
                    Put {
                        key: format!("{CANCELS_PREFIX}{}/{name}", record.owner),
                        value: b"{}".to_vec(),
                        lease,
                    },
                ],
                removes: Vec::new(),
            };
            match self.store.transact(&transaction).await {
                TransactionOutcome::Done(_) => return Ok(Some(KeptState::Cancelled)),
                TransactionOutcome::LeaseGone => self.shared().lease = None,
                TransactionOutcome::Conflict(_) => {}
                TransactionOutcome::Refused | TransactionOutcome::Unknown => {
                    sleep(RETRY_DELAY).await
                }
            }
        }
    }

    /// Takes a job over from an owner that is gone. Returns whether it is ours
    /// now; a job that is over is only tidied away.
    pub(crate) async fn take_over(&self, found: &Versioned) -> Option<(RequestKey, KeptJob)> {
        let record: JobRecord = serde_json::from_slice(&found.value)
            .inspect_err(|error| warn!("{} can't be read: {error}; it is left alone", found.key))
            .ok()?;
        let kept = record.into_job();
        let name = kept.submission.name()?;
        let key = state_key(&name);
        let current = match self.store.read(&key).await {
            Ok(current) => current,
            Err(error) => {
                debug!("a takeover waits: {error}");
                return None;
            }
        };
        let state = current.as_ref().and_then(|current| {
            let record: Option<StateRecord> = serde_json::from_slice(&current.value).ok();
            record.filter(|record| record.state == RecordedState::Open)
        });
        let Some((current, state)) = current.zip(state) else {
            self.store.delete(&found.key).await;
            return None;
        };
        let is_its_owner = found.key == open_key(state.owner, &name);
        let open_key = open_key(self.owner, &name);
        if !is_its_owner {
            // An earlier owner's copy; the present one has its own.
            self.store.delete(&found.key).await;
            return None;
        }
        let next_epoch = KeptJob {
            epoch: kept.epoch + 1,
            ..kept.clone()
        };
        let is_own = found.key == open_key;
        let transaction = Transaction {
            expected: vec![
                (key.clone(), current.revision),
                (found.key.clone(), found.revision),
            ],
            puts: vec![
                self.state_put(key, KeptState::Open, None),
                job_put(open_key, &next_epoch),
            ],
            removes: if is_own {
                Vec::new()
            } else {
                vec![found.key.clone()]
            },
        };
        match self.store.transact(&transaction).await {
            TransactionOutcome::Done(revision) => {
                self.shared().revisions.insert(name.clone(), revision);
                Some((name, kept))
            }
            outcome => {
                debug!("{name} was not taken over: {outcome:?}");
                None
            }
        }
    }
}

/// Keys that an order names at most.
const MAX_KEYS_PER_WRITE: usize = 3;

impl PendingWrite {
    fn keys(&self) -> usize {
        match self.operation {
            KeepOrder::Save(_) => 2,
            KeepOrder::Accept(_) | KeepOrder::Finish(_) => 3,
        }
    }
}

/// The key that shows that an owner is alive.
pub(crate) fn owner_key(owner: Incarnation) -> String {
    format!("{OWNERS_PREFIX}{owner}")
}

fn state_key(name: &RequestKey) -> String {
    format!("{JOBS_PREFIX}{name}")
}

fn open_key(owner: Incarnation, name: &RequestKey) -> String {
    format!("{OPEN_PREFIX}{owner}/{name}")
}

fn job_put(key: String, kept: &KeptJob) -> Put {
    let record = JobRecord::new(kept);
    let value = serde_json::to_vec(&record).expect("a job always serializes");
    Put {
        key,
        value,
        lease: None,
    }
}
