//! Rules by kind, with their default settings.

use std::fmt;
use std::str::FromStr;

use lagoonhill_types::prelude::*;

/// The scheduling class of a service. Earlier variants are more urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Interactive work, such as morning rushes: users wait for the result.
    Rush,
    /// Services without an explicit class.
    #[default]
    Standard,
    /// Office work: no user waits for the result.
    Office,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Rush, Self::Standard, Self::Office];

    /// The share weight used when no `class` rule sets one.
    pub const fn default_weight(self) -> u32 {
        match self {
            Self::Rush => 32,
            Self::Standard => 8,
            Self::Office => 2,
        }
    }

    /// The word used in rules.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Rush => "rush",
            Self::Standard => "standard",
            Self::Office => "office",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Class {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|class| class.name() == text)
            .ok_or_else(|| format!("`{text}` is not a class: write rush, standard or office"))
    }
}

/// Serving state that operators set for a worker or an availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServingState {
    /// Receives new tasks.
    #[default]
    Serve,
    /// Receives no new tasks; running tasks finish.
    Drain,
    /// Receives only single probe tasks.
    Quarantine,
}

impl fmt::Display for ServingState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serve => "serve",
            Self::Drain => "drain",
            Self::Quarantine => "quarantine",
        })
    }
}

impl FromStr for ServingState {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "serve" => Ok(Self::Serve),
            "drain" => Ok(Self::Drain),
            "quarantine" => Ok(Self::Quarantine),
            _ => Err(format!(
                "`{text}` is not a state: write serve, drain or quarantine"
            )),
        }
    }
}

/// Rule of a service: its class, its limits and the resources of its tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Scheduling class.
    pub class: Class,
    /// Deadline of jobs that do not set one.
    pub deadline_ms: DurationMs,
    /// Expected run time of a task until one is learned.
    pub run_time_ms: DurationMs,
    /// Run time after which a task is stopped.
    pub run_limit_ms: DurationMs,
    /// Maximum number of tasks in a job.
    pub max_tasks: u16,
    /// Accelerators that a worker must have.
    pub accelerators: u16,
    /// Memory that a worker must have.
    pub memory_bytes: ByteCount,
}

impl Default for ServiceRule {
    fn default() -> Self {
        Self {
            class: Class::Standard,
            deadline_ms: DurationMs::from_secs(30),
            run_time_ms: DurationMs(300),
            run_limit_ms: DurationMs::from_secs(20),
            max_tasks: 1_600,
            accelerators: 0,
            memory_bytes: ByteCount(0),
        }
    }
}

/// Rule of a queue: the service that runs its jobs, and the time promised for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRule {
    /// The service that runs its tasks. Every line must set one.
    pub service: Option<ServiceName>,
    /// Scheduling class, overriding the service's.
    pub class: Option<Class>,
    /// Maximum number of runs of one task.
    pub attempts: u16,
    /// Time promised in addition to a job's own run time.
    pub objective_ms: DurationMs,
    /// Share of the job's own run time that is promised, in thousandths.
    pub slack_permille: u32,
    /// Host name of requests, for entries that route by host.
    pub host: Option<String>,
    /// Path prefix of requests, for entries that route by path.
    pub path: Option<String>,
    /// Whether each step of its jobs needs a permit, which this system does not
    /// request.
    pub needs_permit: bool,
}

impl Default for QueueRule {
    fn default() -> Self {
        Self {
            service: None,
            class: None,
            attempts: 1,
            objective_ms: DurationMs(100),
            slack_permille: 1_500,
            host: None,
            path: None,
            needs_permit: false,
        }
    }
}

/// Rule of a team: its share and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRule {
    /// Scheduling class of the team's jobs, overriding the service's.
    pub class: Option<Class>,
    /// Share within a class, relative to other teams.
    pub weight: u32,
    /// Maximum number of tasks in flight, over all entries.
    pub concurrency: Option<u32>,
    /// Maximum rate of task admissions, over all entries.
    pub rate: Option<PerSecond>,
}

impl Default for TeamRule {
    fn default() -> Self {
        Self {
            class: None,
            weight: 1,
            concurrency: None,
            rate: None,
        }
    }
}

/// Rule of a scheduling class: its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRule {
    /// Share of the slots, relative to other classes.
    pub weight: u32,
}

/// Rule of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerRule {
    /// The state set by operators.
    pub state: ServingState,
}

/// Rule of an availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRule {
    /// The state set by operators.
    pub state: ServingState,
}

/// A parsed rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rule {
    /// `queue NAME …`
    Queue(QueueRule),
    /// `service NAME …`
    Service(ServiceRule),
    /// `team NAME …`
    Team(TeamRule),
    /// `class NAME …`
    Class(ClassRule),
    /// `worker ID …`
    Worker(WorkerRule),
    /// `zone NAME …`
    Zone(ZoneRule),
}
