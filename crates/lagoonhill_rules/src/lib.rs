//! Rule lines: parsing, checking, comparing and merging.
//!
//! A rule file holds one rule per line: `kind subject key=value …  # requester`. A
//! file with an invalid line is rejected as a whole. Edits are merged line by line,
//! so that operators who change different lines do not conflict.

mod edit;
mod error;
mod line;
mod parse;
mod rule;
mod set;
mod stored;
mod zone_drains;

pub use edit::{Change, Edit, EditConflict, EditId};
pub use error::{RuleError, RuleErrors, RuleProblem};
pub use line::{RuleKey, RuleKind, RuleLine};
pub use parse::parse_rules;
pub use rule::{
    Class, ClassRule, QueueRule, Rule, ServiceRule, ServingState, TeamRule, WorkerRule, ZoneRule,
};
pub use set::{RuleDelta, RuleSet};
pub use stored::{EditRecord, StoreError, StoredRules};
pub use zone_drains::{ZoneDrain, ZoneDrains};
