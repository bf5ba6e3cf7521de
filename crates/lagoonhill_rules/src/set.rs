use std::collections::BTreeMap;

use lagoonhill_types::prelude::*;

use crate::{
    Class, QueueRule, Rule, RuleKey, RuleKind, RuleLine, ServiceRule, ServingState, TeamRule,
};

/// The lines in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSet {
    /// Which accepted edit this is. 0 means that nothing is known yet.
    pub revision: Revision,
    lines: BTreeMap<RuleKey, RuleLine>,
}

/// The lines that changed between two revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleDelta {
    /// The revision the change applies to.
    pub from: Revision,
    /// The revision it leads to.
    pub to: Revision,
    /// New text of each changed line; `None` removes the line.
    pub lines: Vec<(RuleKey, Option<RuleLine>)>,
}

impl RuleSet {
    /// Builds a set. A later line replaces an earlier one of the same key.
    pub fn new(revision: Revision, lines: impl IntoIterator<Item = RuleLine>) -> Self {
        let lines = lines
            .into_iter()
            .map(|line| (line.key.clone(), line))
            .collect();
        Self { revision, lines }
    }

    /// All lines in file order.
    pub fn lines(&self) -> impl Iterator<Item = &RuleLine> {
        self.lines.values()
    }

    /// The line of one key.
    pub fn get(&self, key: &RuleKey) -> Option<&RuleLine> {
        self.lines.get(key)
    }

    /// Sets or removes one line.
    pub fn put(&mut self, key: RuleKey, line: Option<RuleLine>) {
        match line {
            Some(line) => self.lines.insert(key, line),
            None => self.lines.remove(&key),
        };
    }

    /// The whole file as text.
    pub fn to_text(&self) -> String {
        self.lines().fold(String::new(), |mut text, line| {
            text.push_str(&line.to_string());
            text.push('\n');
            text
        })
    }

    /// What changed since `earlier`.
    pub fn delta_since(&self, earlier: &Self) -> RuleDelta {
        let changed = self
            .lines
            .iter()
            .filter(|(key, line)| earlier.lines.get(*key) != Some(*line))
            .map(|(key, line)| (key.clone(), Some(line.clone())));
        let removed = earlier
            .lines
            .keys()
            .filter(|key| !self.lines.contains_key(*key))
            .map(|key| (key.clone(), None));
        RuleDelta {
            from: earlier.revision,
            to: self.revision,
            lines: changed.chain(removed).collect(),
        }
    }

    /// Applies a delta made for this revision; returns whether it fitted.
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
        let key = RuleKey {
            kind,
            subject: subject.to_owned(),
        };
        self.lines.get(&key).map(|line| &line.rule)
    }

    /// The rule of a queue, if operators have created it.
    pub fn queue(&self, name: &QueueName) -> Option<&QueueRule> {
        match self.rule(RuleKind::Queue, name.as_str()) {
            Some(Rule::Queue(rule)) => Some(rule),
            _ => None,
        }
    }

    /// All queues.
    pub fn queues(&self) -> impl Iterator<Item = (&str, &QueueRule)> {
        self.lines
            .iter()
            .filter_map(|(key, line)| match &line.rule {
                Rule::Queue(rule) => Some((key.subject.as_str(), rule)),
                _ => None,
            })
    }

    /// The rule of a service, if operators have created it.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        match self.rule(RuleKind::Service, name.as_str()) {
            Some(Rule::Service(rule)) => Some(rule),
            _ => None,
        }
    }

    /// The rule of a team, if operators have created it.
    pub fn team(&self, name: &TeamName) -> Option<&TeamRule> {
        match self.rule(RuleKind::Team, name.as_str()) {
            Some(Rule::Team(rule)) => Some(rule),
            _ => None,
        }
    }

    /// A class's share weight.
    pub fn class_weight(&self, class: Class) -> u32 {
        match self.rule(RuleKind::Class, &class.to_string()) {
            Some(Rule::Class(rule)) => rule.weight,
            _ => class.default_weight(),
        }
    }

    /// What operators want of a worker: the stricter of its own line and its zone's.
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
