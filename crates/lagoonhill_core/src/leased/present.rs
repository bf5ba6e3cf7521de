//! The present incarnation of a target.

use lagoonhill_protocol::Target;
use lagoonhill_types::prelude::*;

use super::description::Description;
use super::{Announcement, AnnouncementOutcome, TargetIncarnation};

/// The incarnation that answers at the target's address.
#[derive(Debug)]
pub(super) struct Present {
    pub(super) incarnation: TargetIncarnation,
    /// What it has announced; absent if only its answers are known.
    description: Option<Description>,
    /// Whether its leave message was received.
    pub(super) has_left: bool,
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
            has_left: false,
        }
    }

    /// An incarnation that has answered before its first announcement was received.
    pub(super) fn undescribed(incarnation: TargetIncarnation) -> Self {
        Self {
            incarnation,
            description: None,
            has_left: false,
        }
    }

    pub(super) fn newest_announcement(&self) -> Option<&Announcement> {
        self.description.as_ref().map(Description::newest)
    }

    /// The target that accepts runs, unless it drains or has left.
    pub(super) fn usable_target(&self) -> Option<&Target> {
        let newest = self.newest_announcement()?;
        (!newest.draining && !self.has_left).then_some(&newest.target)
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
        if self.has_left {
            return AnnouncementOutcome::OutOfDate;
        }
        let is_verified = announcement.incarnation == self.incarnation;
        let Some(description) = &mut self.description else {
            self.description = Some(Description::new(announcement, now));
            return AnnouncementOutcome::Updated;
        };
        match description.newest().incarnation == self.incarnation {
            true if !is_verified => AnnouncementOutcome::Contradictory,
            false if is_verified => {
                *description = Description::new(announcement, now);
                AnnouncementOutcome::Corrected
            }
            _ => description.update(announcement, now),
        }
    }
}
