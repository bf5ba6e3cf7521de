//! Periodic announcements of a target.

use lagoonhill_protocol::Target;

use super::{TargetIncarnation, TargetTimeMs};

/// The state that a target announces periodically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The incarnation that sends the announcement.
    pub incarnation: TargetIncarnation,
    /// Grows with each announcement of an incarnation.
    pub sequence: u64,
    /// When it was sent, on the target's clock, if it says so.
    pub sent_ms: Option<TargetTimeMs>,
    /// Description of the target.
    pub target: Target,
    /// Whether the target is about to leave and accepts no new runs.
    pub draining: bool,
}
