use std::fmt;

/// What is wrong with a rule line. Each message names the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The line ends without a comment.
    #[error("the line does not say who asked for it: end it with `# name`")]
    NoAsker,
    /// The kind is unknown.
    #[error("`{word}` is not a rule kind: write {expected}")]
    UnknownKind {
        /// The word found.
        word: String,
        /// The words allowed, or the closest one.
        expected: String,
    },
    /// The subject is missing.
    #[error("the line names no {kind}: write `{kind} NAME key=value`")]
    NoSubject {
        /// The line's kind.
        kind: &'static str,
    },
    /// The subject is not a valid name.
    #[error("{0}")]
    BadSubject(String),
    /// A setting is not `key=value`.
    #[error("`{word}` is not a setting: write `key=value` without spaces around `=`")]
    NotASetting {
        /// The word found.
        word: String,
    },
    /// The kind has no such key.
    #[error("`{key}` is not a setting of `{kind}`: write {expected}")]
    UnknownKey {
        /// The key found.
        key: String,
        /// The line's kind.
        kind: &'static str,
        /// The keys allowed, or the closest one.
        expected: String,
    },
    /// The key stands twice in one line.
    #[error("`{key}` stands twice in the line: remove one of them")]
    RepeatedKey {
        /// The key found.
        key: String,
    },
    /// The value can't be read.
    #[error("{0}")]
    BadValue(String),
    /// Another line has the same kind and subject.
    #[error("`{key}` already has a rule in line {first_line}: merge the two lines")]
    RepeatedLine {
        /// Kind and subject.
        key: String,
        /// Where the first one stands.
        first_line: usize,
    },
}

/// A problem and its place.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {problem}")]
pub struct RuleError {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong and how to mend it.
    pub problem: Problem,
}

/// All problems of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleErrors(pub Vec<RuleError>);

impl fmt::Display for RuleErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for RuleErrors {}
