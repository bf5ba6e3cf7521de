//! Operations behind the operator commands: edit the rules in the platform's
//! store, check where they are in force, query entries, analyse logs.

mod analysis;
mod edit_store;
mod fleet_status;
mod log_line;
mod log_schema;
mod story;

pub use analysis::{
    AnalysisOptions, AnalysisReport, Distribution, GroupBy, GroupStats, LogAnalysis, SecondStats,
};
pub use edit_store::{EditError, new_edit_id, read_rules, submit_edit};
pub use fleet_status::{
    EntryReport, ProcessRevision, QueryError, WorkerReport, count_serving, explain, query_entry,
    query_fleet, rules_in_force,
};
pub use log_line::{DECISION_TARGET, LogLine, LogMessage};
pub use log_schema::LogSchema;
pub use story::JobTimeline;
