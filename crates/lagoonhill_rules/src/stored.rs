//! Stored format of the rules: one JSON value in the platform's store.

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{EditId, RuleErrors, RuleSet, parse_rules};

/// Maximum size of a value in the platform's store.
const MAX_STORED_BYTES: usize = 1 << 20;

/// Number of recent edits kept for `rules log`, and for checking whether an edit was
/// written if the response was lost.
const MAX_RECORDS: usize = 256;

const FORMAT: &str = "lagoonhill-rules/1";

/// Record of an accepted edit, shown by `rules log`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// Id of the edit.
    pub id: String,
    /// The revision that it created.
    pub revision: Revision,
    /// Time of the edit, on the operator's clock.
    pub at_ms: TimestampMs,
    /// Summary of the changed lines, with their requesters.
    pub summary: Vec<String>,
}

/// The value in the platform's store that holds the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredRules {
    /// The rules in force.
    pub rules: RuleSet,
    /// Recent edits, oldest first.
    pub records: Vec<EditRecord>,
}

/// Why the stored rules could not be decoded or encoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The value has another format.
    #[error(
        "the platform's rules value is not in the format {FORMAT}: {0}; restore it with `rules apply`"
    )]
    Foreign(String),
    /// The value has the right format, but contains invalid lines.
    #[error("the platform's rules value is damaged: {0}; restore it with `rules apply`")]
    Damaged(RuleErrors),
    /// The encoded value exceeds the size limit.
    #[error(
        "the rules would be {over_bytes} bytes over the platform's limit of {MAX_STORED_BYTES}: remove lines or shorten comments"
    )]
    TooLarge {
        /// Bytes over the limit.
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
    /// Decodes the stored value.
    pub fn decode(bytes: &[u8]) -> Result<Self, StoreError> {
        let document: Document = serde_json::from_slice(bytes)
            .map_err(|error| StoreError::Foreign(error.to_string()))?;
        if document.format != FORMAT {
            return Err(StoreError::Foreign(format!(
                "its format is `{}`",
                document.format
            )));
        }
        let lines = parse_rules(&document.lines.join("\n")).map_err(StoreError::Damaged)?;
        Ok(Self {
            rules: RuleSet::new(document.revision, lines),
            records: document.records,
        })
    }

    /// Encodes the stored value. Fails if it is too large.
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

    /// Whether the record of an edit is present.
    pub fn contains(&self, id: &EditId) -> bool {
        self.records.iter().any(|record| record.id == id.0)
    }

    /// Adds a record of an accepted edit and drops the oldest beyond the limit.
    pub fn record(&mut self, record: EditRecord) {
        self.records.push(record);
        let excess = self.records.len().saturating_sub(MAX_RECORDS);
        self.records.drain(..excess);
    }
}
