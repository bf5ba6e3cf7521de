//! Ownership of durable jobs: lease renewal, takeover, and cancels from peers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lagoonhill_platform::{
    CANCEL_REQUESTS_PREFIX, LeaseId, OPEN_JOBS_PREFIX, OWNERS_PREFIX, Store, StoreRevision,
    StoreUnavailable, Versioned, WatchEvent, WriteOutcome,
};
use lagoonhill_types::prelude::*;
use log::{debug, info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::control::ControlEvent;
use crate::durable_job_requests::DurableJobRequests;
use crate::durable_store::{DurableStore, owner_key};
use crate::handle::ControlHandle;

/// An owner without a renewal for this long is gone. Longer than usual outages of
/// the store; the owner's jobs are late by then, but not lost.
const OWNER_LEASE_DURATION_MS: DurationMs = DurationMs::from_secs(6);

/// How long an owner acts as one after it sent a renewal: a tenth less than the
/// lease, as clocks may run at different rates.
const OWNERSHIP_DURATION_MS: DurationMs = DurationMs(5_400);

/// Time between two polls for owners while no durable job is known.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two renewals, and between two polls of the other owners.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls between two searches for jobs of owners that this one never saw.
const POLLS_PER_SEARCH: u32 = 8;

/// A watch of cancels is opened anew after this long without an event.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

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
    /// for ever. Without durable jobs the cost is one store call every 5 s.
    pub(crate) async fn run(
        self,
        needed: watch::Receiver<bool>,
        requests: DurableJobRequests,
        is_owner: watch::Sender<bool>,
    ) {
        self.wait_until_needed(needed).await;
        requests.need_owner();
        info!("durable jobs found: this entry becomes an owner");
        tokio::join!(
            self.renew(is_owner),
            self.monitor_owners(),
            self.follow_cancels()
        );
    }

    async fn wait_until_needed(&self, mut needed: watch::Receiver<bool>) {
        let mut prefix = OPEN_JOBS_PREFIX;
        loop {
            match self.store.list(prefix).await {
                Ok(found) if !found.is_empty() => return,
                // Jobs of an earlier fleet have been searched for by now.
                Ok(_) => prefix = OWNERS_PREFIX,
                Err(error) => debug!("can't search for durable jobs: {error}"),
            }
            let is_needed = needed.wait_for(|is_needed| *is_needed);
            if timeout(IDLE_POLL_INTERVAL, is_needed).await.is_ok() {
                return;
            }
        }
    }

    fn key(&self) -> String {
        owner_key(self.owner)
    }

    async fn renew(&self, is_owner: watch::Sender<bool>) {
        let mut lease = None;
        let mut is_store_lost = false;
        let mut owned_until_ms = TimestampMs(0);
        let mut published = BTreeMap::new();
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
                    // The published counts expired with the previous lease.
                    if lease != previous_lease {
                        published.clear();
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
    async fn publish_waiting(&self, lease: LeaseId, published: &mut BTreeMap<QueueName, usize>) {
        let Ok(counts) = self.control.request(ControlEvent::WaitingDurable).await else {
            return;
        };
        if counts != *published && self.durable_store.publish_waiting(&counts, lease).await {
            *published = counts;
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

    async fn monitor_owners(&self) {
        let mut known: BTreeSet<String> = BTreeSet::new();
        let mut polls: u32 = 0;
        loop {
            sleep(RENEWAL_INTERVAL).await;
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
            let departed: Vec<&String> = known.difference(&live_owners).collect();
            // The first owner searches all jobs every few polls; each owner
            // searches its own.
            let is_first = live_owners.first() == Some(&self.key());
            polls += 1;
            let is_due =
                self.durable_store.take_must_search_own() || polls.is_multiple_of(POLLS_PER_SEARCH);
            if self.must_search.swap(false, Ordering::Relaxed) || is_first && is_due {
                self.take_over(OPEN_JOBS_PREFIX, &live_owners).await;
            } else {
                if is_due {
                    self.take_over(&format!("{OPEN_JOBS_PREFIX}{}/", self.owner), &live_owners)
                        .await;
                }
                for owner in departed {
                    let owner = owner.trim_start_matches(OWNERS_PREFIX);
                    self.take_over(&format!("{OPEN_JOBS_PREFIX}{owner}/"), &live_owners)
                        .await;
                }
            }
            known = live_owners;
        }
    }

    /// Takes over the jobs under a prefix whose owner is not alive, and those of
    /// this owner that its control thread does not know.
    async fn take_over(&self, prefix: &str, live_owners: &BTreeSet<String>) {
        let open = match self.store.list(prefix).await {
            Ok(open) => open,
            Err(error) => return debug!("takeover postponed, the store can't be read: {error}"),
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
            return;
        }
        let found = orphans.len();
        let mut taken_over = 0;
        for orphan in orphans {
            if let Some((name, durable_job)) = self.durable_store.take_over(&orphan).await {
                taken_over += 1;
                self.control.send(ControlEvent::TakeOver {
                    name,
                    job: Box::new(durable_job),
                });
            }
        }
        info!("takeover: this entry now owns {taken_over} of {found} jobs without an owner");
    }

    /// Whether a job is stored as this owner's but unknown to its control thread.
    async fn is_unknown_here(&self, found: &Versioned) -> bool {
        let own = format!("{OPEN_JOBS_PREFIX}{}/", self.owner);
        let Some(Ok(name)) = found.key.strip_prefix(&own).map(str::parse) else {
            return false;
        };
        let request = self
            .control
            .request(|reply| ControlEvent::DurableJobStarted { name, reply });
        request.await.is_ok_and(|has_started| has_started.is_none())
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
