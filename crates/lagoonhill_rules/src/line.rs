//! Rule lines and their keys.

use std::fmt;
use std::str::FromStr;

use crate::{Rule, RuleError, parse};

/// What a rule line configures; the first word of the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RuleKind {
    /// A scheduling class.
    Class,
    /// A queue.
    Queue,
    /// A service.
    Service,
    /// A team.
    Team,
    /// A worker.
    Worker,
    /// An availability zone.
    Zone,
}

impl RuleKind {
    /// All kinds, in the order in which a file is displayed.
    pub const ALL: [Self; 6] = [
        Self::Class,
        Self::Queue,
        Self::Service,
        Self::Team,
        Self::Worker,
        Self::Zone,
    ];

    /// The word used in rule files.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Class => "class",
            Self::Queue => "queue",
            Self::Service => "service",
            Self::Team => "team",
            Self::Worker => "worker",
            Self::Zone => "zone",
        }
    }
}

impl fmt::Display for RuleKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for RuleKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.name() == text)
            .ok_or_else(|| format!("`{text}` is not a rule kind"))
    }
}

/// Key of a rule line. A file holds at most one line per key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RuleKey {
    /// First word of the line.
    pub kind: RuleKind,
    /// Second word of the line: the name of what the rule configures.
    pub subject: String,
}

impl fmt::Display for RuleKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.subject)
    }
}

/// A rule and its requester. Displayed as the normalised line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleLine {
    /// Key of the line.
    pub key: RuleKey,
    /// The parsed rule.
    pub rule: Rule,
    /// Settings as written, in their order.
    pub settings: Vec<(String, String)>,
    /// Who requested the rule: the line's comment.
    pub requester: String,
}

impl fmt::Display for RuleLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.key)?;
        for (key, value) in &self.settings {
            write!(f, " {key}={value}")?;
        }
        write!(f, "  # {}", self.requester)
    }
}

impl FromStr for RuleLine {
    type Err = RuleError;

    /// Parses a single line. Errors name line 1.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse::parse_line(text, 1)
    }
}
