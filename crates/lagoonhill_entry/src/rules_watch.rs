use std::time::Duration;

use lagoonhill_platform::{RULES_KEY, Store, StoreRevision, StoreUnavailable, WatchEvent};
use lagoonhill_rules::StoredRules;
use log::{debug, warn};
use tokio::time::{sleep, timeout};

use crate::control::ControlEvent;
use crate::handle::ControlHandle;

/// The value is read again this often, in case the watch has gone silent.
const REREAD: Duration = Duration::from_secs(5);

const RETRY: Duration = Duration::from_secs(1);

/// Follows the rules in the platform's store, for ever.
pub(crate) async fn follow_rules<S: Store>(store: S, control: ControlHandle) {
    loop {
        if let Err(error) = follow_once(&store, &control).await {
            debug!("the rules can't be read: {error}");
        }
        sleep(RETRY).await;
    }
}

/// Reads, then watches until the watch is lost or must be distrusted.
async fn follow_once<S: Store>(store: &S, control: &ControlHandle) -> Result<(), StoreUnavailable> {
    let mut seen = read_rules(store, control).await?;
    let mut events = store.watch(RULES_KEY, StoreRevision(seen.0 + 1)).await?;
    loop {
        match timeout(REREAD, events.recv()).await {
            Ok(Some(WatchEvent::Put(found))) => {
                seen = found.revision;
                install(&found.value, control);
            }
            Ok(Some(WatchEvent::Deleted(_))) => {
                warn!("the rules were deleted from the platform; the ones in force stay");
            }
            Ok(None) => return Ok(()),
            Err(_) => {
                let found = read_rules(store, control).await?;
                if found > seen {
                    debug!("the watch missed a change; opening a new one");
                    return Ok(());
                }
            }
        }
    }
}

async fn read_rules<S: Store>(
    store: &S,
    control: &ControlHandle,
) -> Result<StoreRevision, StoreUnavailable> {
    let Some(found) = store.read(RULES_KEY).await? else {
        return Ok(StoreRevision(0));
    };
    install(&found.value, control);
    Ok(found.revision)
}

fn install(value: &[u8], control: &ControlHandle) {
    match StoredRules::decode(value) {
        Ok(stored) => {
            control.tell(ControlEvent::Rules(stored.rules));
        }
        Err(error) => warn!("{error}; the rules in force stay"),
    }
}
