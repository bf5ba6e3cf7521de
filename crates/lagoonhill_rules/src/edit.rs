use std::fmt;

use crate::{RuleKey, RuleLine, RuleSet};

/// Identifies one edit, so that its author can find it again when the answer
/// of the write was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EditId(pub String);

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One line of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The line's key.
    pub key: RuleKey,
    /// The line that the operator saw.
    pub before: Option<RuleLine>,
    /// The line that the operator wants; `None` removes it.
    pub after: Option<RuleLine>,
}

/// A set of line changes made by one operator against what they saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Identifies the edit.
    pub id: EditId,
    /// Its line changes.
    pub changes: Vec<Change>,
}

/// Two operators changed the same line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{key}` was changed by somebody else meanwhile, nothing was written: \
     it now reads `{}`; look at it and run the command again",
    current.as_ref().map_or_else(|| "(removed)".to_owned(), ToString::to_string)
)]
pub struct Race {
    /// The line's key.
    pub key: RuleKey,
    /// What stands there now.
    pub current: Option<RuleLine>,
}

impl Edit {
    /// An edit that turns `seen` into exactly `wanted`.
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

    /// An edit that sets or removes one line.
    pub fn one(id: EditId, seen: &RuleSet, key: RuleKey, after: Option<RuleLine>) -> Self {
        let before = seen.get(&key).cloned();
        Self {
            id,
            changes: vec![Change { key, before, after }],
        }
    }

    /// Merges the edit into `current`, whatever else changed there. Fails with
    /// every line that somebody else changed too, and then changes nothing.
    pub fn merge_into(&self, current: &RuleSet) -> Result<RuleSet, Vec<Race>> {
        let mut merged = current.clone();
        let mut races = Vec::new();
        for change in &self.changes {
            let found = current.get(&change.key);
            if found != change.before.as_ref() && found != change.after.as_ref() {
                races.push(Race {
                    key: change.key.clone(),
                    current: found.cloned(),
                });
                continue;
            }
            merged.put(change.key.clone(), change.after.clone());
        }
        if !races.is_empty() {
            return Err(races);
        }
        merged.revision = current.revision.next();
        Ok(merged)
    }
}
