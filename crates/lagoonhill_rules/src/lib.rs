//! Rule lines: parsing, checking, comparing and merging.
//!
//! A rule file holds one rule a line: `kind subject key=value …  # who asked
//! for it`. A file is valid as a whole or changes nothing. Edits are merged
//! line by line, so that operators who change different lines never collide.

mod edit;
mod error;
mod line;
mod parse;
mod rule;
mod set;
mod stored;

pub use edit::{Change, Edit, EditId, Race};
pub use error::{Problem, RuleError, RuleErrors};
pub use line::{RuleKey, RuleKind, RuleLine};
pub use parse::parse_rules;
pub use rule::{
    Class, ClassRule, QueueRule, Rule, ServiceRule, ServingState, TeamRule, WorkerRule, ZoneRule,
};
pub use set::{RuleDelta, RuleSet};
pub use stored::{EditRecord, StoreError, StoredRules};
