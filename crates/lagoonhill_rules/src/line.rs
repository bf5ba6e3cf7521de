use std::fmt;
use std::str::FromStr;

use crate::{Rule, RuleError, parse};

/// The first word of a rule line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RuleKind {
    /// Scheduling classes.
    Class,
    /// Queues.
    Queue,
    /// Services.
    Service,
    /// Teams.
    Team,
    /// Workers.
    Worker,
    /// Availability zones.
    Zone,
}

impl RuleKind {
    /// All kinds, in the order of a printed file.
    pub const ALL: [Self; 6] = [
        Self::Class,
        Self::Queue,
        Self::Service,
        Self::Team,
        Self::Worker,
        Self::Zone,
    ];

    /// The word that stands in the file.
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

/// What a rule is about. A file holds at most one line a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RuleKey {
    /// First word.
    pub kind: RuleKind,
    /// Second word.
    pub subject: String,
}

impl fmt::Display for RuleKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.subject)
    }
}

/// One rule with its asker. Prints as the normalized line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleLine {
    /// What the rule is about.
    pub key: RuleKey,
    /// The rule itself.
    pub rule: Rule,
    /// Settings as written, in order.
    pub settings: Vec<(String, String)>,
    /// Who asked for the rule.
    pub asker: String,
}

impl fmt::Display for RuleLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.key)?;
        for (key, value) in &self.settings {
            write!(f, " {key}={value}")?;
        }
        write!(f, "  # {}", self.asker)
    }
}

impl FromStr for RuleLine {
    type Err = RuleError;

    /// Reads a single line; errors name line 1.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse::parse_line(text, 1)
    }
}
