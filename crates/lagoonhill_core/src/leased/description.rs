//! What the present incarnation of a target has announced of itself.

use lagoonhill_protocol::Target;
use lagoonhill_types::prelude::*;

use super::{Announcement, AnnouncementOutcome};

/// Sequence numbers that an incarnation may use up at once, beside one per
/// millisecond: announcements that nobody has received have numbers too.
const SEQUENCE_SLACK: u64 = 1_000;

/// Shortest time between two announcements that confirm each other: several that were
/// held up may arrive together.
const MIN_CONFIRMATION_GAP_MS: DurationMs = DurationMs(250);

/// Time without an announcement that continues the newest one, after which earlier
/// ones count as contradictions: two intervals between announcements.
const SILENCE_MS: DurationMs = DurationMs(3_000);

/// Most contradicting announcements that are remembered.
const MAX_CONTRADICTIONS: usize = 4;

/// The announcement that describes an incarnation.
///
/// An announcement that does not continue it, because of its service, address or
/// sequence number, is of another writer or late. Two of them in order mean that
/// the description itself was of another writer: they replace it.
#[derive(Debug)]
pub(super) struct Description {
    newest: Received,
    contradictions: Vec<Received>,
}

#[derive(Debug)]
struct Received {
    announcement: Announcement,
    at_ms: TimestampMs,
}

impl Received {
    /// Whether `later` is an announcement of the same writer, sent afterwards.
    fn is_continued_by(&self, later: &Announcement, now: TimestampMs) -> bool {
        let earlier = &self.announcement;
        let steps = later.sequence.checked_sub(earlier.sequence);
        let max_steps = now.since(self.at_ms).0.saturating_add(SEQUENCE_SLACK);
        earlier.incarnation == later.incarnation
            && is_same_target(&earlier.target, &later.target)
            && steps.is_some_and(|steps| (1..=max_steps).contains(&steps))
    }
}

fn is_same_target(left: &Target, right: &Target) -> bool {
    left.service == right.service && left.address == right.address
}

impl Description {
    pub(super) fn new(announcement: Announcement, now: TimestampMs) -> Self {
        Self {
            newest: Received {
                announcement,
                at_ms: now,
            },
            contradictions: Vec::new(),
        }
    }

    /// The announcement in force.
    pub(super) fn newest(&self) -> &Announcement {
        &self.newest.announcement
    }

    /// Handles a further announcement under the name of the incarnation.
    pub(super) fn update(
        &mut self,
        announcement: Announcement,
        now: TimestampMs,
    ) -> AnnouncementOutcome {
        if self.newest.is_continued_by(&announcement, now) {
            *self = Self::new(announcement, now);
            return AnnouncementOutcome::Updated;
        }
        let confirms = |earlier: &Received| {
            now.since(earlier.at_ms) >= MIN_CONFIRMATION_GAP_MS
                && earlier.is_continued_by(&announcement, now)
        };
        if self.contradictions.iter().any(confirms) {
            *self = Self::new(announcement, now);
            return AnnouncementOutcome::Corrected;
        }
        let newest = &self.newest.announcement;
        let is_late = announcement.incarnation == newest.incarnation
            && announcement.sequence <= newest.sequence
            && is_same_target(&announcement.target, &newest.target);
        if is_late && now.since(self.newest.at_ms) < SILENCE_MS {
            return AnnouncementOutcome::OutOfDate;
        }
        if self.contradictions.len() == MAX_CONTRADICTIONS {
            self.contradictions.remove(0);
        }
        self.contradictions.push(Received {
            announcement,
            at_ms: now,
        });
        if is_late {
            AnnouncementOutcome::OutOfDate
        } else {
            AnnouncementOutcome::Contradictory
        }
    }
}
