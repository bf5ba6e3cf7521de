//! Reads the rules from the platform's store and writes edits to it.

use std::time::Duration;

use lagoonhill_platform::{RULES_KEY, Store, StoreUnavailable, Versioned, WriteOutcome};
use lagoonhill_rules::{Edit, EditConflict, EditId, EditRecord, RuleSet, StoreError, StoredRules};
use lagoonhill_types::prelude::*;
use tokio::time::sleep;

/// Attempts to write an edit before `EditError::Contended` or `EditError::Unknown` is returned.
const MAX_ATTEMPTS: u32 = 50;

/// Failed reads after which an edit is abandoned as unavailable.
const MAX_OUTAGES: u32 = 5;

/// Delay before the next attempt after the store did not answer.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Why an edit was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum EditError {
    /// Another operator changed the same lines concurrently.
    #[error("{}", join_lines(.0))]
    Conflicts(Vec<EditConflict>),
    /// The stored value can't be decoded, or the new value can't be encoded.
    #[error(transparent)]
    Stored(#[from] StoreError),
    /// The store did not answer, and nothing was written.
    #[error("nothing was written: {0}")]
    Unavailable(#[from] StoreUnavailable),
    /// The store stopped answering, and the edit may have been written.
    #[error(
        "the store stopped answering while edit {0} was being written: check `lagoonhill rules log` for it before repeating the command"
    )]
    Unknown(EditId),
    /// Every attempt conflicted with a concurrent change.
    #[error("other edits kept changing the rules: run the command again")]
    Contended,
}

fn join_lines(conflicts: &[EditConflict]) -> String {
    conflicts
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

/// Returns a new random edit id.
pub fn new_edit_id() -> EditId {
    EditId(format!("{:016x}", fastrand::u64(..)))
}

/// Reads the stored rules; an absent key yields empty rules at revision 0.
pub async fn read_rules<S: Store>(store: &S) -> Result<StoredRules, EditError> {
    let found = store.read(RULES_KEY).await?;
    Ok(decode(found.as_ref())?)
}

fn decode(found: Option<&Versioned>) -> Result<StoredRules, StoreError> {
    found.map_or_else(
        || Ok(StoredRules::default()),
        |found| StoredRules::decode(&found.value),
    )
}

/// Merges an edit into the stored rules; returns the revision that contains it.
///
/// The edit is written with a compare-and-swap. After a lost response the
/// stored records are searched for the edit's id, so the edit is applied at
/// most once. `base` replaces a stored value that can't be decoded.
pub async fn submit_edit<S: Store>(
    store: &S,
    edit: &Edit,
    base: Option<&RuleSet>,
) -> Result<Revision, EditError> {
    let mut outages = 0;
    let mut unanswered = false;
    for _ in 0..MAX_ATTEMPTS {
        let found = match store.read(RULES_KEY).await {
            Ok(found) => found,
            Err(error) => {
                outages += 1;
                if outages < MAX_OUTAGES {
                    sleep(OUTAGE_RETRY_DELAY).await;
                    continue;
                }
                return Err(if unanswered {
                    EditError::Unknown(edit.id.clone())
                } else {
                    error.into()
                });
            }
        };
        let current = decode_or_replace(found.as_ref(), base)?;
        if let Some(record) = current.records.iter().find(|record| record.id == edit.id.0) {
            return Ok(record.revision);
        }
        let (next, bytes) = merge(&current, edit)?;
        let written = match &found {
            Some(found) => {
                store
                    .compare_and_swap(RULES_KEY, found.revision, &bytes)
                    .await
            }
            None => store.create(RULES_KEY, &bytes, None).await,
        };
        match written {
            WriteOutcome::Done => return Ok(next.rules.revision),
            WriteOutcome::Conflict(_) => {}
            WriteOutcome::Unknown => unanswered = true,
        }
    }
    Err(if unanswered {
        EditError::Unknown(edit.id.clone())
    } else {
        EditError::Contended
    })
}

fn decode_or_replace(
    found: Option<&Versioned>,
    base: Option<&RuleSet>,
) -> Result<StoredRules, StoreError> {
    match (decode(found), base) {
        (Err(_), Some(base)) => Ok(StoredRules {
            rules: base.clone(),
            records: Vec::new(),
        }),
        (decoded, _) => decoded,
    }
}

fn merge(current: &StoredRules, edit: &Edit) -> Result<(StoredRules, Vec<u8>), EditError> {
    let rules = edit
        .merge_into(&current.rules)
        .map_err(EditError::Conflicts)?;
    let summary = edit
        .changes
        .iter()
        .map(|change| match &change.after {
            Some(line) => line.to_string(),
            None => format!("removed {}", change.key),
        })
        .collect();
    let mut next = StoredRules {
        rules,
        records: current.records.clone(),
    };
    next.record(EditRecord {
        id: edit.id.0.clone(),
        revision: next.rules.revision,
        at_ms: Clock::start().now(),
        summary,
    });
    let bytes = next.encode()?;
    Ok((next, bytes))
}
