use std::fmt;

use lagoonhill_core::agent::TaskKey;
use lagoonhill_protocol::{Start, Target, TaskResult};
use lagoonhill_types::prelude::*;

/// What a runner reports to the agent's decisions.
#[derive(Debug)]
pub enum RunnerReport {
    /// A run is over.
    Finished {
        /// Which.
        key: TaskKey,
        /// What became of it.
        result: TaskResult,
    },
    /// The target takes tasks, or (`None`) does not.
    Target(Option<Target>),
}

/// Carries an agent's decisions out on its target. Lives on the control
/// thread; whatever takes time is done elsewhere and comes back as an event.
pub trait TargetRunner: Send + 'static {
    /// What comes back.
    type Event: fmt::Debug + Send + 'static;

    /// Starts a run.
    fn run(&mut self, key: TaskKey, start: Start, target: Target, now: TimestampMs);

    /// Stops a run; its end is reported as of any other.
    fn stop(&mut self, key: TaskKey, now: TimestampMs);

    /// The end of a run is stored.
    fn noted(&mut self, _key: TaskKey, _now: TimestampMs) {}

    /// The end of a run will never be stored.
    fn void(&mut self, _key: TaskKey) {}

    /// Takes what has come back.
    fn handle(&mut self, event: Self::Event, now: TimestampMs);

    /// Runs timers.
    fn tick(&mut self, now: TimestampMs);

    /// What is to be reported since the last call.
    fn poll_reports(&mut self) -> Vec<RunnerReport>;
}
