use lagoonhill_protocol::Target;

use super::TargetLife;

/// What a target says of itself, again and again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Which incarnation speaks.
    pub life: TargetLife,
    /// Grows from one announcement of an incarnation to the next.
    pub sequence: u64,
    /// The target.
    pub target: Target,
    /// Whether it is about to leave and wants no new work.
    pub draining: bool,
}

impl Announcement {
    /// Whether this was said before `other`, and was delayed on its way. Of
    /// two incarnations with other names and no times of birth, nobody can
    /// tell; the one that speaks last is taken for the later one.
    pub fn is_older_than(&self, other: &Self) -> bool {
        if self.life == other.life {
            return self.sequence <= other.sequence;
        }
        self.life.born_ms < other.life.born_ms
    }
}
