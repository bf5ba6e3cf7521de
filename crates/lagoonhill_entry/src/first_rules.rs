//! Load pattern: every process is killed while the store is down. Callers reach
//! entries without rules; the store is back a moment later.

use std::sync::Arc;
use std::time::Duration;

use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// How long a caller may wait for a new entry's first rules, whatever its job.
const MIN_WAIT_MS: DurationMs = DurationMs(400);

/// An answer is of use until three times the promise, which is at least the job's
/// declared work. So a job may wait for this many times its work before it begins.
const WAIT_FACTOR: u64 = 2;

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

    /// The rules in force. Waits up to `limit` for the first ones of a new entry;
    /// `None` if there are still none.
    pub async fn get(&self, limit: Duration) -> Option<Arc<RuleSet>> {
        let is_known = |rules: &Arc<RuleSet>| rules.revision > Revision(0);
        let left = STARTUP_WINDOW.saturating_sub(self.started_at.elapsed());
        let mut rules = self.rules.clone();
        let known = timeout(limit.min(left), rules.wait_for(is_known)).await;
        let known = known.ok()?.ok()?;
        Some(Arc::clone(&known))
    }
}

/// How long a caller may wait for the first rules so that its answer is still of use:
/// `work_ms` is the declared run time of its job, `deadline_ms` the time after which it
/// no longer waits for an answer.
pub fn first_rules_wait(work_ms: DurationMs, deadline_ms: Option<DurationMs>) -> DurationMs {
    let wait_ms = (work_ms * WAIT_FACTOR).max(MIN_WAIT_MS);
    deadline_ms.map_or(wait_ms, |deadline_ms| {
        wait_ms.min(DurationMs(deadline_ms.0.saturating_sub(work_ms.0)))
    })
}
