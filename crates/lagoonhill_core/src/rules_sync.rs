//! Distribution of rules between processes: full sets and deltas.

use std::collections::VecDeque;

use lagoonhill_protocol::RulesUpdate;
use lagoonhill_rules::{RuleDelta, RuleKey, RuleKind, RuleLine, RuleSet, parse_rules};
use lagoonhill_types::prelude::*;

/// Most deltas kept for peers with a slightly older revision.
const MAX_DELTAS: usize = 64;

/// The rules in force in one process, and the deltas that led to them.
///
/// The revision only grows: an older set is never installed.
#[derive(Debug, Default)]
pub struct RulesSync {
    rules: RuleSet,
    deltas: VecDeque<RuleDelta>,
}

impl RulesSync {
    /// The rules in force.
    pub fn rules(&self) -> &RuleSet {
        &self.rules
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.rules.revision
    }

    /// Installs a set if it is newer; returns whether it was.
    pub fn install(&mut self, rules: RuleSet) -> bool {
        if rules.revision <= self.rules.revision {
            return false;
        }
        if self.rules.revision > Revision(0) {
            self.deltas.push_back(rules.delta_since(&self.rules));
            let excess = self.deltas.len().saturating_sub(MAX_DELTAS);
            self.deltas.drain(..excess);
        }
        self.rules = rules;
        true
    }

    /// Installs a peer's update; returns whether it was newer and applicable. One
    /// that is not applicable is ignored: the peer learns of the revision in force
    /// here and sends a matching update.
    pub fn install_update(&mut self, update: &RulesUpdate) -> bool {
        if update.to <= self.rules.revision {
            return false;
        }
        let Ok(lines) = parse_rules(&update.set.join("\n")) else {
            return false;
        };
        if update.from == Revision(0) {
            return self.install(RuleSet::new(update.to, lines));
        }
        let removed = update
            .removed
            .iter()
            .filter_map(|key| parse_key(key))
            .map(|key| (key, None));
        let set = lines
            .into_iter()
            .map(|line: RuleLine| (line.key.clone(), Some(line)));
        if update.from > self.rules.revision {
            return false;
        }
        // The update contains the final text of every line changed since `from`,
        // so it applies to each revision from there on.
        let from = self.rules.revision;
        let delta = RuleDelta {
            from,
            to: update.to,
            lines: removed.chain(set).collect(),
        };
        let mut next = self.rules.clone();
        next.apply(delta) && self.install(next)
    }

    /// The update for a peer at `revision`, or `None` if it needs none.
    pub fn update_for(&self, revision: Revision) -> Option<RulesUpdate> {
        if revision >= self.rules.revision {
            return None;
        }
        let known = self.deltas.iter().position(|delta| delta.from == revision);
        Some(match known {
            Some(start) if revision > Revision(0) => self.update_from_deltas(start),
            _ => RulesUpdate {
                from: Revision(0),
                to: self.rules.revision,
                set: self.rules.lines().map(ToString::to_string).collect(),
                removed: Vec::new(),
            },
        })
    }

    fn update_from_deltas(&self, start: usize) -> RulesUpdate {
        let mut changed: Vec<&RuleKey> = self
            .deltas
            .range(start..)
            .flat_map(|delta| delta.lines.iter().map(|(key, _)| key))
            .collect();
        changed.sort_unstable();
        changed.dedup();
        let (present, gone): (Vec<_>, Vec<_>) = changed
            .into_iter()
            .partition(|key| self.rules.get(key).is_some());
        RulesUpdate {
            from: self.deltas[start].from,
            to: self.rules.revision,
            set: present
                .iter()
                .filter_map(|key| self.rules.get(key))
                .map(ToString::to_string)
                .collect(),
            removed: gone.iter().map(ToString::to_string).collect(),
        }
    }
}

fn parse_key(text: &str) -> Option<RuleKey> {
    let (kind, subject) = text.split_once(' ')?;
    Some(RuleKey {
        kind: kind.parse::<RuleKind>().ok()?,
        subject: subject.to_owned(),
    })
}
