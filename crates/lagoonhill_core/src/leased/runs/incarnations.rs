//! Which incarnation of the target is present, and what becomes of its runs when
//! another one takes its place.
//!
//! Announcements and leave messages may be late or of another writer, so none of
//! them ends a run. An announced incarnation becomes the present one when the
//! target itself answers a poll addressed to it.

use lagoonhill_types::prelude::*;

use super::{LeasedEffect, LeasedRuns, Phase, Purpose, Run};
use crate::agent::TaskKey;
use crate::leased::candidates::Candidate;
use crate::leased::present::{Present, is_held_up};
use crate::leased::{
    Announcement, AnnouncementOutcome, AnnouncementReport, CallId, ChangeReason, EndedRun, Refusal,
    RunRef, TargetCall, TargetChange, TargetClock, TargetIncarnation, TargetReply,
};

/// Lists of runs in the answer to a poll.
struct Lists<'a> {
    /// When the poll was sent.
    polled_ms: TimestampMs,
    running: &'a [RunRef],
    ended: &'a [EndedRun],
    is_complete: bool,
}

impl Lists<'_> {
    fn contains(&self, run: &RunRef) -> bool {
        self.running.contains(run) || self.ended.iter().any(|end| end.run == *run)
    }

    /// Whether a run that the lists lack is not there: they are complete, and not
    /// older than the confirmation of its start.
    fn rule_out(&self, run: &Run) -> bool {
        let is_newer =
            matches!(run.phase, Phase::Running { since_ms } if since_ms >= self.polled_ms);
        self.is_complete && !is_newer
    }
}

impl LeasedRuns {
    /// Handles an announcement of a target. Another incarnation than the present one
    /// is polled first. [`LeasedEffect::Announced`] tells what was made of it.
    pub fn announce(&mut self, announcement: Announcement, now: TimestampMs) {
        let newest = self.newest_announcement();
        let mut report =
            AnnouncementReport::new(AnnouncementOutcome::OutOfDate, &announcement, newest);
        if let Some(present) = &mut self.present
            && present.is_claimed_by(&announcement.incarnation)
        {
            let is_held_up = |clock| is_held_up(&announcement, clock, now);
            if !self.clock.is_some_and(is_held_up) {
                report.outcome = present.describe(announcement, now);
            }
        } else if !self.has_departed_since(&announcement) {
            report.outcome = self.candidates.propose(announcement, now);
        }
        self.effects.push(LeasedEffect::Announced(report));
        self.report_target();
        self.poll_candidates(now);
    }

    /// Whether an announcement is an earlier one of an incarnation that has left.
    fn has_departed_since(&self, announcement: &Announcement) -> bool {
        self.departed.as_ref().is_some_and(|departed| {
            departed.incarnation == announcement.incarnation
                && departed.sequence >= announcement.sequence
        })
    }

    /// The newest announcement of the present incarnation.
    pub(super) fn newest_announcement(&self) -> Option<&Announcement> {
        self.present.as_ref()?.newest_announcement()
    }

    /// Polls announced incarnations, so that the target tells whether it is one.
    pub(super) fn poll_candidates(&mut self, now: TimestampMs) {
        for candidate in self.candidates.take_expired(now) {
            self.report_candidate(AnnouncementOutcome::Unconfirmed, &candidate);
        }
        let retry_ms = self.timing.reply_ms * 2;
        for incarnation in self.candidates.due(retry_ms, now) {
            let poll = TargetCall::Poll {
                until_ms: None,
                observed: 0,
                wait_ms: DurationMs::ZERO,
            };
            let limit_ms = self.timing.reply_ms;
            let id = self.call_to(incarnation.clone(), Purpose::Confirm, poll, limit_ms);
            self.candidates.polled(&incarnation, id, now);
        }
    }

    /// Handles the answer to the poll of an announced incarnation.
    pub(super) fn candidate_answered(&mut self, id: CallId, reply: TargetReply, now: TimestampMs) {
        let (listed_born_ms, clock_ms) = match &reply {
            TargetReply::Polled {
                born_ms, clock_ms, ..
            } => (*born_ms, *clock_ms),
            TargetReply::OtherIncarnation => {
                if let Some(candidate) = self.candidates.take(id) {
                    self.report_candidate(AnnouncementOutcome::Refuted, &candidate);
                }
                return;
            }
            TargetReply::Refused(Refusal::Fenced, _) => {
                self.candidates.forget_poll(id);
                return self.poll_candidates(now);
            }
            // The poll is repeated.
            _ => return,
        };
        let Some(candidate) = self.candidates.take(id) else {
            return;
        };
        let claimed = &candidate.announcement.incarnation;
        let is_confirmed = match listed_born_ms {
            Some(born_ms) => claimed.born_ms == 0 || claimed.born_ms == born_ms,
            // Without a birth time, incarnations of one name can't be told apart.
            None => self
                .incarnation()
                .is_none_or(|present| present.name != claimed.name),
        };
        if !is_confirmed {
            return self.report_candidate(AnnouncementOutcome::Refuted, &candidate);
        }
        let confirmed = TargetIncarnation {
            name: claimed.name.clone(),
            born_ms: listed_born_ms.unwrap_or(claimed.born_ms),
        };
        self.report_candidate(AnnouncementOutcome::Confirmed, &candidate);
        if self.incarnation() == Some(&confirmed) {
            return;
        }
        let polled_ms = candidate.polled_ms;
        let clock = TargetClock::read(clock_ms, now);
        let next = if is_held_up(&candidate.announcement, clock, now) {
            Present::undescribed(confirmed)
        } else {
            Present::announced(confirmed, candidate.announcement, now)
        };
        self.adopt(next, ChangeReason::Announced, polled_ms, reply, now);
    }

    fn report_candidate(&mut self, outcome: AnnouncementOutcome, candidate: &Candidate) {
        let report =
            AnnouncementReport::new(outcome, &candidate.announcement, self.newest_announcement());
        self.effects.push(LeasedEffect::Announced(report));
    }

    /// Handles the leave message of a target: no run starts there any more. The message
    /// may be of another writer, and the target may run tasks for a moment after it, so
    /// runs end with the target's answers or their lease.
    pub fn target_left(&mut self, name: &WorkerId, now: TimestampMs) {
        if let Some(present) = &mut self.present
            && present.incarnation.name == *name
        {
            present.leave(now);
            self.report_target();
        }
    }

    /// Gives up an incarnation that has left, once it is silent and its lease has
    /// expired.
    pub(super) fn end_left(&mut self, now: TimestampMs) {
        let has_left = self.present.as_ref().is_some_and(Present::has_left);
        if has_left && !self.has_recent_reply(now) && now >= self.lease_expires_ms {
            self.departed = self.newest_announcement().cloned();
            self.lose_present(ChangeReason::Left, now);
        }
    }

    /// Handles an answer that shows that the target has started again under the name
    /// of the present incarnation.
    pub(super) fn target_restarted(
        &mut self,
        born_ms: u64,
        polled_ms: TimestampMs,
        reply: TargetReply,
        now: TimestampMs,
    ) {
        let Some(present) = &self.present else {
            return;
        };
        let name = present.incarnation.name.clone();
        let next = Present::undescribed(TargetIncarnation { name, born_ms });
        self.adopt(next, ChangeReason::OtherBirthTime, polled_ms, reply, now);
    }

    /// Handles the answer to a poll by an incarnation that is not the present one yet.
    fn adopt(
        &mut self,
        next: Present,
        reason: ChangeReason,
        polled_ms: TimestampMs,
        reply: TargetReply,
        now: TimestampMs,
    ) {
        self.replace_present(next, reason, polled_ms, &reply, now);
        self.take_answer(&reply, now);
        self.poll_answered(polled_ms, 0, reply, now);
    }

    /// Replaces the present incarnation by one that has answered a poll. Runs of the
    /// replaced one are over, except for those whose start the new one may have
    /// received: it has the same name.
    fn replace_present(
        &mut self,
        next: Present,
        reason: ChangeReason,
        polled_ms: TimestampMs,
        reply: &TargetReply,
        now: TimestampMs,
    ) {
        self.mark_crashed(now);
        let present = next.incarnation.clone();
        let has_same_name = self
            .present
            .as_ref()
            .is_some_and(|replaced| replaced.incarnation.name == present.name);
        let replaced = self.present.replace(next);
        // Polls of other candidates may have been answered by the replaced incarnation.
        self.candidates.forget_polls();
        if has_same_name {
            // Bars the calls to the replaced incarnation that are still on their way.
            self.token.0 += 1;
        }
        let before = self.runs.len();
        if let TargetReply::Polled {
            running,
            ended,
            is_complete,
            ..
        } = reply
            && has_same_name
        {
            let lists = Lists {
                polled_ms,
                running,
                ended,
                is_complete: *is_complete,
            };
            self.interrupt_unless_received(&lists, reason, now);
        } else {
            self.interrupt_all(&reason.to_string());
        }
        let kept = self.runs.len();
        self.report_change(reason, replaced, before - kept, now);
        self.reset_incarnation();
    }

    /// Ends the present incarnation with all of its runs.
    pub(super) fn lose_present(&mut self, reason: ChangeReason, now: TimestampMs) {
        self.mark_crashed(now);
        let interrupted = self.runs.len();
        self.interrupt_all(&reason.to_string());
        let lost = self.present.take();
        self.report_change(reason, lost, interrupted, now);
        self.reset_incarnation();
        self.report_target();
    }

    fn report_change(
        &mut self,
        reason: ChangeReason,
        replaced: Option<Present>,
        interrupted: usize,
        now: TimestampMs,
    ) {
        self.effects.push(LeasedEffect::Changed(TargetChange {
            reason,
            replaced: replaced.map(|replaced| replaced.incarnation),
            present: self.incarnation().cloned(),
            reply_age_ms: now.since(self.last_reply_ms),
            interrupted,
            kept: self.runs.len(),
        }));
    }

    /// Resets what is known of an incarnation, except for its runs.
    fn reset_incarnation(&mut self) {
        self.clock = None;
        self.verified_ms = None;
        self.last_end = 0;
        self.unstored.clear();
        self.discarding = false;
        self.foreign.clear();
        self.calls
            .retain(|_, purpose| matches!(purpose, Purpose::Confirm));
        self.polls.clear();
        self.ready = false;
    }

    /// Interrupts the runs that a new incarnation of the same name has not received
    /// and will not receive. A run that it may still receive is stopped there first.
    fn interrupt_unless_received(
        &mut self,
        lists: &Lists<'_>,
        reason: ChangeReason,
        now: TimestampMs,
    ) {
        let keys: Vec<TaskKey> = self.runs.keys().copied().collect();
        for key in keys {
            let Some(run) = self.runs.get_mut(&key) else {
                continue;
            };
            let is_stopping = matches!(run.phase, Phase::Stopping { .. });
            if lists.contains(&run.reference) && !is_stopping {
                run.phase = Phase::Running { since_ms: now };
                run.confirmed_ms = Some(now);
                run.due_ms = None;
            } else if lists.contains(&run.reference) || run.unanswered_starts > 0 {
                run.phase = Phase::Stopping {
                    asked_ms: now,
                    since_ms: None,
                };
                run.due_ms = Some(now);
            } else if lists.rule_out(run) {
                self.interrupt(key, &reason.to_string());
            }
        }
    }
}
