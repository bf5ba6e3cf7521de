//! Reports of handled announcements, for logs and metrics.

use std::net::SocketAddr;

use lagoonhill_types::prelude::*;

use super::{Announcement, TargetIncarnation};

/// An announcement, and what was made of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementReport {
    /// What was made of the announcement.
    pub outcome: AnnouncementOutcome,
    /// The incarnation that it names.
    pub incarnation: TargetIncarnation,
    /// Its sequence number.
    pub sequence: u64,
    /// The service that it names.
    pub service: ServiceName,
    /// The address that it names.
    pub address: SocketAddr,
    /// The present incarnation and its newest sequence number, before the announcement.
    pub present: Option<(TargetIncarnation, u64)>,
}

impl AnnouncementReport {
    /// Reports what was made of `announcement` while `present` was the newest one of
    /// the present incarnation.
    pub fn new(
        outcome: AnnouncementOutcome,
        announcement: &Announcement,
        present: Option<&Announcement>,
    ) -> Self {
        Self {
            outcome,
            incarnation: announcement.incarnation.clone(),
            sequence: announcement.sequence,
            service: announcement.target.service.clone(),
            address: announcement.target.address,
            present: present.map(|present| (present.incarnation.clone(), present.sequence)),
        }
    }
}

/// What was made of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// It updates the present incarnation.
    Updated,
    /// It replaces the description of the present incarnation, which was of another
    /// writer.
    Corrected,
    /// It is late, or of an incarnation that has left.
    OutOfDate,
    /// It does not fit what the present incarnation has announced before.
    Contradictory,
    /// It is of another incarnation, which is polled.
    Proposed,
    /// The target is the announced incarnation.
    Confirmed,
    /// The target is not the announced incarnation.
    Refuted,
    /// The target has not told in time whether it is the announced incarnation, or
    /// there are too many such announcements.
    Unconfirmed,
}

impl AnnouncementOutcome {
    /// Label of the outcome in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Updated => "updated",
            Self::Corrected => "corrected",
            Self::OutOfDate => "out-of-date",
            Self::Contradictory => "contradictory",
            Self::Proposed => "proposed",
            Self::Confirmed => "confirmed",
            Self::Refuted => "refuted",
            Self::Unconfirmed => "unconfirmed",
        }
    }

    /// Whether every announcement of a target in good order has this outcome.
    pub fn is_routine(self) -> bool {
        matches!(self, Self::Updated)
    }

    /// Whether the announcement is probably of another writer than the target.
    pub fn is_foreign(self) -> bool {
        matches!(self, Self::Corrected | Self::Contradictory | Self::Refuted)
    }
}
