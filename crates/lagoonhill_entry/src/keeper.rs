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
use crate::kept_form::{JobForm, StateForm, StateName};

/// Keys that one transaction may name, as the users' store allows.
const MAX_KEYS: usize = 32;

/// How long orders wait for others to ride with them.
const GATHER: Duration = Duration::from_millis(8);

/// Transactions under way at the same time: enough at 60 times the usual time
/// of an answer for a tenth of the jobs to come.
const MAX_UNDER_WAY: usize = 6;

/// Pause before an order that was refused or not answered is tried again.
const RETRY: Duration = Duration::from_millis(100);

/// Tries to store a new job before its caller is told that nobody knows.
const ACCEPT_TRIES: u32 = 6;

/// How long the end of a job can be asked for, at least; the same for how long a
/// cancel waits for its owner.
const END_LIFE: DurationMs = DurationMs::from_secs(180);

/// How long the counts of other owners are believed; callers may be told what
/// is two seconds old.
const WAITING_LIFE: DurationMs = DurationMs(500);

/// Ends within this time share one lease.
const LEASE_SHARING: DurationMs = DurationMs::from_secs(30);

/// One order to store, on its way.
#[derive(Clone, Debug)]
struct Order {
    name: RequestKey,
    what: KeepOrder,
    tries: u32,
}

/// Stores what the control thread orders, several orders in one transaction.
#[derive(Clone, Debug)]
pub(crate) struct Keeper<S> {
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
enum Verdict {
    Stored(Stored),
    /// It is ours at another revision; try again.
    Again,
}

impl<S: Store> Keeper<S> {
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
    pub(crate) async fn run(self, mut orders: mpsc::UnboundedReceiver<(RequestKey, KeepOrder)>) {
        let under_way = Arc::new(Semaphore::new(MAX_UNDER_WAY));
        while let Some((name, order)) = orders.recv().await {
            let mut batch = vec![Order {
                name,
                what: order,
                tries: 0,
            }];
            let until = tokio::time::Instant::now() + GATHER;
            let mut keys = batch[0].keys();
            while keys + MAX_KEYS_OF_ORDER <= MAX_KEYS
                && let Ok(Some((name, order))) = timeout_at(until, orders.recv()).await
            {
                let order = Order {
                    name,
                    what: order,
                    tries: 0,
                };
                keys += order.keys();
                batch.push(order);
            }
            let Ok(permit) = Arc::clone(&under_way).acquire_owned().await else {
                return;
            };
            let keeper = self.clone();
            tokio::spawn(async move {
                keeper.carry_out(batch).await;
                drop(permit);
            });
        }
    }

    /// Tries a batch until the outcome of each of its orders is known.
    async fn carry_out(&self, mut batch: Vec<Order>) {
        while !batch.is_empty() {
            let lease = match self.end_lease(&batch).await {
                Ok(lease) => lease,
                Err(error) => {
                    debug!("ends wait to be stored: {error}");
                    batch = self.give_back(batch, Stored::Refused).await;
                    continue;
                }
            };
            let mut transaction = Transaction::default();
            for order in &batch {
                transaction.join(self.changes(order, lease));
            }
            match self.store.transact(&transaction).await {
                TransactionOutcome::Done(revision) => {
                    for order in batch {
                        self.done(&order, revision);
                        self.report(&order, Stored::Done);
                    }
                    return;
                }
                TransactionOutcome::Conflict(found) => batch = self.sort_out(batch, &found).await,
                TransactionOutcome::LeaseGone => self.shared().lease = None,
                TransactionOutcome::Refused => {
                    batch = self.give_back(batch, Stored::Refused).await;
                }
                TransactionOutcome::Unknown => {
                    batch = self.give_back(batch, Stored::Unknown).await;
                }
            }
        }
    }

    /// Waits, and gives up on new jobs that have been tried often enough.
    /// Refused ones are told so at once: nothing of them is stored.
    async fn give_back(&self, batch: Vec<Order>, why: Stored) -> Vec<Order> {
        let mut left = Vec::with_capacity(batch.len());
        for mut order in batch {
            order.tries += 1;
            let is_new = matches!(order.what, KeepOrder::Accept(_));
            // An earlier try without an answer may have been carried out.
            let was_unknown = order.tries > 1;
            if is_new && why == Stored::Refused && !was_unknown {
                self.report(&order, Stored::Refused);
            } else if is_new && order.tries >= ACCEPT_TRIES {
                self.report(&order, Stored::Unknown);
            } else {
                left.push(order);
            }
        }
        if !left.is_empty() {
            sleep(RETRY).await;
        }
        left
    }

    /// After a conflict: reports the orders that can't be carried out, keeps
    /// the others for another try.
    async fn sort_out(&self, batch: Vec<Order>, found: &[Versioned]) -> Vec<Order> {
        let mut left = Vec::with_capacity(batch.len());
        for order in batch {
            let key = state_key(&order.name);
            let stands = found.iter().find(|found| found.key == key);
            match self.verdict(&order, stands) {
                Verdict::Stored(stored) => {
                    if !matches!(order.what, KeepOrder::Accept(_)) {
                        self.forget(&order.name).await;
                    }
                    self.report(&order, stored);
                }
                Verdict::Again => left.push(order),
            }
        }
        left
    }

    fn verdict(&self, order: &Order, stands: Option<&Versioned>) -> Verdict {
        let is_new = matches!(order.what, KeepOrder::Accept(_));
        let Some(stands) = stands else {
            // A new job is not there yet, as it should be; another's end has
            // been forgotten long ago.
            return if is_new {
                Verdict::Again
            } else {
                Verdict::Stored(Stored::Taken(KeptState::Complete))
            };
        };
        let form: StateForm = match serde_json::from_slice(&stands.value) {
            Ok(form) => form,
            Err(error) => {
                warn!("{} can't be read: {error}; it is left alone", stands.key);
                return Verdict::Stored(Stored::Taken(KeptState::Open));
            }
        };
        let is_ours = form.state == StateName::Open && form.owner == self.owner;
        match &order.what {
            // An earlier try was carried out after all.
            KeepOrder::Accept(_) if is_ours => {
                self.done(order, stands.revision);
                Verdict::Stored(Stored::Done)
            }
            KeepOrder::Finish(state) if form.state == StateName::from(*state) => {
                Verdict::Stored(Stored::Done)
            }
            KeepOrder::Save(_) | KeepOrder::Finish(_) if is_ours => {
                // Either it has moved, or another order of the batch conflicted.
                let name = order.name.clone();
                self.shared().revisions.insert(name, stands.revision);
                Verdict::Again
            }
            _ => Verdict::Stored(Stored::Taken(form.state.into())),
        }
    }

    fn done(&self, order: &Order, revision: StoreRevision) {
        let mut shared = self.shared();
        match order.what {
            KeepOrder::Accept(_) => {
                shared.revisions.insert(order.name.clone(), revision);
            }
            KeepOrder::Save(_) => {}
            KeepOrder::Finish(_) => {
                shared.revisions.remove(&order.name);
            }
        }
    }

    /// A job is over, or another's: our copy goes. What is left is tidied away
    /// by a search.
    async fn forget(&self, name: &RequestKey) {
        self.shared().revisions.remove(name);
        let gone = self.store.delete(&open_key(self.owner, name)).await;
        debug!("the copy of {name} here is gone: {gone:?}");
    }

    fn report(&self, order: &Order, stored: Stored) {
        let name = order.name.clone();
        self.control.tell(ControlEvent::Stored { name, stored });
    }

    /// The changes of one order.
    fn changes(&self, order: &Order, lease: Option<LeaseId>) -> Transaction {
        let state_key = state_key(&order.name);
        let open_key = open_key(self.owner, &order.name);
        let known = self.shared().revisions.get(&order.name).copied();
        let expected = vec![(state_key.clone(), known.unwrap_or_default())];
        match &order.what {
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
        let form = StateForm {
            owner: self.owner,
            state: state.into(),
        };
        let value = serde_json::to_vec(&form).expect("a state always serializes");
        Put { key, value, lease }
    }

    /// A lease for ends, if there is one in the batch.
    async fn end_lease(&self, batch: &[Order]) -> Result<Option<LeaseId>, StoreUnavailable> {
        let is_end = |order: &Order| matches!(order.what, KeepOrder::Finish(_));
        if !batch.iter().any(is_end) {
            return Ok(None);
        }
        self.lease().await.map(Some)
    }

    async fn lease(&self) -> Result<LeaseId, StoreUnavailable> {
        let now = self.clock.now();
        if let Some((lease, granted_ms)) = self.shared().lease
            && now.since(granted_ms) < LEASE_SHARING
        {
            return Ok(lease);
        }
        let lease = self.store.grant(END_LIFE + LEASE_SHARING).await?;
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
    pub(crate) async fn waiting_elsewhere(
        &self,
        queue: &QueueName,
    ) -> Result<usize, StoreUnavailable> {
        let now = self.clock.now();
        if let Some((counts, read_ms)) = &self.shared().waiting
            && now.since(*read_ms) < WAITING_LIFE
        {
            return Ok(counts.get(queue).copied().unwrap_or(0));
        }
        let own = format!("{WAITING_PREFIX}{}", self.owner);
        let mut counts: BTreeMap<QueueName, usize> = BTreeMap::new();
        let found = self.store.list(WAITING_PREFIX).await?;
        for found in found.iter().filter(|found| found.key != own) {
            let theirs: BTreeMap<QueueName, usize> = serde_json::from_slice(&found.value)
                .map_err(|error| StoreUnavailable(format!("{}: {error}", found.key)))?;
            for (queue, count) in theirs {
                *counts.entry(queue).or_default() += count;
            }
        }
        let count = counts.get(queue).copied().unwrap_or(0);
        self.shared().waiting = Some((counts, now));
        Ok(count)
    }

    /// This entry ends: other owners need not wait until its lease has lapsed.
    pub(crate) async fn leave(&self) {
        let gone = self.store.delete(&owner_key(self.owner)).await;
        debug!("no owner any more: {gone:?}");
    }

    /// How a job stands in the store, and at which revision.
    pub(crate) async fn look_up(
        &self,
        name: &RequestKey,
    ) -> Result<Option<(StateForm, StoreRevision)>, StoreUnavailable> {
        let Some(found) = self.store.read(&state_key(name)).await? else {
            return Ok(None);
        };
        let form = serde_json::from_slice(&found.value)
            .map_err(|error| StoreUnavailable(format!("{} can't be read: {error}", found.key)))?;
        Ok(Some((form, found.revision)))
    }

    /// Cancels a job that another entry owns; its owner finds out. Returns how
    /// it stands then, or `None` when there is no such job.
    pub(crate) async fn cancel_elsewhere(
        &self,
        name: &RequestKey,
    ) -> Result<Option<KeptState>, StoreUnavailable> {
        loop {
            let Some((form, revision)) = self.look_up(name).await? else {
                return Ok(None);
            };
            if form.state != StateName::Open {
                return Ok(Some(form.state.into()));
            }
            let lease = Some(self.lease().await?);
            let key = state_key(name);
            let mut put = self.state_put(key.clone(), KeptState::Cancelled, lease);
            let cancelled = StateForm {
                state: StateName::Cancelled,
                ..form.clone()
            };
            put.value = serde_json::to_vec(&cancelled).expect("a state always serializes");
            let transaction = Transaction {
                expected: vec![(key, revision)],
                puts: vec![
                    put,
                    Put {
                        key: format!("{CANCELS_PREFIX}{}/{name}", form.owner),
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
                TransactionOutcome::Refused | TransactionOutcome::Unknown => sleep(RETRY).await,
            }
        }
    }

    /// Takes a job over from an owner that is gone. Returns whether it is ours
    /// now; a job that is over is only tidied away.
    pub(crate) async fn take_over(&self, found: &Versioned) -> Option<(RequestKey, KeptJob)> {
        let form: JobForm = serde_json::from_slice(&found.value)
            .inspect_err(|error| warn!("{} can't be read: {error}; it is left alone", found.key))
            .ok()?;
        let kept = form.into_kept();
        let name = kept.submission.name()?;
        let key = state_key(&name);
        let stands = match self.store.read(&key).await {
            Ok(stands) => stands,
            Err(error) => {
                debug!("a takeover waits: {error}");
                return None;
            }
        };
        let state = stands.as_ref().and_then(|stands| {
            let form: Option<StateForm> = serde_json::from_slice(&stands.value).ok();
            form.filter(|form| form.state == StateName::Open)
        });
        let Some((stands, state)) = stands.zip(state) else {
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
        let next = KeptJob {
            epoch: kept.epoch + 1,
            ..kept.clone()
        };
        let is_ours = found.key == open_key;
        let transaction = Transaction {
            expected: vec![
                (key.clone(), stands.revision),
                (found.key.clone(), found.revision),
            ],
            puts: vec![
                self.state_put(key, KeptState::Open, None),
                job_put(open_key, &next),
            ],
            removes: if is_ours {
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
const MAX_KEYS_OF_ORDER: usize = 3;

impl Order {
    fn keys(&self) -> usize {
        match self.what {
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
    let form = JobForm::new(kept);
    let value = serde_json::to_vec(&form).expect("a job always serializes");
    Put {
        key,
        value,
        lease: None,
    }
}
