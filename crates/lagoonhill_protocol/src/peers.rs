use lagoonhill_rules::{RuleSet, parse_rules};
use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::EntryAddress;

/// Rules as they travel between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesDocument {
    /// The revision.
    pub revision: Revision,
    /// All lines.
    pub lines: Vec<String>,
}

impl RulesDocument {
    /// The document of a set.
    pub fn new(rules: &RuleSet) -> Self {
        Self {
            revision: rules.revision,
            lines: rules.lines().map(ToString::to_string).collect(),
        }
    }

    /// The set, unless a line can't be read.
    pub fn to_rules(&self) -> Option<RuleSet> {
        let lines = parse_rules(&self.lines.join("\n")).ok()?;
        Some(RuleSet::new(self.revision, lines))
    }
}

/// An entry's heartbeat, as others pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBeat {
    /// The entry.
    pub address: EntryAddress,
    /// Counted up by the entry itself.
    pub beat: u64,
    /// Whether it has said that it leaves.
    pub leaving: bool,
}

/// `POST /v1/peers`: a process introduces itself, or only asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeersRequest {
    /// What an asking entry knows of the others, itself included; empty for an
    /// agent.
    #[serde(default)]
    pub beats: Vec<MemberBeat>,
    /// Whether the asker wants to hear of all members.
    #[serde(default)]
    pub wants_all: bool,
    /// The revision that the asker has.
    pub revision: Revision,
}

/// The answer to `POST /v1/peers`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeersAnswer {
    /// Live entries, the answering one included, for an agent.
    pub entries: Vec<EntryAddress>,
    /// What the answering entry knows of the others, itself included, for an
    /// entry.
    #[serde(default)]
    pub beats: Vec<MemberBeat>,
    /// The answering entry's rules, if the asker is behind.
    pub rules: Option<RulesDocument>,
}
