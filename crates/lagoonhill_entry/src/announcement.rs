use lagoonhill_platform::{ENTRIES_PREFIX, LeaseId, Store, StoreUnavailable, WriteOutcome};
use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;
use log::{info, warn};

use crate::peers::Peers;

/// Time between two reads of the platform's list of entries.
const REFRESH_INTERVAL_MS: DurationMs = DurationMs::from_secs(10);

/// The same while the list can't be read; short because agents that have lost every
/// entry read the list.
const REFRESH_INTERVAL_WHILE_LOST_MS: DurationMs = DurationMs::from_secs(1);

/// Outlasts two failed refreshes.
const LEASE_DURATION_MS: DurationMs = DurationMs::from_secs(30);

/// This entry's key in the platform's list of entries, under a lease.
#[derive(Debug, Default)]
pub(crate) struct Announcement {
    lease: Option<LeaseId>,
    read_ms: TimestampMs,
    is_lost: bool,
}

impl Announcement {
    /// Renews the lease and reads the list, if that is due.
    pub(crate) async fn refresh<S: Store>(&mut self, store: &S, peers: &Peers) {
        let now = peers.now();
        let pause_ms = if self.lease.is_some() && !self.is_lost {
            REFRESH_INTERVAL_MS
        } else {
            REFRESH_INTERVAL_WHILE_LOST_MS
        };
        if now.since(self.read_ms) < pause_ms {
            return;
        }
        self.read_ms = now;
        match self.renew_and_read(store, peers).await {
            Ok(()) if std::mem::take(&mut self.is_lost) => {
                info!("dependency regained: the list of entries can be read again");
            }
            Err(error) if !self.is_lost => {
                self.is_lost = true;
                warn!(
                    "dependency lost: the list of entries can't be written or read: {error}; keeping the known entries"
                );
            }
            Ok(()) | Err(_) => {}
        }
    }

    async fn renew_and_read<S: Store>(
        &mut self,
        store: &S,
        peers: &Peers,
    ) -> Result<(), StoreUnavailable> {
        if let Some(lease) = self.lease
            && !store.renew(lease).await?
        {
            info!("this entry's lease has expired; announcing it again");
            self.lease = None;
        }
        if self.lease.is_none() {
            self.lease = announce(store, peers).await?;
        }
        for found in store.list(ENTRIES_PREFIX).await? {
            match serde_json::from_slice::<EntryAddress>(&found.value) {
                Ok(address) if address.has_ports() => peers.add_address(address),
                Ok(_) => warn!(
                    "{} is not a valid entry address: a port is 0; remove it if it is not of this system",
                    found.key
                ),
                Err(error) => warn!(
                    "{} is not a valid entry address: {error}; remove it if it is not of this system",
                    found.key
                ),
            }
        }
        Ok(())
    }
}

/// Adds this entry to the list; `None` if the store did not confirm it.
async fn announce<S: Store>(store: &S, peers: &Peers) -> Result<Option<LeaseId>, StoreUnavailable> {
    let lease = store.grant(LEASE_DURATION_MS).await?;
    let address = peers.own_address();
    let key = format!("{ENTRIES_PREFIX}{}", address.incarnation);
    let value = serde_json::to_vec(&address).expect("an address always serializes");
    match store.create(&key, &value, Some(lease)).await {
        WriteOutcome::Done => Ok(Some(lease)),
        outcome @ (WriteOutcome::Conflict(_) | WriteOutcome::Unknown) => {
            warn!("this entry may not be on the list: {outcome:?}; trying again");
            Ok(None)
        }
    }
}
