//! Announced incarnations that the target has not confirmed yet.

use lagoonhill_types::prelude::*;

use super::{Announcement, AnnouncementOutcome, CallId, TargetIncarnation};

/// Most candidates at a time.
const MAX_CANDIDATES: usize = 4;

/// Time for which an announcement without confirmation is kept. Targets repeat
/// their announcements more often.
const LIFETIME_MS: DurationMs = DurationMs(5_000);

/// An announced incarnation, and the poll that is to confirm it.
#[derive(Debug)]
pub(super) struct Candidate {
    /// The newest announcement of the incarnation.
    pub(super) announcement: Announcement,
    /// The last poll addressed to it.
    pub(super) poll: Option<CallId>,
    /// When that poll was sent.
    pub(super) polled_ms: TimestampMs,
    announced_ms: TimestampMs,
}

/// The incarnations other than the present one that were announced lately.
#[derive(Debug, Default)]
pub(super) struct Candidates(Vec<Candidate>);

impl Candidates {
    /// Adds an announced incarnation, or its newer announcement.
    pub(super) fn propose(
        &mut self,
        announcement: Announcement,
        now: TimestampMs,
    ) -> AnnouncementOutcome {
        let known = self
            .0
            .iter_mut()
            .find(|known| known.announcement.incarnation == announcement.incarnation);
        if let Some(known) = known {
            if announcement.sequence <= known.announcement.sequence {
                return AnnouncementOutcome::OutOfDate;
            }
            known.announcement = announcement;
            known.announced_ms = now;
            return AnnouncementOutcome::Proposed;
        }
        if self.0.len() == MAX_CANDIDATES {
            return AnnouncementOutcome::Unconfirmed;
        }
        self.0.push(Candidate {
            announcement,
            poll: None,
            polled_ms: now,
            announced_ms: now,
        });
        AnnouncementOutcome::Proposed
    }

    /// Candidates whose poll is due: the first, or after `retry_ms` without an answer.
    pub(super) fn due(&self, retry_ms: DurationMs, now: TimestampMs) -> Vec<TargetIncarnation> {
        self.0
            .iter()
            .filter(|known| known.poll.is_none() || now.since(known.polled_ms) >= retry_ms)
            .map(|known| known.announcement.incarnation.clone())
            .collect()
    }

    /// Records the poll of a candidate.
    pub(super) fn polled(
        &mut self,
        incarnation: &TargetIncarnation,
        poll: CallId,
        now: TimestampMs,
    ) {
        let known = self
            .0
            .iter_mut()
            .find(|known| known.announcement.incarnation == *incarnation);
        if let Some(known) = known {
            known.poll = Some(poll);
            known.polled_ms = now;
        }
    }

    /// Makes a poll due again at once.
    pub(super) fn forget_poll(&mut self, poll: CallId) {
        let polled = self.0.iter_mut().find(|known| known.poll == Some(poll));
        if let Some(known) = polled {
            known.poll = None;
        }
    }

    /// Makes all polls due again at once.
    pub(super) fn forget_polls(&mut self) {
        for known in &mut self.0 {
            known.poll = None;
        }
    }

    /// Removes the candidate that a poll is addressed to.
    pub(super) fn take(&mut self, poll: CallId) -> Option<Candidate> {
        let position = self.0.iter().position(|known| known.poll == Some(poll))?;
        Some(self.0.remove(position))
    }

    /// Removes the candidates that were not confirmed in time.
    pub(super) fn take_expired(&mut self, now: TimestampMs) -> Vec<Candidate> {
        let is_expired = |known: &mut Candidate| now.since(known.announced_ms) >= LIFETIME_MS;
        self.0.extract_if(.., is_expired).collect()
    }
}
