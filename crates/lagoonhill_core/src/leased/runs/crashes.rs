//! Whether the target has crashed, and under which runs.
//!
//! A crash is believed on the word of the target's machine alone: another incarnation
//! answers at the target's address. Refused connections are a loss that is not resolved:
//! the target may be cut off and run on until its lease expires, and then answer again.
//! Silence is neither: the target may hang, or this process may have been suspended.

use lagoonhill_protocol::{HeldRun, LossId, TargetAnswered, TargetLoss};
use lagoonhill_types::prelude::*;

use super::{LeasedEffect, LeasedRuns, Phase, Purpose, Run};
use crate::agent::TaskKey;
use crate::leased::present::Present;
use crate::leased::{RunRef, TargetReply};

/// Refused connections that show that the target's process is gone.
const MIN_REFUSALS: u32 = 2;

/// Time after which a poll has reached the target, on the local machine.
const MIN_WATCH_MS: DurationMs = DurationMs(5);

/// Most losses that a report lists as crashes. Entries hear of each loss soon after it,
/// or after the takeover of a job.
const MAX_REPORTED_CRASHES: usize = 16;

/// Calls without an answer since the target last answered.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailedCalls {
    /// Connections to the target's address that were refused.
    refused: u32,
    first_refused_ms: Option<TimestampMs>,
    first: Option<FirstFailure>,
}

/// The first call without an answer.
#[derive(Clone, Copy, Debug)]
struct FirstFailure {
    at_ms: TimestampMs,
    /// Whether a poll waited at the target for the next end of a run.
    was_watching: bool,
}

impl FailedCalls {
    pub(super) fn add(&mut self, is_refused: bool, was_watching: bool, now: TimestampMs) {
        let first = FirstFailure {
            at_ms: now,
            was_watching,
        };
        self.first.get_or_insert(first);
        if is_refused {
            self.refused = self.refused.saturating_add(1);
            self.first_refused_ms.get_or_insert(now);
        }
    }

    /// Whether connections were refused before `limit_ms`.
    fn show_a_loss_before(&self, limit_ms: TimestampMs) -> bool {
        self.refused >= MIN_REFUSALS
            && self
                .first_refused_ms
                .is_some_and(|first_ms| first_ms < limit_ms)
    }
}

impl Purpose {
    /// Whether it is a poll that waits at the target, which answers it as soon as a run
    /// ends. One that was just sent may not have reached the target.
    fn is_watching(self, now: TimestampMs) -> bool {
        match self {
            Self::Poll {
                sent_ms,
                watches_until_ms: Some(until_ms),
                ..
            } => now <= until_ms && now.since(sent_ms) >= MIN_WATCH_MS,
            _ => false,
        }
    }
}

impl LeasedRuns {
    /// Records under which runs the target was lost, if its machine has refused
    /// connections since before their lease expired, and it had not announced that it
    /// would end.
    pub(super) fn mark_lost(&mut self, now: TimestampMs) {
        let Some(present) = &self.present else {
            return;
        };
        let is_lost = self.failed_calls.show_a_loss_before(self.lease_expires_ms);
        if !is_lost || present.is_leaving() {
            return;
        }
        let loss = LossId {
            number: self.losses + 1,
            incarnation: present.incarnation.clone(),
        };
        if self.mark_all(Some(&loss), now) {
            self.losses = loss.number;
            self.lost_ms = Some(now);
        }
    }

    /// Records under which runs the present incarnation has crashed, as another one
    /// answers.
    pub(super) fn mark_crashed(&mut self, now: TimestampMs) {
        let is_leaving = self.present.as_ref().is_none_or(Present::is_leaving);
        let ended_under_lease = now < self.lease_expires_ms
            || self.failed_calls.show_a_loss_before(self.lease_expires_ms);
        if ended_under_lease && !is_leaving {
            self.mark_all(None, now);
        }
    }

    /// Marks the runs that the target holds; returns whether there is one without a mark.
    fn mark_all(&mut self, unresolved: Option<&LossId>, now: TimestampMs) -> bool {
        let sign = self.failed_calls.first.unwrap_or(FirstFailure {
            at_ms: now,
            was_watching: false,
        });
        let loss = |(key, run): (&TaskKey, &Run)| {
            let held = self.held_by_target(run, sign)?;
            let unresolved = unresolved.cloned();
            run.loss
                .is_none()
                .then_some((*key, TargetLoss { held, unresolved }))
        };
        let losses: Vec<_> = self.runs.iter().filter_map(loss).collect();
        let is_any = !losses.is_empty();
        for (key, loss) in losses {
            if let Some(run) = self.runs.get_mut(&key) {
                run.loss = Some(loss);
            }
        }
        is_any
    }

    /// How the target holds a run; `None` if the run has not reached the target, or its
    /// stop was accepted.
    fn held_by_target(&self, run: &Run, sign: FirstFailure) -> Option<HeldRun> {
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
                // A waiting poll would have been answered with the end of the run.
                let unseen_ms = if sign.was_watching {
                    DurationMs::ZERO
                } else {
                    sign.at_ms.since(run.seen_ms)
                };
                Some(HeldRun::Confirmed {
                    before_last_start_ms: last_start_ms.since(started_ms),
                    age_ms: sign.at_ms.since(run.requested_ms),
                    unseen_ms,
                })
            }
            (_, None) if may_have_started => Some(HeldRun::Unconfirmed),
            _ => None,
        }
    }

    /// Records a call that failed, if it did. Polls may have waited at the target until
    /// then: this one, unless it never reached the target, or another one.
    pub(super) fn record_failure(
        &mut self,
        purpose: Purpose,
        reply: &TargetReply,
        now: TimestampMs,
    ) {
        let mut others = self.calls.values();
        let is_watched = others.any(|other| other.is_watching(now));
        match reply {
            TargetReply::NotConnected => self.failed_calls.add(true, is_watched, now),
            TargetReply::Unanswered(_) => {
                let is_watched = is_watched || purpose.is_watching(now);
                self.failed_calls.add(false, is_watched, now);
            }
            _ => {}
        }
    }

    /// Records that a list of the target has these runs at work.
    pub(super) fn record_seen(&mut self, running: &[RunRef], now: TimestampMs) {
        for reference in running {
            let key = self.by_reference.get(reference);
            if let Some(run) = key.and_then(|key| self.runs.get_mut(key)) {
                run.seen_ms = now;
            }
        }
    }

    /// Reports that the present incarnation has listed its runs, unless the poll was sent
    /// before the last loss: that answer may be older than the loss.
    pub(super) fn report_answer(&mut self, listed_born_ms: Option<u64>, polled_ms: TimestampMs) {
        let Some(present) = &self.present else {
            return;
        };
        let incarnation = &present.incarnation;
        // Without a birth time, incarnations of one name can't be told apart.
        if listed_born_ms != Some(incarnation.born_ms)
            || self.lost_ms.is_some_and(|lost_ms| polled_ms < lost_ms)
        {
            return;
        }
        let last = self.answered.as_ref();
        if last.is_some_and(|last| last.losses == self.losses && last.incarnation == *incarnation) {
            return;
        }
        let mut crashes = last.map_or_else(Vec::new, |last| last.crashes.clone());
        if last.is_some_and(|last| last.losses < self.losses && last.incarnation != *incarnation) {
            crashes.push(self.losses);
            let excess = crashes.len().saturating_sub(MAX_REPORTED_CRASHES);
            crashes.drain(..excess);
        }
        let answered = TargetAnswered {
            losses: self.losses,
            crashes,
            incarnation: incarnation.clone(),
        };
        let survived = |loss: &mut TargetLoss| {
            let unresolved = loss.unresolved.as_ref();
            unresolved.is_some_and(|lost| lost.incarnation == answered.incarnation)
        };
        for run in self.runs.values_mut() {
            run.loss.take_if(survived);
        }
        self.answered = Some(answered.clone());
        self.effects.push(LeasedEffect::Answered(answered));
    }
}
