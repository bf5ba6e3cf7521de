//! Ownership of durable jobs: lease renewal, takeover, and cancels from peers.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lagoonhill_platform::{
    CANCEL_REQUESTS_PREFIX, LeaseId, OPEN_JOBS_PREFIX, OWNERS_PREFIX, Store, StoreRevision,
    StoreUnavailable, Versioned, WatchEvent, WriteOutcome,
};
use lagoonhill_types::prelude::*;
use log::{debug, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::control::ControlEvent;
use crate::durable_job_requests::DurableJobRequests;
use crate::durable_store::{DurableStore, Takeover, owner_key};
use crate::handle::ControlHandle;
use crate::published_counts::PublishedCounts;

/// An owner without a renewal for this long is gone. Longer than usual outages of
/// the store; the owner's jobs are late by then, but not lost.
const OWNER_LEASE_DURATION_MS: DurationMs = DurationMs::from_secs(6);

/// How long an owner acts as one after it sent a renewal: a tenth less than the
/// lease, as clocks may run at different rates.
const OWNERSHIP_DURATION_MS: DurationMs = DurationMs(5_400);

/// Time between two searches for durable jobs by an entry that knows of none, beside its
/// watch of the owners, which tells of all owners since the last search.
const IDLE_SEARCH_INTERVAL: Duration = Duration::from_secs(60);

/// Wait of one call of a watch of the owners. A connection that falls silent delays the
/// takeover of a first job by so much.
const OWNERS_WATCH_WAIT_MS: DurationMs = DurationMs::from_secs(5);

/// Time between two renewals, and between two polls of the other owners.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls between two searches for jobs of owners that this one never saw.
const POLLS_PER_SEARCH: u32 = 8;

/// Time for further owners to leave before the owners are polled because one has left.
const DEPARTURE_DELAY: Duration = Duration::from_millis(20);

/// Changes of the owners that wait to be handled.
const OWNER_CHANGES_BUFFER: usize = 64;

/// A watch of cancels is opened anew after this long without an event.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// What a watch tells about the owners.
#[derive(Debug)]
enum OwnerChange {
    /// The owner of this key has come.
    Came(String),
    /// The owner of this key has left, or its lease has ended.
    Left(String),
    /// The watch was interrupted: other changes may have been missed.
    Missed,
}

/// Renews this entry's lease as an owner of durable jobs, and takes over the jobs
/// of owners that are gone.
pub(crate) struct Ownership<S> {
    store: S,
    owner: Incarnation,
    clock: Clock,
    control: ControlHandle,
    durable_store: DurableStore<S>,
    /// The store may hold jobs of this owner that its control thread does not know.
    must_search: AtomicBool,
}

impl<S: Store> Ownership<S> {
    pub(crate) fn new(
        store: S,
        owner: Incarnation,
        clock: Clock,
        control: ControlHandle,
        durable_store: DurableStore<S>,
    ) -> Self {
        Self {
            store,
            owner,
            clock,
            control,
            durable_store,
            must_search: AtomicBool::new(false),
        }
    }

    /// Waits until there are durable jobs, here or at another owner, then runs
    /// for ever. Without durable jobs it keeps one watch open.
    pub(crate) async fn run(
        self,
        mut needed: watch::Receiver<bool>,
        requests: DurableJobRequests,
        is_owner: watch::Sender<bool>,
    ) {
        tokio::select! {
            _ = needed.wait_for(|is_needed| *is_needed) => {}
            () = self.find_durable_jobs() => {}
        }
        requests.need_owner();
        info!("durable jobs found: this entry becomes an owner");
        let (sender, changes) = mpsc::channel(OWNER_CHANGES_BUFFER);
        tokio::join!(
            self.renew(is_owner),
            self.follow_owners(sender),
            self.monitor_owners(changes),
            self.follow_cancels()
        );
    }

    /// Waits until the store has a durable job or an owner, or has had an owner since.
    async fn find_durable_jobs(&self) {
        loop {
            match self.find_durable_jobs_once().await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => debug!("can't search for durable jobs: {error}"),
            }
            sleep(RENEWAL_INTERVAL).await;
        }
    }

    /// Returns whether this entry must be an owner, once the store shows that it must, or
    /// when a new search is due because the watch is lost or old.
    ///
    /// An owner may accept a job and leave again before any other entry looks, so it is
    /// the watch that counts: it tells of all owners since the lists were read, and jobs of
    /// earlier ones are in the list.
    async fn find_durable_jobs_once(&self) -> Result<bool, StoreUnavailable> {
        let owners = self.store.list_at_revision(OWNERS_PREFIX).await?;
        if !owners.values.is_empty() || !self.store.list(OPEN_JOBS_PREFIX).await?.is_empty() {
            return Ok(true);
        }
        let from = owners.revision.next();
        let mut events = self
            .store
            .watch_with_wait(OWNERS_PREFIX, from, OWNERS_WATCH_WAIT_MS)
            .await?;
        let event = timeout(IDLE_SEARCH_INTERVAL, events.recv()).await;
        Ok(matches!(event, Ok(Some(_))))
    }

    fn key(&self) -> String {
        owner_key(self.owner)
    }

    async fn renew(&self, is_owner: watch::Sender<bool>) {
        let mut lease = None;
        let mut is_store_lost = false;
        let mut owned_until_ms = TimestampMs(0);
        let mut published = PublishedCounts::new(self.store.clone(), self.owner);
        loop {
            let sent_ms = self.clock.now();
            let previous_lease = lease;
            match self.renew_once(&mut lease).await {
                Ok(true) => {
                    if sent_ms >= owned_until_ms {
                        self.must_search.store(true, Ordering::Relaxed);
                    }
                    owned_until_ms = sent_ms + OWNERSHIP_DURATION_MS;
                    self.control.send(ControlEvent::OwnedUntil(owned_until_ms));
                    is_owner.send_replace(true);
                    if lease != previous_lease {
                        published.lease_ended();
                    }
                    if let Some(lease) = lease {
                        self.publish_waiting(lease, &mut published).await;
                    }
                    if std::mem::take(&mut is_store_lost) {
                        info!("dependency regained: durable jobs can be stored again");
                    }
                }
                Err(error) if !is_store_lost => {
                    is_store_lost = true;
                    warn!("dependency lost: durable jobs can't be stored: {error}");
                }
                Ok(false) | Err(_) => {}
            }
            sleep(RENEWAL_INTERVAL).await;
        }
    }

    /// Publishes how many jobs wait here, if that has changed.
    async fn publish_waiting(&self, lease: LeaseId, published: &mut PublishedCounts<S>) {
        if let Ok(counts) = self.control.request(ControlEvent::WaitingDurable).await {
            published.publish(&counts, lease).await;
        }
    }

    /// Returns whether the store holds this owner's key for a full lease from now.
    async fn renew_once(&self, lease: &mut Option<LeaseId>) -> Result<bool, StoreUnavailable> {
        if let Some(held) = *lease {
            if self.store.renew(held).await? {
                return Ok(true);
            }
            *lease = None;
        }
        let granted = self.store.grant(OWNER_LEASE_DURATION_MS).await?;
        match self.store.create(&self.key(), b"{}", Some(granted)).await {
            WriteOutcome::Done => {
                *lease = Some(granted);
                Ok(true)
            }
            outcome @ (WriteOutcome::Conflict(_) | WriteOutcome::Unknown) => {
                debug!("the owner key was not created: {outcome:?}");
                Ok(false)
            }
        }
    }

    /// Watches the owners, so that none can come and leave between two polls unnoticed.
    async fn follow_owners(&self, changes: mpsc::Sender<OwnerChange>) {
        while !changes.is_closed() {
            if let Err(error) = self.follow_owners_once(&changes).await {
                debug!("can't watch the owners: {error}");
            }
            sleep(RENEWAL_INTERVAL).await;
            let _ = changes.send(OwnerChange::Missed).await;
        }
    }

    async fn follow_owners_once(
        &self,
        changes: &mpsc::Sender<OwnerChange>,
    ) -> Result<(), StoreUnavailable> {
        let owners = self.store.list_at_revision(OWNERS_PREFIX).await?;
        for found in owners.values {
            let _ = changes.send(OwnerChange::Came(found.key)).await;
        }
        let from = owners.revision.next();
        let mut events = self
            .store
            .watch_with_wait(OWNERS_PREFIX, from, OWNERS_WATCH_WAIT_MS)
            .await?;
        while let Some(event) = events.recv().await {
            let change = match event {
                WatchEvent::Put(found) => OwnerChange::Came(found.key),
                WatchEvent::Deleted { key, .. } => OwnerChange::Left(key),
            };
            let _ = changes.send(change).await;
        }
        Ok(())
    }

    /// Polls the owners, and takes over the jobs of those that have left since the last
    /// poll, whether an earlier poll had seen them or only the watch.
    async fn monitor_owners(&self, mut changes: mpsc::Receiver<OwnerChange>) {
        let mut known: BTreeSet<String> = BTreeSet::new();
        let mut was_first = false;
        let mut has_missed = false;
        let mut polls: u32 = 0;
        loop {
            has_missed |= self.wait_for_poll(&mut changes, &mut known).await;
            let live_owners = match self.store.list(OWNERS_PREFIX).await {
                Ok(live_owners) => live_owners,
                Err(error) => {
                    debug!("can't list the other owners: {error}");
                    continue;
                }
            };
            let live_owners: BTreeSet<String> =
                live_owners.into_iter().map(|found| found.key).collect();
            if !live_owners.contains(&self.key()) {
                continue;
            }
            // The first owner searches all jobs every few polls, and as soon as it is the
            // first or has missed a change; each owner searches its own.
            let is_first = live_owners.first() == Some(&self.key());
            polls += 1;
            let must_search = std::mem::take(&mut has_missed)
                || is_first && !was_first
                || polls.is_multiple_of(POLLS_PER_SEARCH);
            let must_search = self.durable_store.take_must_search_own() || must_search;
            if self.must_search.swap(false, Ordering::Relaxed) || is_first && must_search {
                let is_done = self.take_over(OPEN_JOBS_PREFIX, &live_owners).await;
                self.must_search.fetch_or(!is_done, Ordering::Relaxed);
                was_first = is_first;
                known = live_owners;
                continue;
            }
            was_first = is_first;
            if must_search {
                let own = format!("{OPEN_JOBS_PREFIX}{}/", self.owner);
                if !self.take_over(&own, &live_owners).await {
                    self.durable_store.search_own();
                }
            }
            let mut remaining = BTreeSet::new();
            for key in known.difference(&live_owners) {
                let owner = key.trim_start_matches(OWNERS_PREFIX);
                let jobs = format!("{OPEN_JOBS_PREFIX}{owner}/");
                if !self.take_over(&jobs, &live_owners).await {
                    remaining.insert(key.clone());
                }
            }
            known = live_owners;
            known.append(&mut remaining);
        }
    }

    /// Waits until the next poll is due: a moment after an owner has left, or at the
    /// usual interval. Adds the owners that have come or left to `known`, and returns
    /// whether changes may have been missed.
    async fn wait_for_poll(
        &self,
        changes: &mut mpsc::Receiver<OwnerChange>,
        known: &mut BTreeSet<String>,
    ) -> bool {
        let mut due = Instant::now() + RENEWAL_INTERVAL;
        let mut has_missed = false;
        while let Ok(Some(change)) = timeout_at(due, changes.recv()).await {
            match change {
                OwnerChange::Came(key) => {
                    known.insert(key);
                }
                OwnerChange::Left(key) => {
                    known.insert(key);
                    due = due.min(Instant::now() + DEPARTURE_DELAY);
                }
                OwnerChange::Missed => has_missed = true,
            }
        }
        has_missed
    }

    /// Takes over the jobs under a prefix whose owner is not alive, and those of
    /// this owner that its control thread does not know. Returns whether none is left
    /// for another try.
    async fn take_over(&self, prefix: &str, live_owners: &BTreeSet<String>) -> bool {
        let open = match self.store.list(prefix).await {
            Ok(open) => open,
            Err(error) => {
                debug!("takeover postponed, the store can't be read: {error}");
                return false;
            }
        };
        let is_orphan = |found: &Versioned| {
            let rest = found.key.trim_start_matches(OPEN_JOBS_PREFIX);
            let owner = rest.split_once('/').map_or(rest, |(owner, _)| owner);
            !live_owners.contains(&format!("{OWNERS_PREFIX}{owner}"))
        };
        let mut orphans = Vec::new();
        for found in open {
            if is_orphan(&found) || self.is_unknown_here(&found).await {
                orphans.push(found);
            }
        }
        if orphans.is_empty() {
            return true;
        }
        let found = orphans.len();
        let mut taken_over = 0;
        let mut postponed = 0;
        for orphan in orphans {
            match self.durable_store.take_over(&orphan).await {
                Takeover::Done { name, job } => {
                    taken_over += 1;
                    self.control.send(ControlEvent::TakeOver { name, job });
                }
                Takeover::NotNeeded => {}
                Takeover::Postponed => postponed += 1,
            }
        }
        info!(
            "takeover: this entry now owns {taken_over} of {found} jobs without an owner, {postponed} postponed"
        );
        postponed == 0
    }

    /// Whether a job is stored as this owner's but unknown to its control thread. A job
    /// that is about to be stored is known: the answer to its write may be on its way.
    async fn is_unknown_here(&self, found: &Versioned) -> bool {
        let own = format!("{OPEN_JOBS_PREFIX}{}/", self.owner);
        let Some(Ok(name)) = found.key.strip_prefix(&own).map(str::parse) else {
            return false;
        };
        let request = self
            .control
            .request(|reply| ControlEvent::KnowsDurableJob { name, reply });
        request.await.is_ok_and(|is_known| !is_known)
    }

    /// Watches for cancels that other entries have received.
    async fn follow_cancels(&self) {
        let prefix = format!("{CANCEL_REQUESTS_PREFIX}{}/", self.owner);
        loop {
            if let Err(error) = self.follow_cancels_once(&prefix).await {
                debug!("can't watch for cancels: {error}");
            }
            sleep(RENEWAL_INTERVAL).await;
        }
    }

    async fn follow_cancels_once(&self, prefix: &str) -> Result<(), StoreUnavailable> {
        let mut newest = StoreRevision::default();
        for found in self.store.list(prefix).await? {
            newest = newest.max(found.revision);
            self.cancel(prefix, &found.key);
        }
        if newest == StoreRevision::default() {
            // No cancel to continue from: start at a recent revision of the store.
            newest = self.newest().await?;
        }
        let mut events = self.store.watch(prefix, newest.next()).await?;
        while let Ok(Some(event)) = timeout(WATCH_TIMEOUT, events.recv()).await {
            if let WatchEvent::Put(found) = event {
                self.cancel(prefix, &found.key);
            }
        }
        Ok(())
    }

    /// The revision of this owner's key, which is not newer than the store's.
    async fn newest(&self) -> Result<StoreRevision, StoreUnavailable> {
        let own = self.store.read(&self.key()).await?;
        Ok(own.map_or_else(StoreRevision::default, |own| own.revision))
    }

    fn cancel(&self, prefix: &str, key: &str) {
        if let Some(name) = key.strip_prefix(prefix)
            && let Ok(name) = name.parse()
        {
            self.control.send(ControlEvent::CancelledAtPeer(name));
        }
    }
}
