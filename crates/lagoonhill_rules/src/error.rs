//! Errors in rule files. Each message says how to fix the line.

use std::fmt;

/// What is wrong with a rule line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RuleProblem {
    /// The line has no comment that names its requester.
    #[error("the line does not name its requester: end it with `# name`")]
    NoRequester,
    /// The line does not begin with a rule kind.
    #[error("`{word}` is not a rule kind: write {expected}")]
    UnknownKind {
        /// The word found.
        word: String,
        /// The closest kind, or all kinds.
        expected: String,
    },
    /// The line has no subject.
    #[error("the line does not name a {kind}: write `{kind} NAME key=value`")]
    NoSubject {
        /// The line's kind.
        kind: &'static str,
    },
    /// The subject is not a valid name of its kind.
    #[error("{0}")]
    BadSubject(String),
    /// A setting is not `key=value`.
    #[error("`{word}` is not a setting: write `key=value` without spaces around `=`")]
    NotASetting {
        /// The word found.
        word: String,
    },
    /// The kind has no setting with this key.
    #[error("`{key}` is not a setting of `{kind}`: write {expected}")]
    UnknownKey {
        /// The key found.
        key: String,
        /// The line's kind.
        kind: &'static str,
        /// The closest key, or all keys of the kind.
        expected: String,
    },
    /// The line sets the same key twice.
    #[error("`{key}` is set twice in the line: remove one of the settings")]
    RepeatedKey {
        /// The key found.
        key: String,
    },
    /// The value of a setting is invalid.
    #[error("{0}")]
    BadValue(String),
    /// An earlier line has the same kind and subject.
    #[error("`{key}` already has a rule on line {first_line}: merge the two lines")]
    RepeatedLine {
        /// Kind and subject.
        key: String,
        /// Number of the earlier line, from 1.
        first_line: usize,
    },
}

/// A problem and its position in the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {problem}")]
pub struct RuleError {
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
    /// The problem.
    pub problem: RuleProblem,
}

/// All errors in a rule file.
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
