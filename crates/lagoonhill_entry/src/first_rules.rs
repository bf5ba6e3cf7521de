//! Load pattern: every process is killed while the store is down. Callers reach
//! entries without rules; the store is back a moment later.

use std::sync::Arc;
use std::time::Duration;

use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// How long a caller waits for a new entry's first rules: about the lateness after
/// which the shorter jobs have expired.
const CALLER_TIMEOUT: Duration = Duration::from_millis(400);

/// An entry still without rules this long after its start is not expected to get
/// any soon: its callers get an answer at once.
const STARTUP_WINDOW: Duration = Duration::from_secs(2);

/// The rules in force, with a short wait for the first ones of a new entry.
#[derive(Clone, Debug)]
pub struct FirstRules {
    rules: watch::Receiver<Arc<RuleSet>>,
    started_at: Instant,
}

impl FirstRules {
    /// For an entry that starts now.
    pub fn new(rules: watch::Receiver<Arc<RuleSet>>) -> Self {
        Self {
            rules,
            started_at: Instant::now(),
        }
    }

    /// The rules in force; the receiver is notified of each newer revision.
    pub fn watch(&self) -> watch::Receiver<Arc<RuleSet>> {
        self.rules.clone()
    }

    /// The rules in force. Waits up to 400 ms for the first ones of a new entry;
    /// `None` if there are still none.
    pub async fn get(&self) -> Option<Arc<RuleSet>> {
        let is_known = |rules: &Arc<RuleSet>| rules.revision > Revision(0);
        let left = STARTUP_WINDOW.saturating_sub(self.started_at.elapsed());
        let mut rules = self.rules.clone();
        let known = timeout(CALLER_TIMEOUT.min(left), rules.wait_for(is_known)).await;
        let known = known.ok()?.ok()?;
        Some(Arc::clone(&known))
    }
}
