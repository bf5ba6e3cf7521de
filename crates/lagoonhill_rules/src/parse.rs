//! Parser of rule files.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use lagoonhill_types::prelude::*;

use crate::{
    Class, ClassRule, QueueRule, Rule, RuleError, RuleErrors, RuleKey, RuleKind, RuleLine,
    RuleProblem, ServiceRule, TeamRule, WorkerRule, ZoneRule,
};

/// Parses a rule file. Blank lines and lines with only a comment are skipped. All
/// errors are reported at once.
pub fn parse_rules(text: &str) -> Result<Vec<RuleLine>, RuleErrors> {
    let mut lines = Vec::new();
    let mut first_lines: BTreeMap<RuleKey, usize> = BTreeMap::new();
    let mut errors = Vec::new();
    for (index, raw) in text.lines().enumerate() {
        let number = index + 1;
        let trimmed = raw.trim_start();
        if trimmed.is_empty() || trimmed.starts_with('#') {
            continue;
        }
        match parse_line(raw, number) {
            Ok(line) => {
                let first_line = *first_lines.entry(line.key.clone()).or_insert(number);
                if first_line == number {
                    lines.push(line);
                    continue;
                }
                let key = line.key.to_string();
                errors.push(RuleError {
                    line: number,
                    column: 1,
                    problem: RuleProblem::RepeatedLine { key, first_line },
                });
            }
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() {
        Ok(lines)
    } else {
        Err(RuleErrors(errors))
    }
}

/// A word and the column at which it starts, in characters from 1.
struct Word<'a> {
    text: &'a str,
    column: usize,
}

fn split_words(text: &str) -> Vec<Word<'_>> {
    let mut words = Vec::new();
    let mut start = None;
    for (index, character) in text.char_indices().chain([(text.len(), ' ')]) {
        match (start, character.is_whitespace()) {
            (None, false) => start = Some(index),
            (Some(from), true) => {
                let column = text[..from].chars().count() + 1;
                words.push(Word {
                    text: &text[from..index],
                    column,
                });
                start = None;
            }
            _ => {}
        }
    }
    words
}

pub(crate) fn parse_line(raw: &str, line: usize) -> Result<RuleLine, RuleError> {
    let error_at = |column, problem| RuleError {
        line,
        column,
        problem,
    };
    let (rule_text, comment) = raw.split_once('#').unwrap_or((raw, ""));
    let requester = comment.trim();
    let words = split_words(rule_text);
    let Some(kind_word) = words.first() else {
        return Err(error_at(
            1,
            RuleProblem::UnknownKind {
                word: String::new(),
                expected: kind_names(),
            },
        ));
    };
    let kind: RuleKind = kind_word.text.parse().map_err(|_| {
        let names = RuleKind::ALL.map(RuleKind::name);
        let expected = suggest(kind_word.text, &names);
        error_at(
            kind_word.column,
            RuleProblem::UnknownKind {
                word: kind_word.text.to_owned(),
                expected,
            },
        )
    })?;
    let Some(subject) = words.get(1) else {
        return Err(error_at(
            kind_word.column,
            RuleProblem::NoSubject { kind: kind.name() },
        ));
    };
    check_subject(kind, subject.text)
        .map_err(|text| error_at(subject.column, RuleProblem::BadSubject(text)))?;
    let mut settings = Vec::new();
    let mut builder = RuleBuilder::new(kind, subject.text);
    for word in &words[2..] {
        let (key, value) =
            parse_setting(word, &settings).map_err(|problem| error_at(word.column, problem))?;
        builder
            .set(key, value)
            .map_err(|problem| error_at(word.column, problem))?;
        settings.push((key.to_owned(), value.to_owned()));
    }
    if requester.is_empty() {
        return Err(error_at(
            raw.trim_end().chars().count() + 1,
            RuleProblem::NoRequester,
        ));
    }
    Ok(RuleLine {
        key: RuleKey {
            kind,
            subject: subject.text.to_owned(),
        },
        rule: builder.rule,
        settings,
        requester: requester.to_owned(),
    })
}

fn parse_setting<'a>(
    word: &Word<'a>,
    earlier: &[(String, String)],
) -> Result<(&'a str, &'a str), RuleProblem> {
    let Some((key, value)) = word.text.split_once('=') else {
        return Err(RuleProblem::NotASetting {
            word: word.text.to_owned(),
        });
    };
    if earlier.iter().any(|(earlier_key, _)| earlier_key == key) {
        return Err(RuleProblem::RepeatedKey {
            key: key.to_owned(),
        });
    }
    Ok((key, value))
}

fn kind_names() -> String {
    join_alternatives(&RuleKind::ALL.map(RuleKind::name))
}

fn join_alternatives(names: &[&str]) -> String {
    match names {
        [] => "nothing".to_owned(),
        [only] => (*only).to_owned(),
        [rest @ .., last] => format!("{} or {last}", rest.join(", ")),
    }
}

/// The closest name if one is similar enough, otherwise all names.
fn suggest(word: &str, names: &[&str]) -> String {
    const MIN_SIMILARITY: f64 = 0.7;
    let closest = names
        .iter()
        .map(|name| (strsim::jaro_winkler(word, name), *name))
        .max_by(|left, right| left.0.total_cmp(&right.0));
    match closest {
        Some((similarity, name)) if similarity >= MIN_SIMILARITY => format!("`{name}`"),
        _ => join_alternatives(names),
    }
}

fn check_subject(kind: RuleKind, subject: &str) -> Result<(), String> {
    match kind {
        RuleKind::Class => parse_value::<Class>(subject).map(drop),
        RuleKind::Queue => parse_value::<QueueName>(subject).map(drop),
        RuleKind::Service => parse_value::<ServiceName>(subject).map(drop),
        RuleKind::Team => parse_value::<TeamName>(subject).map(drop),
        RuleKind::Worker => parse_value::<WorkerId>(subject).map(drop),
        RuleKind::Zone => parse_value::<AvailabilityZone>(subject).map(drop),
    }
}

fn parse_value<T: FromStr<Err: Display>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|error: T::Err| error.to_string())
}

fn parse_positive<T: FromStr + PartialOrd + From<u8>>(text: &str) -> Result<T, String> {
    text.parse()
        .ok()
        .filter(|number| *number >= T::from(1))
        .ok_or_else(|| format!("`{text}` is not a count: write a whole number of 1 or more"))
}

fn parse_count<T: FromStr>(text: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not a count: write a whole number"))
}

fn parse_yes_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("`{text}` is not a switch: write yes or no")),
    }
}

/// Builds a rule from its settings, starting with the defaults of its kind.
struct RuleBuilder {
    rule: Rule,
}

impl RuleBuilder {
    fn new(kind: RuleKind, subject: &str) -> Self {
        let rule = match kind {
            RuleKind::Class => {
                let class: Class = subject.parse().unwrap_or_default();
                Rule::Class(ClassRule {
                    weight: class.default_weight(),
                })
            }
            RuleKind::Queue => Rule::Queue(QueueRule::default()),
            RuleKind::Service => Rule::Service(ServiceRule::default()),
            RuleKind::Team => Rule::Team(TeamRule::default()),
            RuleKind::Worker => Rule::Worker(WorkerRule::default()),
            RuleKind::Zone => Rule::Zone(ZoneRule::default()),
        };
        Self { rule }
    }

    fn set(&mut self, key: &str, value: &str) -> Result<(), RuleProblem> {
        match &mut self.rule {
            Rule::Class(rule) => set_class(rule, key, value),
            Rule::Queue(rule) => set_queue(rule, key, value),
            Rule::Service(rule) => set_service(rule, key, value),
            Rule::Team(rule) => set_team(rule, key, value),
            Rule::Worker(rule) => set_state(&mut rule.state, "worker", key, value),
            Rule::Zone(rule) => set_state(&mut rule.state, "zone", key, value),
        }
    }
}

fn unknown_key(kind: RuleKind, key: &str, keys: &[&str]) -> RuleProblem {
    RuleProblem::UnknownKey {
        key: key.to_owned(),
        kind: kind.name(),
        expected: suggest(key, keys),
    }
}

fn set_class(rule: &mut ClassRule, key: &str, value: &str) -> Result<(), RuleProblem> {
    match key {
        "weight" => rule.weight = parse_positive(value).map_err(RuleProblem::BadValue)?,
        _ => return Err(unknown_key(RuleKind::Class, key, &["weight"])),
    }
    Ok(())
}

fn set_queue(rule: &mut QueueRule, key: &str, value: &str) -> Result<(), RuleProblem> {
    const KEYS: [&str; 8] = [
        "service",
        "class",
        "attempts",
        "objective",
        "slack-permille",
        "host",
        "path",
        "permit",
    ];
    let set = match key {
        "service" => parse_value(value).map(|service| rule.service = Some(service)),
        "class" => parse_value(value).map(|class| rule.class = Some(class)),
        "attempts" => parse_positive(value).map(|count| rule.attempts = count),
        "objective" => parse_value(value).map(|duration| rule.objective_ms = duration),
        "slack-permille" => parse_count(value).map(|permille| rule.slack_permille = permille),
        "host" => {
            rule.host = Some(value.to_owned());
            Ok(())
        }
        "path" => {
            rule.path = Some(value.to_owned());
            Ok(())
        }
        "permit" => parse_yes_no(value).map(|needed| rule.needs_permit = needed),
        _ => return Err(unknown_key(RuleKind::Queue, key, &KEYS)),
    };
    set.map_err(RuleProblem::BadValue)
}

fn set_service(rule: &mut ServiceRule, key: &str, value: &str) -> Result<(), RuleProblem> {
    const KEYS: [&str; 7] = [
        "class",
        "deadline",
        "run-time",
        "run-limit",
        "max-tasks",
        "accelerators",
        "memory",
    ];
    let set = match key {
        "class" => parse_value(value).map(|class| rule.class = class),
        "deadline" => parse_value(value).map(|duration| rule.deadline_ms = duration),
        "run-time" => parse_value(value).map(|duration| rule.run_time_ms = duration),
        "run-limit" => parse_value(value).map(|duration| rule.run_limit_ms = duration),
        "max-tasks" => parse_positive(value).map(|count| rule.max_tasks = count),
        "accelerators" => parse_count(value).map(|count| rule.accelerators = count),
        "memory" => parse_value(value).map(|size| rule.memory_bytes = size),
        _ => return Err(unknown_key(RuleKind::Service, key, &KEYS)),
    };
    set.map_err(RuleProblem::BadValue)
}

fn set_team(rule: &mut TeamRule, key: &str, value: &str) -> Result<(), RuleProblem> {
    const KEYS: [&str; 4] = ["class", "weight", "concurrency", "rate"];
    let set = match key {
        "class" => parse_value(value).map(|class| rule.class = Some(class)),
        "weight" => parse_positive(value).map(|weight| rule.weight = weight),
        "concurrency" => parse_positive(value).map(|count| rule.concurrency = Some(count)),
        "rate" => parse_value(value).map(|rate| rule.rate = Some(rate)),
        _ => return Err(unknown_key(RuleKind::Team, key, &KEYS)),
    };
    set.map_err(RuleProblem::BadValue)
}

fn set_state(
    state: &mut crate::ServingState,
    kind: &'static str,
    key: &str,
    value: &str,
) -> Result<(), RuleProblem> {
    if key != "state" {
        let expected = "`state`".to_owned();
        return Err(RuleProblem::UnknownKey {
            key: key.to_owned(),
            kind,
            expected,
        });
    }
    *state = parse_value(value).map_err(RuleProblem::BadValue)?;
    Ok(())
}
