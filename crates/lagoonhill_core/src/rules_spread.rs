use std::collections::VecDeque;

use lagoonhill_protocol::RulesUpdate;
use lagoonhill_rules::{RuleDelta, RuleKey, RuleKind, RuleLine, RuleSet, parse_rules};
use lagoonhill_types::prelude::*;

/// Deltas kept for peers that are a little behind.
const MAX_DELTAS: usize = 64;

/// The rules in force at one process, and what its peers need to catch up.
///
/// The revision only grows: a lower one is never installed.
#[derive(Debug, Default)]
pub struct RulesSpread {
    rules: RuleSet,
    deltas: VecDeque<RuleDelta>,
}

impl RulesSpread {
    /// The rules in force.
    pub fn rules(&self) -> &RuleSet {
        &self.rules
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.rules.revision
    }

    /// Installs a newer set; returns whether it was newer.
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

    /// Installs a peer's update; returns whether it was newer and fitted. One
    /// that does not fit is left alone: the peer sees our revision and sends
    /// what we need.
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
        // The update holds the final text of every line changed since `from`,
        // so it fits each revision from there on.
        let from = self.rules.revision;
        let delta = RuleDelta {
            from,
            to: update.to,
            lines: removed.chain(set).collect(),
        };
        let mut next = self.rules.clone();
        next.apply(delta) && self.install(next)
    }

    /// What a peer at `revision` needs, or `None` when it is not behind.
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
