use lagoonhill_protocol::Target;

use super::TargetLife;

/// The state that a target announces periodically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The incarnation that sends the announcement.
    pub life: TargetLife,
    /// Grows with each announcement of an incarnation.
    pub sequence: u64,
    /// Description of the target.
    pub target: Target,
    /// Whether the target is about to leave and accepts no new runs.
    pub draining: bool,
}

impl Announcement {
    /// Whether this was sent before `other` and was delayed on the way. Two
    /// incarnations with different names and no start times can't be ordered:
    /// the one received last is taken for the later one.
    pub fn is_older_than(&self, other: &Self) -> bool {
        if self.life == other.life {
            return self.sequence <= other.sequence;
        }
        self.life.born_ms < other.life.born_ms
    }
}
