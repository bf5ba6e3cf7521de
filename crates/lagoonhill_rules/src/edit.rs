//! Edits of the rules, merged line by line.

use std::fmt;

use crate::{RuleKey, RuleLine, RuleSet};

/// Identifies an edit, so that its author can check whether it was written if the
/// response of the write was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EditId(pub String);

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Change of one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The line's key.
    pub key: RuleKey,
    /// The line as the operator saw it; `None` if there was none.
    pub before: Option<RuleLine>,
    /// The line to write; `None` removes it.
    pub after: Option<RuleLine>,
}

/// Line changes by one operator, relative to the rules that the operator saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Id of the edit.
    pub id: EditId,
    /// The changed lines.
    pub changes: Vec<Change>,
}

/// Conflict of an edit with a concurrent change of the same line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{key}` was changed concurrently, nothing was written: \
     the line is now `{}`; check it and run the command again",
    current.as_ref().map_or_else(|| "(removed)".to_owned(), ToString::to_string)
)]
pub struct Race {
    /// The line's key.
    pub key: RuleKey,
    /// The current line; `None` if it was removed.
    pub current: Option<RuleLine>,
}

impl Edit {
    /// Creates an edit that replaces all of `seen` by `wanted`.
    pub fn replace_all(id: EditId, seen: &RuleSet, wanted: &RuleSet) -> Self {
        let delta = wanted.delta_since(seen);
        let changes = delta
            .lines
            .into_iter()
            .map(|(key, after)| Change {
                before: seen.get(&key).cloned(),
                key,
                after,
            })
            .collect();
        Self { id, changes }
    }

    /// Creates an edit that sets or removes one line.
    pub fn one(id: EditId, seen: &RuleSet, key: RuleKey, after: Option<RuleLine>) -> Self {
        let before = seen.get(&key).cloned();
        Self {
            id,
            changes: vec![Change { key, before, after }],
        }
    }

    /// Merges the edit into `current`, keeping concurrent changes of other lines.
    /// Fails with all conflicts if lines of the edit were changed concurrently.
    pub fn merge_into(&self, current: &RuleSet) -> Result<RuleSet, Vec<Race>> {
        let mut merged = current.clone();
        let mut conflicts = Vec::new();
        for change in &self.changes {
            let found = current.get(&change.key);
            if found != change.before.as_ref() && found != change.after.as_ref() {
                conflicts.push(Race {
                    key: change.key.clone(),
                    current: found.cloned(),
                });
                continue;
            }
            merged.put(change.key.clone(), change.after.clone());
        }
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        merged.revision = current.revision.next();
        Ok(merged)
    }
}
