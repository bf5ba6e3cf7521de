use lagoonhill_core::entry::{KeyBinding, TokenBucket};
use lagoonhill_platform::{LeaseId, REQUEST_KEYS_PREFIX, Store, WriteOutcome};
use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;
use log::warn;
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::handle::ControlHandle;

/// How long a key stays bound: longer than any job's deadline, shorter than the
/// retention time of an answer.
const BINDING_DURATION: DurationMs = DurationMs::from_secs(600);

/// Keys bound within this time of a grant share its lease.
const LEASE_REUSE_WINDOW: DurationMs = DurationMs::from_secs(60);

/// Binds callers' idempotency keys to this entry in the platform's store.
pub(crate) struct KeyBinder<S> {
    store: Option<S>,
    address: EntryAddress,
    rate: PerSecond,
    bucket: TokenBucket,
    lease: Option<(LeaseId, TimestampMs)>,
    clock: Clock,
    control: ControlHandle,
}

impl<S: Store> KeyBinder<S> {
    pub(crate) fn new(
        store: Option<S>,
        address: EntryAddress,
        rate: PerSecond,
        clock: Clock,
        control: ControlHandle,
    ) -> Self {
        Self {
            store,
            address,
            rate,
            bucket: TokenBucket::default(),
            lease: None,
            clock,
            control,
        }
    }

    /// Binds keys until the sender is dropped. Each key is bound in its own task, so
    /// that a slow answer delays no other key.
    pub(crate) async fn run(mut self, mut keys: mpsc::UnboundedReceiver<RequestKey>) {
        while let Some(key) = keys.recv().await {
            let control = self.control.clone();
            let rate = f64::from(self.rate.0);
            if self.bucket.take(1, rate, self.clock.now()).is_err() {
                let binding = KeyBinding::OverBudget;
                control.send(ControlEvent::KeyBound { key, binding });
                continue;
            }
            let lease = self.lease().await;
            let (Some(store), Some(lease)) = (self.store.clone(), lease) else {
                let binding = KeyBinding::Unavailable;
                control.send(ControlEvent::KeyBound { key, binding });
                continue;
            };
            let address = self.address;
            tokio::spawn(async move {
                let binding = bind(&store, &key, address, lease).await;
                control.send(ControlEvent::KeyBound { key, binding });
            });
        }
    }

    async fn lease(&mut self) -> Option<LeaseId> {
        let now = self.clock.now();
        if let Some((lease, granted_ms)) = self.lease
            && now.since(granted_ms) < LEASE_REUSE_WINDOW
        {
            return Some(lease);
        }
        let store = self.store.as_ref()?;
        match store.grant(BINDING_DURATION + LEASE_REUSE_WINDOW).await {
            Ok(lease) => {
                self.lease = Some((lease, now));
                Some(lease)
            }
            Err(error) => {
                warn!("can't bind idempotency keys, no lease: {error}");
                None
            }
        }
    }
}

async fn bind<S: Store>(
    store: &S,
    key: &RequestKey,
    address: EntryAddress,
    lease: LeaseId,
) -> KeyBinding {
    let path = format!("{REQUEST_KEYS_PREFIX}{key}");
    let value = serde_json::to_vec(&address).expect("an address always serializes");
    let found = match store.create(&path, &value, Some(lease)).await {
        WriteOutcome::Done => return KeyBinding::Mine,
        WriteOutcome::Conflict(found) => found,
        WriteOutcome::Unknown => match store.read(&path).await {
            Ok(found) => found,
            Err(_) => return KeyBinding::Unavailable,
        },
    };
    let owner: Option<EntryAddress> =
        found.and_then(|found| serde_json::from_slice(&found.value).ok());
    match owner {
        Some(owner) if owner.incarnation == address.incarnation => KeyBinding::Mine,
        Some(owner) => KeyBinding::Other(owner),
        None => KeyBinding::Unavailable,
    }
}
