//! Interface between the agent and the code that runs tasks on its target.

use std::fmt;

use lagoonhill_core::agent::TaskKey;
use lagoonhill_core::leased::{AnnouncementReport, TargetChange};
use lagoonhill_protocol::{Start, Target, TargetAnswered, TaskResult};
use lagoonhill_types::prelude::*;

/// A report of a runner to the agent.
#[derive(Debug)]
pub enum RunnerReport {
    /// A run has ended.
    Finished {
        /// The run.
        key: TaskKey,
        /// How it ended.
        result: TaskResult,
    },
    /// The target accepts tasks, or (`None`) does not.
    Target(Option<Target>),
    /// Another incarnation of the target is present, or none.
    Changed(TargetChange),
    /// The target has answered as another incarnation, or again after a loss.
    Answered(TargetAnswered),
    /// An announcement was handled.
    Announced(AnnouncementReport),
}

/// Runs tasks on the target. Called on the control thread, so it must not block:
/// slow work is done elsewhere and its result is delivered as an event.
pub trait TargetRunner: Send + 'static {
    /// Event that delivers the result of work done off the control thread.
    type Event: fmt::Debug + Send + 'static;

    /// Starts a run.
    fn run(&mut self, key: TaskKey, start: Start, target: Target, now: TimestampMs);

    /// Stops a run. Its end is reported like that of any other.
    fn stop(&mut self, key: TaskKey, now: TimestampMs);

    /// Called when the end of a run has been stored.
    fn end_stored(&mut self, _key: TaskKey, _now: TimestampMs) {}

    /// Called when the end of a run will never be stored.
    fn end_discarded(&mut self, _key: TaskKey) {}

    /// Handles an event.
    fn handle(&mut self, event: Self::Event, now: TimestampMs);

    /// Runs timers that are due.
    fn tick(&mut self, now: TimestampMs);

    /// Takes the reports made since the last call.
    fn poll_reports(&mut self) -> Vec<RunnerReport>;
}
