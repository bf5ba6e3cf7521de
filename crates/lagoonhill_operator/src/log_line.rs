use jiff::Timestamp;
use serde::Deserialize;

/// The target of lines that tell of a decision.
pub const DECISION_TARGET: &str = "decision";

/// Start of the line that stands for lines that were dropped.
const DROPPED_PREFIX: &str = "log lines dropped=";

/// One line of a process's log, text or JSON.
///
/// A text line may have the process's name before its time, as collectors put
/// it there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// When; `None` for a line that counts dropped ones.
    pub at: Option<Timestamp>,
    /// The process that wrote it, where the line says so.
    pub process: Option<String>,
    /// Who in the process wrote it; [`DECISION_TARGET`] for decisions.
    pub target: String,
    /// What it says.
    pub message: LogMessage,
    /// Lines that were dropped before this one.
    pub dropped: u64,
}

/// A message as its words and its fields, each in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogMessage {
    /// The words that are no fields: the name of the event.
    pub event: String,
    /// Names and values.
    pub fields: Vec<(String, String)>,
}

impl LogMessage {
    /// Reads `word key=value key="several words"`.
    pub fn parse(text: &str) -> Self {
        let mut message = Self::default();
        let mut rest = text.trim();
        while !rest.is_empty() {
            let end = rest.find([' ', '=']).unwrap_or(rest.len());
            let (word, behind) = rest.split_at(end);
            if let Some(value) = behind.strip_prefix('=') {
                let (value, left) = take_value(value);
                message.fields.push((word.to_owned(), value));
                rest = left;
            } else {
                if !message.event.is_empty() {
                    message.event.push(' ');
                }
                message.event.push_str(word);
                rest = behind;
            }
            rest = rest.trim_start();
        }
        message
    }

    /// The value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Splits a value, quoted or not, from what follows it.
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
    // The line was cut off.
    (value, "")
}

#[derive(Deserialize)]
struct JsonForm {
    timestamp: Timestamp,
    target: String,
    message: String,
}

impl LogLine {
    /// Reads a line; `None` when it is none of a lagoonhill process.
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
                let form: JsonForm = serde_json::from_str(&text[at..]).ok()?;
                Some(Self {
                    at: Some(form.timestamp),
                    process: last_word(&text[..at]),
                    target: form.target,
                    message: LogMessage::parse(&form.message),
                    dropped: 0,
                })
            }
            _ => Self::parse_text(text),
        }
    }

    /// Reads `[process] time LEVEL target: file:line message`.
    fn parse_text(text: &str) -> Option<Self> {
        let mut before = None;
        let mut rest = text;
        let at = loop {
            let (word, left) = rest.split_once(' ')?;
            rest = left.trim_start();
            // Seconds of a collector's own clock are numbers, not times.
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

    /// Whether it tells of a decision.
    pub fn is_decision(&self) -> bool {
        self.target == DECISION_TARGET
    }
}

fn last_word(text: &str) -> Option<String> {
    text.split_whitespace().last().map(ToOwned::to_owned)
}
