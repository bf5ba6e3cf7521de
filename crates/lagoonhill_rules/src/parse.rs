use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use lagoonhill_types::prelude::*;

use crate::{
    Class, ClassRule, Problem, QueueRule, Rule, RuleError, RuleErrors, RuleKey, RuleKind, RuleLine,
    ServiceRule, TeamRule, WorkerRule, ZoneRule,
};

/// Reads a whole rule file. Blank lines and lines holding only a comment are
/// skipped. All problems are reported at once.
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
                    problem: Problem::RepeatedLine { key, first_line },
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

/// A word and the column it starts at.
struct Word<'a> {
    text: &'a str,
    column: usize,
}

fn words(text: &str) -> Vec<Word<'_>> {
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
    let fail = |column, problem| RuleError {
        line,
        column,
        problem,
    };
    let (rule_text, comment) = raw.split_once('#').unwrap_or((raw, ""));
    let asker = comment.trim();
    let words = words(rule_text);
    let Some(kind_word) = words.first() else {
        return Err(fail(
            1,
            Problem::UnknownKind {
                word: String::new(),
                expected: kind_names(),
            },
        ));
    };
    let kind: RuleKind = kind_word.text.parse().map_err(|_| {
        let names = RuleKind::ALL.map(RuleKind::name);
        let expected = suggest(kind_word.text, &names);
        fail(
            kind_word.column,
            Problem::UnknownKind {
                word: kind_word.text.to_owned(),
                expected,
            },
        )
    })?;
    let Some(subject) = words.get(1) else {
        return Err(fail(
            kind_word.column,
            Problem::NoSubject { kind: kind.name() },
        ));
    };
    check_subject(kind, subject.text)
        .map_err(|text| fail(subject.column, Problem::BadSubject(text)))?;
    let mut settings = Vec::new();
    let mut builder = RuleBuilder::new(kind, subject.text);
    for word in &words[2..] {
        let (key, value) =
            parse_setting(word, &settings).map_err(|problem| fail(word.column, problem))?;
        builder
            .set(key, value)
            .map_err(|problem| fail(word.column, problem))?;
        settings.push((key.to_owned(), value.to_owned()));
    }
    if asker.is_empty() {
        return Err(fail(raw.trim_end().chars().count() + 1, Problem::NoAsker));
    }
    Ok(RuleLine {
        key: RuleKey {
            kind,
            subject: subject.text.to_owned(),
        },
        rule: builder.rule,
        settings,
        asker: asker.to_owned(),
    })
}

fn parse_setting<'a>(
    word: &Word<'a>,
    earlier: &[(String, String)],
) -> Result<(&'a str, &'a str), Problem> {
    let Some((key, value)) = word.text.split_once('=') else {
        return Err(Problem::NotASetting {
            word: word.text.to_owned(),
        });
    };
    if earlier.iter().any(|(earlier_key, _)| earlier_key == key) {
        return Err(Problem::RepeatedKey {
            key: key.to_owned(),
        });
    }
    Ok((key, value))
}

fn kind_names() -> String {
    one_of(&RuleKind::ALL.map(RuleKind::name))
}

fn one_of(names: &[&str]) -> String {
    match names {
        [] => "nothing".to_owned(),
        [only] => (*only).to_owned(),
        [rest @ .., last] => format!("{} or {last}", rest.join(", ")),
    }
}

/// The closest name when one is close, else all of them.
fn suggest(word: &str, names: &[&str]) -> String {
    const MIN_SIMILARITY: f64 = 0.7;
    let closest = names
        .iter()
        .map(|name| (strsim::jaro_winkler(word, name), *name))
        .max_by(|left, right| left.0.total_cmp(&right.0));
    match closest {
        Some((similarity, name)) if similarity >= MIN_SIMILARITY => format!("`{name}`"),
        _ => one_of(names),
    }
}

fn check_subject(kind: RuleKind, subject: &str) -> Result<(), String> {
    match kind {
        RuleKind::Class => read::<Class>(subject).map(drop),
        RuleKind::Queue => read::<QueueName>(subject).map(drop),
        RuleKind::Service => read::<ServiceName>(subject).map(drop),
        RuleKind::Team => read::<TeamName>(subject).map(drop),
        RuleKind::Worker => read::<WorkerId>(subject).map(drop),
        RuleKind::Zone => read::<AvailabilityZone>(subject).map(drop),
    }
}

fn read<T: FromStr<Err: Display>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|error: T::Err| error.to_string())
}

fn read_positive<T: FromStr + PartialOrd + From<u8>>(text: &str) -> Result<T, String> {
    text.parse()
        .ok()
        .filter(|number| *number >= T::from(1))
        .ok_or_else(|| format!("`{text}` is not a count: write a whole number of 1 or more"))
}

fn read_count<T: FromStr>(text: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not a count: write a whole number"))
}

fn read_switch(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("`{text}` is not a switch: write yes or no")),
    }
}

/// A rule under construction, with its kind's defaults.
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

    fn set(&mut self, key: &str, value: &str) -> Result<(), Problem> {
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

fn unknown_key(kind: RuleKind, key: &str, keys: &[&str]) -> Problem {
    Problem::UnknownKey {
        key: key.to_owned(),
        kind: kind.name(),
        expected: suggest(key, keys),
    }
}

fn set_class(rule: &mut ClassRule, key: &str, value: &str) -> Result<(), Problem> {
    match key {
        "weight" => rule.weight = read_positive(value).map_err(Problem::BadValue)?,
        _ => return Err(unknown_key(RuleKind::Class, key, &["weight"])),
    }
    Ok(())
}

fn set_queue(rule: &mut QueueRule, key: &str, value: &str) -> Result<(), Problem> {
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
        "service" => read(value).map(|service| rule.service = Some(service)),
        "class" => read(value).map(|class| rule.class = Some(class)),
        "attempts" => read_positive(value).map(|count| rule.attempts = count),
        "objective" => read(value).map(|span| rule.objective_ms = span),
        "slack-permille" => read_count(value).map(|permille| rule.slack_permille = permille),
        "host" => {
            rule.host = Some(value.to_owned());
            Ok(())
        }
        "path" => {
            rule.path = Some(value.to_owned());
            Ok(())
        }
        "permit" => read_switch(value).map(|needed| rule.needs_permit = needed),
        _ => return Err(unknown_key(RuleKind::Queue, key, &KEYS)),
    };
    set.map_err(Problem::BadValue)
}

fn set_service(rule: &mut ServiceRule, key: &str, value: &str) -> Result<(), Problem> {
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
        "class" => read(value).map(|class| rule.class = class),
        "deadline" => read(value).map(|span| rule.deadline_ms = span),
        "run-time" => read(value).map(|span| rule.run_time_ms = span),
        "run-limit" => read(value).map(|span| rule.run_limit_ms = span),
        "max-tasks" => read_positive(value).map(|count| rule.max_tasks = count),
        "accelerators" => read_count(value).map(|count| rule.accelerators = count),
        "memory" => read(value).map(|size| rule.memory_bytes = size),
        _ => return Err(unknown_key(RuleKind::Service, key, &KEYS)),
    };
    set.map_err(Problem::BadValue)
}

fn set_team(rule: &mut TeamRule, key: &str, value: &str) -> Result<(), Problem> {
    const KEYS: [&str; 4] = ["class", "weight", "concurrency", "rate"];
    let set = match key {
        "class" => read(value).map(|class| rule.class = Some(class)),
        "weight" => read_positive(value).map(|weight| rule.weight = weight),
        "concurrency" => read_positive(value).map(|count| rule.concurrency = Some(count)),
        "rate" => read(value).map(|rate| rule.rate = Some(rate)),
        _ => return Err(unknown_key(RuleKind::Team, key, &KEYS)),
    };
    set.map_err(Problem::BadValue)
}

fn set_state(
    state: &mut crate::ServingState,
    kind: &'static str,
    key: &str,
    value: &str,
) -> Result<(), Problem> {
    if key != "state" {
        let expected = "`state`".to_owned();
        return Err(Problem::UnknownKey {
            key: key.to_owned(),
            kind,
            expected,
        });
    }
    *state = read(value).map_err(Problem::BadValue)?;
    Ok(())
}
