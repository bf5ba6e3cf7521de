use std::time::Duration;

use lagoonhill_platform::{RULES_KEY, Store, StoreUnavailable};
use lagoonhill_rules::{RuleSet, StoredRules};
use log::{info, warn};
use tokio::time::{sleep, timeout};

use crate::handle::ControlHandle;
use crate::rules_follower::Follower;

/// Where the rules are stored, and how they are decoded and watched.
#[derive(Clone, Debug)]
pub struct RulesSource {
    /// The prefix of all keys of this source, which are listed and watched together.
    pub prefix: &'static str,
    /// The key of the rules in the platform's store.
    pub key: &'static str,
    /// The prefix of the keys that drain the zone named after it, if operators
    /// drain zones in this way beside the rules.
    pub drains_prefix: Option<&'static str>,
    /// Decodes the value; the error says what is wrong with it.
    pub decode: fn(&[u8]) -> Result<RuleSet, String>,
    /// The value is read again after this long without an event, in case the watch
    /// has stalled.
    pub reread: Duration,
    /// Delay before the store is read again after a failure or a lost watch.
    pub retry: Duration,
}

impl Default for RulesSource {
    fn default() -> Self {
        let decode = |value: &[u8]| {
            let stored = StoredRules::decode(value).map_err(|error| error.to_string())?;
            Ok(stored.rules)
        };
        Self {
            prefix: RULES_KEY,
            key: RULES_KEY,
            drains_prefix: None,
            decode,
            reread: Duration::from_secs(5),
            retry: Duration::from_secs(1),
        }
    }
}

/// Watches the rules in the platform's store, for ever.
pub(crate) async fn follow_rules<S: Store>(store: S, source: RulesSource, control: ControlHandle) {
    let mut is_store_lost = false;
    let mut follower = Follower::new(source.clone(), control);
    loop {
        let result = follow_once(&store, &source, &mut follower, &mut is_store_lost).await;
        if let Err(error) = result
            && !is_store_lost
        {
            is_store_lost = true;
            warn!("dependency lost: the rules can't be followed: {error}");
        }
        sleep(source.retry).await;
    }
}

/// Reads the rules and drains, then watches them until the watch ends or has missed
/// a change.
async fn follow_once<S: Store>(
    store: &S,
    source: &RulesSource,
    follower: &mut Follower,
    is_store_lost: &mut bool,
) -> Result<(), StoreUnavailable> {
    let listing = store.list_at_revision(source.prefix).await?;
    follower.replace(&listing);
    let from = listing.revision.next();
    let mut events = store.watch(source.prefix, from).await?;
    if std::mem::take(is_store_lost) {
        info!(
            "dependency regained: watching the rules again, at revision {}",
            listing.revision
        );
    }
    loop {
        match timeout(source.reread, events.recv()).await {
            Ok(Some(event)) => follower.apply(&event),
            Ok(None) => return Ok(()),
            Err(_) => {
                let listing = store.list_at_revision(source.prefix).await?;
                if follower.replace(&listing) {
                    info!("the watch missed a change; opening a new one");
                    return Ok(());
                }
            }
        }
    }
}
