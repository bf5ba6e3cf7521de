use std::fmt;
use std::str::FromStr;

use lagoonhill_types::prelude::*;

/// The scheduling class of a service. Earlier variants are more urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Morning rushes: somebody is waiting.
    Rush,
    /// Everything without a class of its own.
    #[default]
    Standard,
    /// Office work: nobody is waiting.
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

    /// The word that stands in a rule.
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

/// What operators want of a worker or an availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServingState {
    /// Gets new work.
    #[default]
    Serve,
    /// Gets no new work; running tasks finish.
    Drain,
    /// Gets single probe tasks only.
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

/// A service: its class, limits and what its tasks need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Scheduling class.
    pub class: Class,
    /// Deadline of a job that names none.
    pub deadline_ms: DurationMs,
    /// Expected run time of a task until it has been learned.
    pub run_time_ms: DurationMs,
    /// A task still running after this is stopped.
    pub run_limit_ms: DurationMs,
    /// Largest job, in tasks.
    pub max_tasks: u16,
    /// Accelerators that a worker must offer.
    pub accelerators: u16,
    /// Memory that a worker must offer.
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

/// A queue: which service runs its jobs, and what is promised of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRule {
    /// The service that runs its tasks. A line must name one.
    pub service: Option<ServiceName>,
    /// Scheduling class, in place of the service's.
    pub class: Option<Class>,
    /// Runs of one task at most.
    pub attempts: u16,
    /// Time promised on top of a job's own run time.
    pub objective_ms: DurationMs,
    /// Share of the job's own run time that is promised, in thousandths.
    pub slack_permille: u32,
    /// Host that callers name, for entries that route by it.
    pub host: Option<String>,
    /// Start of the paths that callers name, for entries that route by it.
    pub path: Option<String>,
    /// Each of its steps needs a permit that this service does not ask for.
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

/// A team's share and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRule {
    /// Scheduling class of the team's jobs, in place of the service's.
    pub class: Option<Class>,
    /// Share of a class relative to other teams.
    pub weight: u32,
    /// Tasks in flight at the same time, over all entries.
    pub concurrency: Option<u32>,
    /// Task admissions a second, over all entries.
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

/// A class's share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRule {
    /// Share of the slots relative to other classes.
    pub weight: u32,
}

/// What operators want of one worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerRule {
    /// Wanted state.
    pub state: ServingState,
}

/// What operators want of one availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRule {
    /// Wanted state.
    pub state: ServingState,
}

/// One parsed rule.
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
