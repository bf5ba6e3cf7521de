//! Bodies of `POST /v1/peers`, by which entries exchange membership and rules.

use lagoonhill_rules::{RuleSet, ZoneDrains, parse_rules};
use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::EntryAddress;

/// A rule set in its wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesDocument {
    /// Revision of the rules.
    pub revision: Revision,
    /// All rule lines, as text.
    pub lines: Vec<String>,
}

impl RulesDocument {
    /// Converts a rule set to its wire format.
    pub fn new(rules: &RuleSet) -> Self {
        Self {
            revision: rules.revision,
            lines: rules.lines().map(ToString::to_string).collect(),
        }
    }

    /// Parses the rule set. Returns `None` if a line is invalid.
    pub fn to_rules(&self) -> Option<RuleSet> {
        let lines = parse_rules(&self.lines.join("\n")).ok()?;
        Some(RuleSet::new(self.revision, lines))
    }
}

/// Heartbeat of an entry, forwarded between entries.
// The type name is part of error messages sent to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBeat {
    /// The entry.
    pub address: EntryAddress,
    /// Heartbeat counter, incremented by the entry itself.
    pub beat: u64,
    /// Whether the entry has announced that it is leaving.
    pub leaving: bool,
}

/// Body of `POST /v1/peers`, sent by entries and by agents that look for entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeersRequest {
    /// Heartbeats that the sending entry knows, including its own; empty if sent
    /// by an agent.
    #[serde(default)]
    pub beats: Vec<MemberBeat>,
    /// Whether the answer is to contain all members.
    #[serde(default)]
    pub wants_all: bool,
    /// Revision of the sender's rules.
    pub revision: Revision,
    /// Store revision of the drained zones that the sender knows.
    #[serde(default)]
    pub drains_revision: Revision,
    /// Whether the answer is to contain neither rules nor drains, however old the
    /// sender's are.
    #[serde(default)]
    pub only_entries: bool,
}

/// Answer to `POST /v1/peers`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeersResponse {
    /// Live entries, including the answering one, if the sender is an agent.
    pub entries: Vec<EntryAddress>,
    /// Heartbeats that the answering entry knows, including its own, if the
    /// sender is an entry.
    #[serde(default)]
    pub beats: Vec<MemberBeat>,
    /// Rules of the answering entry, if those of the sender are older.
    pub rules: Option<RulesDocument>,
    /// Drained zones known to the answering entry, if those of the sender are older.
    #[serde(default)]
    pub drains: Option<ZoneDrains>,
}
