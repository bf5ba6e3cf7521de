//! The rules in force, lookups in them and differences between revisions.

use std::collections::BTreeMap;

use lagoonhill_types::prelude::*;

use crate::{
    Class, QueueRule, Rule, RuleKey, RuleKind, RuleLine, ServiceRule, ServingState, TeamRule,
};

/// The rules in force at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSet {
    /// Number of the last accepted edit. 0 means that no rules are known yet.
    pub revision: Revision,
    /// Lines by kind and then by subject, so that a lookup does not have to
    /// allocate a [`RuleKey`].
    lines: BTreeMap<RuleKind, BTreeMap<String, RuleLine>>,
}

/// The lines that changed between two revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleDelta {
    /// The revision to which the delta applies.
    pub from: Revision,
    /// The revision after the delta.
    pub to: Revision,
    /// New version of each changed line; `None` removes the line.
    pub lines: Vec<(RuleKey, Option<RuleLine>)>,
}

impl RuleSet {
    /// Creates a set. A later line replaces an earlier one with the same key.
    pub fn new(revision: Revision, lines: impl IntoIterator<Item = RuleLine>) -> Self {
        let mut set = Self {
            revision,
            lines: BTreeMap::new(),
        };
        for line in lines {
            set.put(line.key.clone(), Some(line));
        }
        set
    }

    /// All lines in file order: by kind, then by subject.
    pub fn lines(&self) -> impl Iterator<Item = &RuleLine> {
        self.lines.values().flat_map(BTreeMap::values)
    }

    /// The line with a key.
    pub fn get(&self, key: &RuleKey) -> Option<&RuleLine> {
        self.lines.get(&key.kind)?.get(&key.subject)
    }

    /// Sets or removes one line.
    pub fn put(&mut self, key: RuleKey, line: Option<RuleLine>) {
        let lines = self.lines.entry(key.kind).or_default();
        match line {
            Some(line) => lines.insert(key.subject, line),
            None => lines.remove(&key.subject),
        };
        if lines.is_empty() {
            self.lines.remove(&key.kind);
        }
    }

    /// The rule file as text.
    pub fn to_text(&self) -> String {
        self.lines().fold(String::new(), |mut text, line| {
            text.push_str(&line.to_string());
            text.push('\n');
            text
        })
    }

    /// The difference from `earlier` to this set.
    pub fn delta_since(&self, earlier: &Self) -> RuleDelta {
        let changed = self
            .lines()
            .filter(|line| earlier.get(&line.key) != Some(*line))
            .map(|line| (line.key.clone(), Some(line.clone())));
        let removed = earlier
            .lines()
            .filter(|line| self.get(&line.key).is_none())
            .map(|line| (line.key.clone(), None));
        RuleDelta {
            from: earlier.revision,
            to: self.revision,
            lines: changed.chain(removed).collect(),
        }
    }

    /// Applies a delta. Returns `false` and changes nothing if it was made for another
    /// revision.
    pub fn apply(&mut self, delta: RuleDelta) -> bool {
        if delta.from != self.revision || delta.to <= delta.from {
            return false;
        }
        for (key, line) in delta.lines {
            self.put(key, line);
        }
        self.revision = delta.to;
        true
    }

    fn rule(&self, kind: RuleKind, subject: &str) -> Option<&Rule> {
        let line = self.lines.get(&kind)?.get(subject)?;
        Some(&line.rule)
    }

    /// The rule of a queue, if there is one.
    pub fn queue(&self, name: &QueueName) -> Option<&QueueRule> {
        match self.rule(RuleKind::Queue, name.as_str()) {
            Some(Rule::Queue(rule)) => Some(rule),
            _ => None,
        }
    }

    /// All queues with their rules.
    pub fn queues(&self) -> impl Iterator<Item = (&str, &QueueRule)> {
        let lines = self.lines.get(&RuleKind::Queue);
        lines.into_iter().flatten().filter_map(|(name, line)| {
            let Rule::Queue(rule) = &line.rule else {
                return None;
            };
            Some((name.as_str(), rule))
        })
    }

    /// The rule of a service, if there is one.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        match self.rule(RuleKind::Service, name.as_str()) {
            Some(Rule::Service(rule)) => Some(rule),
            _ => None,
        }
    }

    /// The rule of a team, if there is one.
    pub fn team(&self, name: &TeamName) -> Option<&TeamRule> {
        match self.rule(RuleKind::Team, name.as_str()) {
            Some(Rule::Team(rule)) => Some(rule),
            _ => None,
        }
    }

    /// Share weight of a class.
    pub fn class_weight(&self, class: Class) -> u32 {
        match self.rule(RuleKind::Class, class.name()) {
            Some(Rule::Class(rule)) => rule.weight,
            _ => class.default_weight(),
        }
    }

    /// Serving state of a worker: the stricter of its own rule and its zone's.
    pub fn serving_state(&self, worker: &WorkerId, zone: &AvailabilityZone) -> ServingState {
        let own = match self.rule(RuleKind::Worker, worker.as_str()) {
            Some(Rule::Worker(rule)) => rule.state,
            _ => ServingState::Serve,
        };
        let zone = match self.rule(RuleKind::Zone, zone.as_str()) {
            Some(Rule::Zone(rule)) => rule.state,
            _ => ServingState::Serve,
        };
        match (own, zone) {
            (ServingState::Drain, _) | (_, ServingState::Drain) => ServingState::Drain,
            (ServingState::Quarantine, _) | (_, ServingState::Quarantine) => {
                ServingState::Quarantine
            }
            (ServingState::Serve, ServingState::Serve) => ServingState::Serve,
        }
    }
}
