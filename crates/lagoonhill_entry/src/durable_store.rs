//! Stores the state of durable jobs in the platform's store, and takes jobs over.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lagoonhill_core::entry::{DurableJob, DurableJobState, StoreOutcome, StoreRequest, StoreWrite};
use lagoonhill_platform::{
    CANCEL_REQUESTS_PREFIX, JOBS_PREFIX, LeaseId, OPEN_JOBS_PREFIX, OWNERS_PREFIX, Put, Store,
    StoreRevision, StoreUnavailable, Transaction, TransactionOutcome, Versioned,
    WAITING_COUNTS_PREFIX,
};
use lagoonhill_types::prelude::*;
use log::{debug, info, warn};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout_at};

use crate::control::ControlEvent;
use crate::handle::ControlHandle;
use crate::job_record::{ClaimId, JobRecord, RecordedState, StateForm};

/// Limit of the platform's store on the keys that one transaction names.
const MAX_KEYS_PER_TRANSACTION: usize = 32;

/// Most keys that one write names.
const MAX_KEYS_PER_WRITE: usize = 3;

/// How long a write waits for others to join its transaction.
const BATCH_DELAY: Duration = Duration::from_millis(8);

/// Enough for a tenth of the expected jobs when the store answers 60 times slower
/// than usual.
const MAX_TRANSACTIONS_IN_FLIGHT: usize = 6;

/// Constant delay before a write that was refused or not answered is retried.
const BACKOFF: Duration = Duration::from_millis(100);

/// Attempts to store a new job before its caller gets the answer "unknown".
const MAX_ACCEPT_ATTEMPTS: u32 = 6;

/// Minimum time for which a job's end can be queried, and for which a cancel
/// record waits for the job's owner to read it.
const END_RETENTION_MS: DurationMs = DurationMs::from_secs(180);

/// Age at which the cached counts of other owners are read again; callers may
/// get counts that are up to two seconds old.
const WAITING_COUNTS_MAX_AGE_MS: DurationMs = DurationMs(500);

/// The same at an entry that knows of no durable job. Owners publish their counts
/// each second, which together stays within the two seconds.
const IDLE_WAITING_COUNTS_MAX_AGE_MS: DurationMs = DurationMs(1_000);

/// Ends and cancels stored within this time of a grant share its lease.
const LEASE_REUSE_WINDOW_MS: DurationMs = DurationMs::from_secs(30);

/// A write that the store has not confirmed yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    write: StoreWrite,
    /// The claim that the write makes if it is to store a new job. All attempts share it.
    claim: ClaimId,
    attempts: u32,
}

impl PendingWrite {
    fn new(write: StoreWrite) -> Self {
        Self {
            write,
            claim: ClaimId::random(),
            attempts: 0,
        }
    }

    fn is_new_job(&self) -> bool {
        matches!(self.write.request, StoreRequest::Accept(_))
    }

    /// Number of keys that the write names, at most [`MAX_KEYS_PER_WRITE`].
    fn keys(&self) -> usize {
        match self.write.request {
            StoreRequest::Save(_) => 2,
            StoreRequest::Accept(_) | StoreRequest::Finish(_) => 3,
        }
    }
}

/// A job that this entry owns.
#[derive(Clone, Copy, Debug)]
struct OwnedJob {
    epoch: u32,
    claim: ClaimId,
    /// Last seen revision of the job's state key.
    revision: StoreRevision,
}

/// Writes durable jobs to the platform's store, several writes in one transaction.
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
    /// Whether the store may hold a job of this entry that its control thread does not
    /// know.
    must_search_own: bool,
    owned: HashMap<RequestKey, OwnedJob>,
    lease: Option<(LeaseId, TimestampMs)>,
    /// Waiting jobs at other owners, by queue, and when the counts were read.
    waiting: Option<(BTreeMap<QueueName, usize>, TimestampMs)>,
}

/// What became of the takeover of a job.
#[derive(Debug)]
pub(crate) enum Takeover {
    /// This entry owns the job now.
    Done {
        name: RequestKey,
        job: Box<DurableJob>,
    },
    /// The job has ended or has an owner, or its record can't be read.
    NotNeeded,
    /// The store did not answer or refused the call: the takeover must be tried again.
    Postponed,
}

/// What a conflict of a transaction means for one of its writes.
enum ConflictOutcome {
    /// An earlier attempt of this write took effect.
    Done(StoreRevision),
    /// This entry owns the job as the write expects: another write has conflicted.
    Retry,
    /// This entry owns the job, but not since a request that this write knows of: the
    /// job was stored before, or taken over again.
    Superseded,
    /// The job has another owner, or has ended.
    Elsewhere(DurableJobState),
    /// The stored state can't be read: who owns the job is unknown.
    Unreadable,
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

    /// Carries out writes until the sender is dropped.
    pub(crate) async fn run(self, mut writes: mpsc::UnboundedReceiver<StoreWrite>) {
        let in_flight = Arc::new(Semaphore::new(MAX_TRANSACTIONS_IN_FLIGHT));
        while let Some(write) = writes.recv().await {
            let mut batch = vec![PendingWrite::new(write)];
            let deadline = tokio::time::Instant::now() + BATCH_DELAY;
            let mut keys = batch[0].keys();
            while keys + MAX_KEYS_PER_WRITE <= MAX_KEYS_PER_TRANSACTION
                && let Ok(Some(write)) = timeout_at(deadline, writes.recv()).await
            {
                let write = PendingWrite::new(write);
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

    /// Retries a batch until the outcome of each of its writes is known.
    async fn write_batch(&self, mut batch: Vec<PendingWrite>) {
        loop {
            batch = self.report_superseded(batch);
            if batch.is_empty() {
                return;
            }
            let lease = match self.end_lease(&batch).await {
                Ok(lease) => lease,
                Err(error) => {
                    debug!("no lease for the ends of durable jobs, retrying: {error}");
                    batch = self.retry_or_report(batch, StoreOutcome::Rejected).await;
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
                        self.report(&write, StoreOutcome::Done);
                    }
                    return;
                }
                TransactionOutcome::Conflict(found) => {
                    let count = batch.len();
                    batch = self.resolve(batch, &found).await;
                    // The conflict is with an item that can't be read.
                    if found.is_empty() && batch.len() == count {
                        batch = self.retry_or_report(batch, StoreOutcome::Unknown).await;
                    }
                }
                TransactionOutcome::LeaseExpired => {
                    self.shared().lease = None;
                    sleep(BACKOFF).await;
                }
                TransactionOutcome::Refused => {
                    batch = self.retry_or_report(batch, StoreOutcome::Rejected).await;
                }
                TransactionOutcome::Unknown => {
                    batch = self.retry_or_report(batch, StoreOutcome::Unknown).await;
                }
            }
        }
    }

    /// Returns the writes to retry, after a delay. New jobs are reported instead
    /// once their attempts are used up, or at once if the store has refused them
    /// and so holds nothing of them.
    async fn retry_or_report(
        &self,
        batch: Vec<PendingWrite>,
        why: StoreOutcome,
    ) -> Vec<PendingWrite> {
        let mut remaining = Vec::with_capacity(batch.len());
        for mut write in batch {
            write.attempts += 1;
            let is_new = write.is_new_job();
            // An earlier attempt without an answer may have taken effect.
            let may_be_stored = write.attempts > 1;
            if is_new && why == StoreOutcome::Rejected && !may_be_stored {
                self.report(&write, StoreOutcome::Rejected);
            } else if is_new && write.attempts >= MAX_ACCEPT_ATTEMPTS {
                self.search_own();
                self.report(&write, StoreOutcome::Unknown);
            } else {
                remaining.push(write);
            }
        }
        if !remaining.is_empty() {
            sleep(BACKOFF).await;
        }
        remaining
    }

    /// Reports the writes about jobs that this entry has abandoned or taken over again
    /// since, and returns the others. They must not change what the new owner stores.
    fn report_superseded(&self, batch: Vec<PendingWrite>) -> Vec<PendingWrite> {
        let (remaining, superseded): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .partition(|write| write.is_new_job() || self.owned_job(write).is_some());
        for write in superseded {
            debug!(
                "a write of an earlier owner of {} is dropped",
                write.write.name
            );
            self.search_own();
            self.report(&write, StoreOutcome::OwnedElsewhere(DurableJobState::Open));
        }
        remaining
    }

    /// The job of a write, if this entry owns it in the write's epoch.
    fn owned_job(&self, write: &PendingWrite) -> Option<OwnedJob> {
        let shared = self.shared();
        let owned = shared.owned.get(&write.write.name).copied();
        owned.filter(|owned| owned.epoch == write.write.epoch)
    }

    /// After a conflict: reports the writes that can't succeed and returns the
    /// others to be retried.
    async fn resolve(&self, batch: Vec<PendingWrite>, found: &[Versioned]) -> Vec<PendingWrite> {
        let mut remaining = Vec::with_capacity(batch.len());
        for write in batch {
            let key = state_key(&write.write.name);
            let current = found.iter().find(|found| found.key == key);
            match self.conflict_outcome(&write, current) {
                ConflictOutcome::Done(revision) => {
                    self.record_revision(&write, revision);
                    if !write.is_new_job() {
                        self.remove_copy(&write.write.name).await;
                    }
                    self.report(&write, StoreOutcome::Done);
                }
                ConflictOutcome::Retry => remaining.push(write),
                ConflictOutcome::Superseded => {
                    self.search_own();
                    self.report(&write, StoreOutcome::OwnedElsewhere(DurableJobState::Open));
                }
                ConflictOutcome::Elsewhere(state) => {
                    if !write.is_new_job() {
                        self.remove_copy(&write.write.name).await;
                    }
                    self.report(&write, StoreOutcome::OwnedElsewhere(state));
                }
                // A new job is not accepted, as nobody would run it. The record of
                // another one stays for the takeover that a mended state allows.
                ConflictOutcome::Unreadable => {
                    let stored = if write.is_new_job() {
                        StoreOutcome::Unknown
                    } else {
                        StoreOutcome::OwnedElsewhere(DurableJobState::Open)
                    };
                    self.report(&write, stored);
                }
            }
        }
        remaining
    }

    fn conflict_outcome(
        &self,
        write: &PendingWrite,
        current: Option<&Versioned>,
    ) -> ConflictOutcome {
        let Some(current) = current else {
            // No state is stored: expected for a new job; of any other job the
            // end was stored and its retention time is over.
            return if write.is_new_job() {
                ConflictOutcome::Retry
            } else {
                ConflictOutcome::Elsewhere(DurableJobState::Complete)
            };
        };
        let record: StateForm = match serde_json::from_slice(&current.value) {
            Ok(record) => record,
            Err(error) => {
                warn!(
                    "{} is not a job state: {error}; left unchanged, remove it if it is not of this system",
                    current.key
                );
                return ConflictOutcome::Unreadable;
            }
        };
        let is_own = record.state == RecordedState::Open && record.owner == self.owner;
        match &write.write.request {
            StoreRequest::Accept(_) => {
                let is_earlier_attempt = is_own && record.claim == Some(write.claim);
                self.log_stored_before(write, &record, is_earlier_attempt);
                if is_earlier_attempt {
                    ConflictOutcome::Done(current.revision)
                } else if is_own {
                    ConflictOutcome::Superseded
                } else {
                    ConflictOutcome::Elsewhere(record.state.into())
                }
            }
            StoreRequest::Finish(state) if record.state == RecordedState::from(*state) => {
                ConflictOutcome::Done(current.revision)
            }
            StoreRequest::Save(_) | StoreRequest::Finish(_) if is_own => {
                match self.owned_job(write) {
                    Some(owned) if record.claim == Some(owned.claim) => {
                        // Another write has conflicted, or the store gave the state key
                        // another revision than the transaction that wrote it.
                        self.record_owned(&write.write, owned.claim, current.revision);
                        ConflictOutcome::Retry
                    }
                    _ => ConflictOutcome::Superseded,
                }
            }
            StoreRequest::Save(_) | StoreRequest::Finish(_) => {
                ConflictOutcome::Elsewhere(record.state.into())
            }
        }
    }

    /// Logs that a new job was not stored because the store has a job of its name.
    fn log_stored_before(
        &self,
        write: &PendingWrite,
        record: &StateForm,
        is_earlier_attempt: bool,
    ) {
        let by = if is_earlier_attempt {
            "attempt"
        } else if record.owner == self.owner {
            "entry"
        } else {
            "other"
        };
        info!(
            target: "decision",
            "request={} stored-before by={by} owner={} state={} attempts={}",
            write.write.name,
            record.owner,
            DurableJobState::from(record.state),
            write.attempts
        );
    }

    /// Records the revision of the state key that a write has set.
    fn record_revision(&self, write: &PendingWrite, revision: StoreRevision) {
        match write.write.request {
            StoreRequest::Accept(_) => self.record_owned(&write.write, write.claim, revision),
            StoreRequest::Save(_) => {}
            StoreRequest::Finish(_) => {
                self.shared().owned.remove(&write.write.name);
            }
        }
    }

    fn record_owned(&self, write: &StoreWrite, claim: ClaimId, revision: StoreRevision) {
        let owned = OwnedJob {
            epoch: write.epoch,
            claim,
            revision,
        };
        self.shared().owned.insert(write.name.clone(), owned);
    }

    /// Whether the store may hold a job of this entry that its control thread does not
    /// know, since the last call.
    pub(crate) fn take_must_search_own(&self) -> bool {
        std::mem::take(&mut self.shared().must_search_own)
    }

    /// Notes that the store may hold a job of this entry that its control thread does not
    /// know.
    pub(crate) fn search_own(&self) {
        self.shared().must_search_own = true;
    }

    /// Deletes this entry's record of a job that has ended or has another owner.
    /// If the delete fails, a later takeover search removes the record.
    async fn remove_copy(&self, name: &RequestKey) {
        self.shared().owned.remove(name);
        let result = self.store.delete(&open_key(self.owner, name)).await;
        debug!("deleting this entry's record of job {name}: {result:?}");
    }

    fn report(&self, write: &PendingWrite, stored: StoreOutcome) {
        let (name, id) = (write.write.name.clone(), write.write.id);
        self.control.send(ControlEvent::Stored { name, id, stored });
    }

    /// The store transaction of one write.
    fn transaction_for(&self, write: &PendingWrite, lease: Option<LeaseId>) -> Transaction {
        let state_key = state_key(&write.write.name);
        let open_key = open_key(self.owner, &write.write.name);
        let owned = self.owned_job(write);
        let known_revision = owned.map(|owned| owned.revision).unwrap_or_default();
        let expected = vec![(state_key.clone(), known_revision)];
        match &write.write.request {
            StoreRequest::Accept(durable_job) => Transaction {
                expected: vec![(state_key.clone(), StoreRevision::default())],
                puts: vec![
                    self.state_put(state_key, DurableJobState::Open, Some(write.claim), None),
                    job_put(open_key, durable_job),
                ],
                removes: Vec::new(),
            },
            StoreRequest::Save(durable_job) => Transaction {
                expected,
                puts: vec![job_put(open_key, durable_job)],
                removes: Vec::new(),
            },
            StoreRequest::Finish(state) => Transaction {
                expected,
                puts: vec![self.state_put(state_key, *state, None, lease)],
                removes: vec![open_key],
            },
        }
    }

    fn state_put(
        &self,
        key: String,
        state: DurableJobState,
        claim: Option<ClaimId>,
        lease: Option<LeaseId>,
    ) -> Put {
        let record = StateForm {
            owner: self.owner,
            state: state.into(),
            claim,
        };
        let value = serde_json::to_vec(&record).expect("a state always serializes");
        Put { key, value, lease }
    }

    /// The lease for stored ends, if the batch has any.
    async fn end_lease(&self, batch: &[PendingWrite]) -> Result<Option<LeaseId>, StoreUnavailable> {
        let is_end = |write: &PendingWrite| matches!(write.write.request, StoreRequest::Finish(_));
        if !batch.iter().any(is_end) {
            return Ok(None);
        }
        self.lease().await.map(Some)
    }

    async fn lease(&self) -> Result<LeaseId, StoreUnavailable> {
        let now = self.clock.now();
        if let Some((lease, granted_ms)) = self.shared().lease
            && now.since(granted_ms) < LEASE_REUSE_WINDOW_MS
        {
            return Ok(lease);
        }
        let lease = self
            .store
            .grant(END_RETENTION_MS + LEASE_REUSE_WINDOW_MS)
            .await?;
        self.shared().lease = Some((lease, now));
        Ok(lease)
    }

    /// Durable jobs of a queue that wait at other entries; up to two seconds old.
    /// An entry that knows of no durable job (`is_idle`) reads the counts less often.
    pub(crate) async fn waiting_at_peers(
        &self,
        queue: &QueueName,
        is_idle: bool,
    ) -> Result<usize, StoreUnavailable> {
        let now = self.clock.now();
        let max_age_ms = if is_idle {
            IDLE_WAITING_COUNTS_MAX_AGE_MS
        } else {
            WAITING_COUNTS_MAX_AGE_MS
        };
        if let Some((counts, read_ms)) = &self.shared().waiting
            && now.since(*read_ms) < max_age_ms
        {
            return Ok(counts.get(queue).copied().unwrap_or(0));
        }
        let own = format!("{WAITING_COUNTS_PREFIX}{}", self.owner);
        let mut counts: BTreeMap<QueueName, usize> = BTreeMap::new();
        let found = self.store.list(WAITING_COUNTS_PREFIX).await?;
        for found in found.iter().filter(|found| found.key != own) {
            let peer_counts: BTreeMap<QueueName, usize> = match serde_json::from_slice(&found.value)
            {
                Ok(peer_counts) => peer_counts,
                Err(error) => {
                    warn!(
                        "{} holds no valid counts: {error}; not counted, remove it if it is not of this system",
                        found.key
                    );
                    continue;
                }
            };
            for (queue, count) in peer_counts {
                let sum = counts.entry(queue).or_default();
                *sum = sum.saturating_add(count);
            }
        }
        let count = counts.get(queue).copied().unwrap_or(0);
        self.shared().waiting = Some((counts, now));
        Ok(count)
    }

    /// Deletes this entry's owner key, so that other owners need not wait for its
    /// lease to expire.
    pub(crate) async fn leave(&self) {
        let result = self.store.delete(&owner_key(self.owner)).await;
        debug!("deleting this entry's owner key: {result:?}");
    }

    /// The stored state of a job, and its revision.
    pub(crate) async fn look_up(
        &self,
        name: &RequestKey,
    ) -> Result<Option<(StateForm, StoreRevision)>, StoreUnavailable> {
        let Some(found) = self.store.read(&state_key(name)).await? else {
            return Ok(None);
        };
        let record = serde_json::from_slice(&found.value)
            .map_err(|error| StoreUnavailable(format!("{} can't be read: {error}", found.key)))?;
        Ok(Some((record, found.revision)))
    }

    /// Cancels a job that another entry owns, and leaves a cancel record for that
    /// owner. Returns the resulting state, or `None` if there is no such job.
    pub(crate) async fn cancel_at_owner(
        &self,
        name: &RequestKey,
    ) -> Result<Option<DurableJobState>, StoreUnavailable> {
        loop {
            let Some((record, revision)) = self.look_up(name).await? else {
                return Ok(None);
            };
            if record.state != RecordedState::Open {
                return Ok(Some(record.state.into()));
            }
            let lease = Some(self.lease().await?);
            let key = state_key(name);
            let mut put = self.state_put(key.clone(), DurableJobState::Cancelled, None, lease);
            let cancelled = StateForm {
                state: RecordedState::Cancelled,
                ..record.clone()
            };
            put.value = serde_json::to_vec(&cancelled).expect("a state always serializes");
            let transaction = Transaction {
                expected: vec![(key, revision)],
                puts: vec![
                    put,
                    Put {
                        key: format!("{CANCEL_REQUESTS_PREFIX}{}/{name}", record.owner),
                        value: b"{}".to_vec(),
                        lease,
                    },
                ],
                removes: Vec::new(),
            };
            match self.store.transact(&transaction).await {
                TransactionOutcome::Done(_) => return Ok(Some(DurableJobState::Cancelled)),
                TransactionOutcome::LeaseExpired => {
                    self.shared().lease = None;
                    sleep(BACKOFF).await;
                }
                TransactionOutcome::Conflict(_) => {}
                TransactionOutcome::Refused | TransactionOutcome::Unknown => sleep(BACKOFF).await,
            }
        }
    }

    /// Takes a job over from an owner that is gone. The record of a job that has ended
    /// is only deleted.
    pub(crate) async fn take_over(&self, found: &Versioned) -> Takeover {
        let durable_job = match JobRecord::decode(&found.value) {
            Ok(durable_job) => durable_job,
            Err(error) => {
                warn!(
                    "no takeover, {} is not a job record: {error}; left unchanged, remove it if it is not of this system",
                    found.key
                );
                return Takeover::NotNeeded;
            }
        };
        let Some(name) = durable_job.submission.name() else {
            return Takeover::NotNeeded;
        };
        let key = state_key(&name);
        let current = match self.store.read(&key).await {
            Ok(current) => current,
            Err(error) => {
                debug!("takeover postponed, the store can't be read: {error}");
                return Takeover::Postponed;
            }
        };
        let Some(current) = current else {
            return self.delete_record(found).await;
        };
        let state: StateForm = match serde_json::from_slice(&current.value) {
            Ok(state) => state,
            Err(error) => {
                warn!(
                    "no takeover of {name}, {key} is not a job state: {error}; left unchanged, remove it if the job is not to be run"
                );
                return Takeover::NotNeeded;
            }
        };
        // An earlier owner's record is deleted too; the current owner has its own.
        if state.state != RecordedState::Open || found.key != open_key(state.owner, &name) {
            return self.delete_record(found).await;
        }
        let open_key = open_key(self.owner, &name);
        let next_epoch = DurableJob {
            epoch: durable_job.epoch + 1,
            ..durable_job.clone()
        };
        let is_own = found.key == open_key;
        let claim = ClaimId::random();
        let transaction = Transaction {
            expected: vec![
                (key.clone(), current.revision),
                (found.key.clone(), found.revision),
            ],
            puts: vec![
                self.state_put(key, DurableJobState::Open, Some(claim), None),
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
                let owned = OwnedJob {
                    epoch: next_epoch.epoch,
                    claim,
                    revision,
                };
                self.shared().owned.insert(name.clone(), owned);
                Takeover::Done {
                    name,
                    job: Box::new(durable_job),
                }
            }
            TransactionOutcome::Conflict(_) => {
                debug!("{name} was not taken over: its state or record has changed");
                Takeover::NotNeeded
            }
            outcome => {
                // It may have taken effect, so that the job is stored as this entry's.
                self.search_own();
                debug!("takeover of {name} postponed: {outcome:?}");
                Takeover::Postponed
            }
        }
    }

    async fn delete_record(&self, found: &Versioned) -> Takeover {
        let result = self.store.delete(&found.key).await;
        debug!("deleting {}: {result:?}", found.key);
        Takeover::NotNeeded
    }
}

/// The key that exists while an owner is alive.
pub(crate) fn owner_key(owner: Incarnation) -> String {
    format!("{OWNERS_PREFIX}{owner}")
}

fn state_key(name: &RequestKey) -> String {
    format!("{JOBS_PREFIX}{name}")
}

fn open_key(owner: Incarnation, name: &RequestKey) -> String {
    format!("{OPEN_JOBS_PREFIX}{owner}/{name}")
}

fn job_put(key: String, durable_job: &DurableJob) -> Put {
    let record = JobRecord::new(durable_job);
    let value = serde_json::to_vec(&record).expect("a job always serializes");
    Put {
        key,
        value,
        lease: None,
    }
}
