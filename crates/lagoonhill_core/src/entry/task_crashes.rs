//! Crashes of workers under one task, and what follows from them.

use std::fmt;

use lagoonhill_protocol::TargetAnswered;
use lagoonhill_types::prelude::*;

use super::{CrashCount, CrashEvidence, LossOutcome, SeenRun, UnresolvedCrash};

/// What the crashes under a task show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be the cause: it runs next beside no other suspect.
    Suspected,
    /// It is the cause if the losses under it are crashes: it does not run until that is
    /// known, or for a limited time.
    Awaited,
    /// It is the cause, or can't be told from it within the permitted crashes.
    Convicted,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Suspected => "suspected",
            Self::Awaited => "awaited",
            Self::Convicted => "convicted",
        })
    }
}

/// The crash of a worker under a run, or a loss that may be one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskCrash {
    /// A crash.
    Certain(CrashEvidence),
    /// A loss that may be a crash.
    Unresolved(UnresolvedCrash),
}

/// A loss of a worker's target under a task that its target's answer has resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedLoss {
    /// The loss.
    pub crash: UnresolvedCrash,
    /// What the answer tells of it.
    pub outcome: LossOutcome,
}

/// Crashes of workers under one task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskCrashes {
    /// Crashes that are certain.
    pub certain: CrashCount,
    /// Losses of targets that may be crashes.
    pub unresolved: Vec<UnresolvedCrash>,
    /// Whether a certain crash of this owner shows that the task is the cause.
    is_cause: bool,
    /// Least and greatest age of the runs that were seen until a certain crash; `None` if
    /// that is not known of all of them.
    ages_ms: Option<(DurationMs, DurationMs)>,
}

/// Divisor of the least age of runs that gives by how much similar ages may differ, beside
/// [`AGE_ERROR_MS`].
const SIMILAR_AGES_DIVISOR: u64 = 4;

/// Error of an age: the time between two looks of an agent at its target.
const AGE_ERROR_MS: DurationMs = DurationMs(20);

impl TaskCrashes {
    /// The certain crashes that an earlier owner has stored.
    pub fn restored(certain: CrashCount) -> Self {
        Self {
            certain,
            ..Self::default()
        }
    }

    /// Whether no worker has crashed, or been lost, under the task.
    pub fn is_empty(&self) -> bool {
        self.certain.is_zero() && self.unresolved.is_empty()
    }

    /// Adds a crash.
    pub fn add(&mut self, crash: TaskCrash) {
        match crash {
            TaskCrash::Certain(evidence) => self.add_certain(evidence),
            TaskCrash::Unresolved(crash) => self.unresolved.push(crash),
        }
    }

    fn add_certain(&mut self, evidence: CrashEvidence) {
        if let Some(SeenRun { age_ms, is_cause }) = evidence.seen_run() {
            self.is_cause |= is_cause;
            self.ages_ms = match self.ages_ms {
                None if self.certain.seen() == 0 => Some((age_ms, age_ms)),
                None => None,
                Some((least_ms, greatest_ms)) => {
                    Some((least_ms.min(age_ms), greatest_ms.max(age_ms)))
                }
            };
        }
        self.certain.add(evidence);
    }

    /// Resolves the losses that the last answer of a worker's target tells of.
    pub fn resolve(
        &mut self,
        worker: &WorkerId,
        agent: Incarnation,
        answered: &TargetAnswered,
    ) -> Vec<ResolvedLoss> {
        let mut resolved = Vec::new();
        for crash in std::mem::take(&mut self.unresolved) {
            match crash.outcome(worker, agent, answered) {
                None => self.unresolved.push(crash),
                Some(outcome) => {
                    if outcome == LossOutcome::Crashed {
                        self.add_certain(crash.evidence);
                    }
                    resolved.push(ResolvedLoss { crash, outcome });
                }
            }
        }
        resolved
    }

    /// What the crashes show.
    pub fn verdict(&self) -> Verdict {
        if self.convicts() {
            Verdict::Convicted
        } else if self.if_all_are_crashes().convicts() {
            Verdict::Awaited
        } else {
            Verdict::Suspected
        }
    }

    fn convicts(&self) -> bool {
        let have_similar_ages = self.ages_ms.is_some_and(|(least_ms, greatest_ms)| {
            greatest_ms <= least_ms + least_ms / SIMILAR_AGES_DIVISOR + AGE_ERROR_MS
        });
        self.certain.convicts(self.is_cause, have_similar_ages)
    }

    /// Number of crashes and of losses that are not resolved.
    pub fn total(&self) -> u16 {
        self.if_all_are_crashes().certain.total()
    }

    fn if_all_are_crashes(&self) -> Self {
        let mut all = Self {
            unresolved: Vec::new(),
            ..*self
        };
        for crash in &self.unresolved {
            all.add_certain(crash.evidence);
        }
        all
    }
}

impl fmt::Display for TaskCrashes {
    /// Writes the fields of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.certain.fmt(f)?;
        match self.unresolved.len() {
            0 => Ok(()),
            count => write!(f, " unresolved={count}"),
        }
    }
}
