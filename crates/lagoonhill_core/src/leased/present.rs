//! The present incarnation of a target.

use lagoonhill_protocol::Target;
use lagoonhill_types::prelude::*;

use super::description::Description;
use super::{Announcement, AnnouncementOutcome, TargetClock, TargetIncarnation};

/// Longest time from the sending of an announcement to its arrival: a target gives up
/// waiting for its acknowledgement after that.
const MAX_ANNOUNCEMENT_DELAY_MS: DurationMs = DurationMs(1_000);

/// Whether an announcement was sent longer ago than that, by the target's clock.
pub(super) fn is_held_up(
    announcement: &Announcement,
    clock: TargetClock,
    now: TimestampMs,
) -> bool {
    announcement
        .sent_ms
        .is_some_and(|sent_ms| clock.time_since(sent_ms, now) > MAX_ANNOUNCEMENT_DELAY_MS)
}

/// The incarnation that answers at the target's address.
#[derive(Debug)]
pub(super) struct Present {
    pub(super) incarnation: TargetIncarnation,
    /// What it has announced; absent if only its answers are known.
    description: Option<Description>,
    /// When its leave message was received.
    left_ms: Option<TimestampMs>,
}

impl Present {
    /// An incarnation that was announced, then confirmed by the target.
    pub(super) fn announced(
        incarnation: TargetIncarnation,
        announcement: Announcement,
        now: TimestampMs,
    ) -> Self {
        Self {
            incarnation,
            description: Some(Description::new(announcement, now)),
            left_ms: None,
        }
    }

    /// An incarnation that has answered before its first announcement was received.
    pub(super) fn undescribed(incarnation: TargetIncarnation) -> Self {
        Self {
            incarnation,
            description: None,
            left_ms: None,
        }
    }

    pub(super) fn newest_announcement(&self) -> Option<&Announcement> {
        self.description.as_ref().map(Description::newest)
    }

    /// The target that accepts runs, unless it drains or has left.
    pub(super) fn usable_target(&self) -> Option<&Target> {
        let newest = self.newest_announcement()?;
        (!newest.draining && !self.has_left()).then_some(&newest.target)
    }

    /// Whether it is to end: it drains or has sent its leave message.
    pub(super) fn is_leaving(&self) -> bool {
        let newest = self.newest_announcement();
        self.has_left() || newest.is_some_and(|newest| newest.draining)
    }

    /// Whether its leave message counts.
    pub(super) fn has_left(&self) -> bool {
        self.left_ms.is_some()
    }

    /// Records its leave message.
    pub(super) fn leave(&mut self, now: TimestampMs) {
        self.left_ms.get_or_insert(now);
    }

    /// Whether an announcement claims to be of this incarnation. One without a birth
    /// time could be of any incarnation of that name.
    pub(super) fn is_claimed_by(&self, claimed: &TargetIncarnation) -> bool {
        claimed.name == self.incarnation.name
            && (claimed.born_ms == self.incarnation.born_ms || claimed.born_ms == 0)
    }

    /// Handles an announcement that claims to be of this incarnation.
    pub(super) fn describe(
        &mut self,
        announcement: Announcement,
        now: TimestampMs,
    ) -> AnnouncementOutcome {
        let is_on_its_way = |left_ms| now.since(left_ms) < MAX_ANNOUNCEMENT_DELAY_MS;
        if self.left_ms.is_some_and(is_on_its_way) {
            return AnnouncementOutcome::OutOfDate;
        }
        let outcome = self.update_description(announcement, now);
        if outcome == AnnouncementOutcome::Updated {
            // The leave message was of another writer.
            self.left_ms = None;
        }
        outcome
    }

    fn update_description(
        &mut self,
        announcement: Announcement,
        now: TimestampMs,
    ) -> AnnouncementOutcome {
        let Some(description) = &mut self.description else {
            self.description = Some(Description::new(announcement, now));
            return AnnouncementOutcome::Updated;
        };
        let is_of_present = announcement.incarnation == self.incarnation;
        let was_of_present = description.newest().incarnation == self.incarnation;
        if was_of_present && !is_of_present {
            return AnnouncementOutcome::Contradictory;
        }
        if is_of_present && !was_of_present {
            *description = Description::new(announcement, now);
            return AnnouncementOutcome::Corrected;
        }
        description.update(announcement, now)
    }
}
