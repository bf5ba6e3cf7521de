//! The settings of a job that its queue's rule sets at its acceptance.

use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;

/// The settings of a job that are fixed at its acceptance: changes of the rules, or the
/// removal of its queue, do not affect them. Stored with durable jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTerms {
    /// Scheduling class.
    pub class: Class,
    /// Number of failed runs of one task after which the job fails.
    pub attempts: u16,
    /// Time promised in addition to the job's own run time.
    pub objective_ms: DurationMs,
    /// Share of the job's own run time that is promised, in thousandths.
    pub slack_permille: u32,
    /// Time limit of one run on a target.
    pub run_limit_ms: DurationMs,
}
