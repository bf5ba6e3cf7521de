//! Whether the target has crashed, and under which runs.
//!
//! A crash is believed on the word of the target's machine alone: nothing listens at
//! the target's address any more, or another life answers there. Silence is none: the
//! target may hang, or this process may have been suspended.

use lagoonhill_protocol::Interruption;
use lagoonhill_types::prelude::*;

use super::{LeasedRuns, Phase, Run};
use crate::agent::TaskKey;
use crate::leased::present::Present;

/// Refused connections that show that the target's process is gone.
const MIN_REFUSALS: u32 = 2;

/// Connections to the target's address that were refused in a row.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Refusals {
    count: u32,
    first_ms: Option<TimestampMs>,
}

impl Refusals {
    pub(super) fn add(&mut self, now: TimestampMs) {
        self.count = self.count.saturating_add(1);
        self.first_ms.get_or_insert(now);
    }

    /// Whether the process was gone before `limit_ms`.
    fn show_an_end_before(&self, limit_ms: TimestampMs) -> bool {
        self.count >= MIN_REFUSALS && self.first_ms.is_some_and(|first_ms| first_ms < limit_ms)
    }
}

impl LeasedRuns {
    /// Records under which runs the target has crashed, if it is gone: its life ended
    /// while their lease was valid, and it had not announced that it would.
    pub(super) fn mark_gone(&mut self) {
        let is_over = self.refusals.show_an_end_before(self.lease_expires_ms);
        if is_over && !self.is_leaving() {
            self.mark_all();
        }
    }

    /// Records under which runs the present life has crashed, as another one answers.
    pub(super) fn mark_crashed(&mut self, now: TimestampMs) {
        if now < self.lease_expires_ms && !self.is_leaving() {
            self.mark_all();
        }
    }

    fn is_leaving(&self) -> bool {
        self.present.as_ref().is_none_or(Present::is_leaving)
    }

    fn mark_all(&mut self) {
        let crash = |(key, run): (&TaskKey, &Run)| Some((*key, self.held_by_target(run)?));
        let crashes: Vec<_> = self.runs.iter().filter_map(crash).collect();
        for (key, crash) in crashes {
            if let Some(run) = self.runs.get_mut(&key) {
                run.crash.get_or_insert(crash);
            }
        }
    }

    /// What an end of the target's life means for a run; nothing if the run has not
    /// reached the target, or its stop was accepted.
    fn held_by_target(&self, run: &Run) -> Option<Interruption> {
        let is_at_work = matches!(
            run.phase,
            Phase::Running { .. } | Phase::Stopping { since_ms: None, .. }
        );
        let is_stopped = matches!(
            run.phase,
            Phase::Stopping {
                since_ms: Some(_),
                ..
            }
        );
        let may_have_started = !is_stopped && run.unanswered_starts > run.unsent_starts;
        match (is_at_work, run.confirmed_ms) {
            (true, Some(started_ms)) => {
                let starts = self.runs.values().filter_map(|run| run.confirmed_ms);
                let last_start_ms = starts.max().unwrap_or(started_ms);
                Some(Interruption::TargetCrashed {
                    before_last_start_ms: last_start_ms.since(started_ms),
                })
            }
            (_, None) if may_have_started => Some(Interruption::TargetCrashedAtStart),
            _ => None,
        }
    }
}
