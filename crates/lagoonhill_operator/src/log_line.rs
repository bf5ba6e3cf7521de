//! Parses the log lines of lagoonhill processes, in text and JSON format.

use jiff::Timestamp;
use serde::Deserialize;

/// The log target of lines that record a decision.
pub const DECISION_TARGET: &str = "decision";

/// Start of the line that counts dropped log lines.
const DROPPED_PREFIX: &str = "log lines dropped=";

/// One line of a process's log, in text or JSON format.
///
/// A text line may start with the process's name, as log collectors add it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Time of the line; `None` for a line that counts dropped lines.
    pub at: Option<Timestamp>,
    /// Name of the process, if the line has one as a prefix.
    pub process: Option<String>,
    /// The log target; [`DECISION_TARGET`] for decisions.
    pub target: String,
    /// The parsed message.
    pub message: LogMessage,
    /// Number of lines that were dropped before this one.
    pub dropped: u64,
}

/// A log message, split into its event name and its fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogMessage {
    /// The words that are not fields, joined by spaces: the event name.
    pub event: String,
    /// Names and values of the fields, in their order.
    pub fields: Vec<(String, String)>,
}

impl LogMessage {
    /// Parses `word key=value key="several words"`.
    pub fn parse(text: &str) -> Self {
        let mut message = Self::default();
        let mut rest = text.trim();
        while !rest.is_empty() {
            let end = rest.find([' ', '=']).unwrap_or(rest.len());
            let (word, after) = rest.split_at(end);
            if let Some(value) = after.strip_prefix('=') {
                let (value, left) = take_value(value);
                message.fields.push((word.to_owned(), value));
                rest = left;
            } else {
                if !message.event.is_empty() {
                    message.event.push(' ');
                }
                message.event.push_str(word);
                rest = after;
            }
            rest = rest.trim_start();
        }
        message
    }

    /// Returns the value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Splits a value, quoted or not, from the text that follows it.
fn take_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut characters = quoted.char_indices();
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return (value, &quoted[at + 1..]),
            '\\' => match characters.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, other)) => value.push(other),
                None => {}
            },
            other => value.push(other),
        }
    }
    // The closing quote is missing: the line was truncated.
    (value, "")
}

#[derive(Deserialize)]
struct JsonLine {
    timestamp: Timestamp,
    target: String,
    message: String,
}

impl LogLine {
    /// Parses a line; `None` if it is not in the log format of a lagoonhill process.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim();
        if let Some((before, dropped)) = text.split_once(DROPPED_PREFIX) {
            return Some(Self {
                at: None,
                process: last_word(before),
                target: String::new(),
                message: LogMessage::default(),
                dropped: dropped.trim().parse().ok()?,
            });
        }
        match text.find('{') {
            Some(at) if text.ends_with('}') && !text[..at].contains('=') => {
                let line: JsonLine = serde_json::from_str(&text[at..]).ok()?;
                Some(Self {
                    at: Some(line.timestamp),
                    process: last_word(&text[..at]),
                    target: line.target,
                    message: LogMessage::parse(&line.message),
                    dropped: 0,
                })
            }
            _ => Self::parse_text(text),
        }
    }

    /// Parses `[process] time LEVEL target: file:line message`.
    fn parse_text(text: &str) -> Option<Self> {
        let mut before = None;
        let mut rest = text;
        let at = loop {
            let (word, left) = rest.split_once(' ')?;
            rest = left.trim_start();
            // A collector may add its own clock in seconds: a number, which is not a `Timestamp`.
            match word.parse::<Timestamp>() {
                Ok(at) => break at,
                Err(_) => before = Some(word.to_owned()),
            }
        };
        let (_level, rest) = rest.split_once(' ')?;
        let (target, rest) = rest.trim_start().split_once(": ")?;
        let (_place, message) = rest.split_once(' ')?;
        Some(Self {
            at: Some(at),
            process: before,
            target: target.to_owned(),
            message: LogMessage::parse(message),
            dropped: 0,
        })
    }

    /// Whether the line records a decision.
    pub fn is_decision(&self) -> bool {
        self.target == DECISION_TARGET
    }
}

fn last_word(text: &str) -> Option<String> {
    text.split_whitespace().last().map(ToOwned::to_owned)
}
