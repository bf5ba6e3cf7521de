use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{EditId, RuleErrors, RuleSet, parse_rules};

/// The platform's limit on one value.
const MAX_STORED_BYTES: usize = 1 << 20;

/// How many edits stay listed for `rules log` and for finding lost answers.
const MAX_RECORDS: usize = 256;

const FORMAT: &str = "lagoonhill-rules/1";

/// One accepted edit, as `rules log` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// The edit's id.
    pub id: String,
    /// The revision it made.
    pub revision: Revision,
    /// When, on the operator's clock.
    pub at_ms: TimestampMs,
    /// Changed lines in short, askers included.
    pub summary: Vec<String>,
}

/// The single platform value that holds the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredRules {
    /// The lines in force.
    pub rules: RuleSet,
    /// Recent edits, oldest first.
    pub records: Vec<EditRecord>,
}

/// Why a stored value can't be read or written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The value is not ours.
    #[error(
        "the platform's rules value is not in the format {FORMAT}: {0}; restore it with `rules apply`"
    )]
    Foreign(String),
    /// The value is ours but its lines are broken.
    #[error("the platform's rules value is damaged: {0}; restore it with `rules apply`")]
    Damaged(RuleErrors),
    /// The value would not fit.
    #[error(
        "the rules would be {over_bytes} bytes over the platform's limit of {MAX_STORED_BYTES}: remove lines or shorten comments"
    )]
    TooLarge {
        /// By how much.
        over_bytes: usize,
    },
}

#[derive(Serialize, Deserialize)]
struct Document {
    format: String,
    revision: Revision,
    lines: Vec<String>,
    records: Vec<EditRecord>,
}

impl StoredRules {
    /// Reads the platform's value.
    pub fn decode(bytes: &[u8]) -> Result<Self, StoreError> {
        let document: Document = serde_json::from_slice(bytes)
            .map_err(|error| StoreError::Foreign(error.to_string()))?;
        if document.format != FORMAT {
            return Err(StoreError::Foreign(format!(
                "it says `{}`",
                document.format
            )));
        }
        let lines = parse_rules(&document.lines.join("\n")).map_err(StoreError::Damaged)?;
        Ok(Self {
            rules: RuleSet::new(document.revision, lines),
            records: document.records,
        })
    }

    /// Writes the platform's value, refusing one that is too large.
    pub fn encode(&self) -> Result<Vec<u8>, StoreError> {
        let document = Document {
            format: FORMAT.to_owned(),
            revision: self.rules.revision,
            lines: self.rules.lines().map(ToString::to_string).collect(),
            records: self.records.clone(),
        };
        let bytes = serde_json::to_vec(&document)
            .map_err(|error| StoreError::Foreign(error.to_string()))?;
        match bytes.len().checked_sub(MAX_STORED_BYTES) {
            Some(over_bytes) if over_bytes > 0 => Err(StoreError::TooLarge { over_bytes }),
            _ => Ok(bytes),
        }
    }

    /// Whether an edit has been accepted.
    pub fn contains(&self, id: &EditId) -> bool {
        self.records.iter().any(|record| record.id == id.0)
    }

    /// Records an accepted edit, forgetting the oldest ones.
    pub fn record(&mut self, record: EditRecord) {
        self.records.push(record);
        let excess = self.records.len().saturating_sub(MAX_RECORDS);
        self.records.drain(..excess);
    }
}
