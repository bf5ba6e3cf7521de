//! Load pattern: every process has been killed while the store is away. Callers
//! find entries that know no rules; the store is back a moment later.

use std::sync::Arc;
use std::time::Duration;

use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// How long a caller waits for a new entry's first rules: about as long as the
/// shorter jobs may be late and still be of use.
const CALLER_TIMEOUT: Duration = Duration::from_millis(400);

/// An entry that has had no rules for so long will not have any in a moment
/// either: its callers are told at once.
const STARTUP_WINDOW: Duration = Duration::from_secs(2);

/// The rules in force, and those that a new entry is about to have.
#[derive(Clone, Debug)]
pub struct FirstRules {
    rules: watch::Receiver<Arc<RuleSet>>,
    started_at: Instant,
}

impl FirstRules {
    /// Of an entry that starts now.
    pub fn new(rules: watch::Receiver<Arc<RuleSet>>) -> Self {
        Self {
            rules,
            started_at: Instant::now(),
        }
    }

    /// The rules in force; marked as changed whenever newer ones are.
    pub fn watch(&self) -> watch::Receiver<Arc<RuleSet>> {
        self.rules.clone()
    }

    /// The rules in force. A new entry without any waits a moment for its
    /// first; `None` if it still has none.
    pub async fn get(&self) -> Option<Arc<RuleSet>> {
        let is_known = |rules: &Arc<RuleSet>| rules.revision > Revision(0);
        let left = STARTUP_WINDOW.saturating_sub(self.started_at.elapsed());
        let mut rules = self.rules.clone();
        let known = timeout(CALLER_TIMEOUT.min(left), rules.wait_for(is_known)).await;
        let known = known.ok()?.ok()?;
        Some(Arc::clone(&known))
    }
}
