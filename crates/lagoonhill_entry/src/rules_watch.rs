use std::time::Duration;

use lagoonhill_platform::{RULES_KEY, Store, StoreRevision, StoreUnavailable, WatchEvent};
use lagoonhill_rules::{RuleSet, StoredRules};
use log::{info, warn};
use tokio::time::{sleep, timeout};

use crate::control::ControlEvent;
use crate::handle::ControlHandle;

/// Where the rules are stored, and how they are decoded and watched.
#[derive(Clone, Debug)]
pub struct RulesSource {
    /// The key in the platform's store.
    pub key: &'static str,
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
            key: RULES_KEY,
            decode,
            reread: Duration::from_secs(5),
            retry: Duration::from_secs(1),
        }
    }
}

/// Watches the rules in the platform's store, for ever.
pub(crate) async fn follow_rules<S: Store>(store: S, source: RulesSource, control: ControlHandle) {
    let mut is_store_lost = false;
    loop {
        let followed = follow_once(&store, &source, &control, &mut is_store_lost).await;
        if let Err(error) = followed
            && !is_store_lost
        {
            is_store_lost = true;
            warn!("dependency lost: the rules can't be followed: {error}");
        }
        sleep(source.retry).await;
    }
}

/// Reads the rules, then watches them until the watch ends or has missed a change.
async fn follow_once<S: Store>(
    store: &S,
    source: &RulesSource,
    control: &ControlHandle,
    is_store_lost: &mut bool,
) -> Result<(), StoreUnavailable> {
    let mut seen = read_rules(store, source, control).await?;
    let mut events = store.watch(source.key, StoreRevision(seen.0 + 1)).await?;
    if std::mem::take(is_store_lost) {
        info!("dependency regained: watching the rules again, at revision {seen}");
    }
    loop {
        match timeout(source.reread, events.recv()).await {
            // The watch covers a prefix: other keys may begin with this one.
            Ok(Some(WatchEvent::Put(found))) if found.key != source.key => {}
            Ok(Some(WatchEvent::Deleted(key))) if key != source.key => {}
            Ok(Some(WatchEvent::Put(found))) => {
                seen = found.revision;
                install(source, &found.value, control);
            }
            Ok(Some(WatchEvent::Deleted(_))) => {
                warn!("the rules were deleted from the platform; keeping the rules in force");
            }
            Ok(None) => return Ok(()),
            Err(_) => {
                let found = read_rules(store, source, control).await?;
                if found > seen {
                    info!("the watch missed a change; opening a new one");
                    return Ok(());
                }
            }
        }
    }
}

async fn read_rules<S: Store>(
    store: &S,
    source: &RulesSource,
    control: &ControlHandle,
) -> Result<StoreRevision, StoreUnavailable> {
    let Some(found) = store.read(source.key).await? else {
        return Ok(StoreRevision(0));
    };
    install(source, &found.value, control);
    Ok(found.revision)
}

fn install(source: &RulesSource, value: &[u8], control: &ControlHandle) {
    match (source.decode)(value) {
        Ok(rules) => {
            control.send(ControlEvent::Rules(rules));
        }
        Err(error) => warn!("{error}; keeping the rules in force"),
    }
}
