//! The loss of a worker's target under a task, while it may be a crash.

use std::cmp::Ordering;
use std::fmt;

use lagoonhill_protocol::{LossId, TargetAnswered};
use lagoonhill_types::prelude::*;

use super::CrashEvidence;

/// The loss of a worker's target under a run, until the target answers again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnresolvedCrash {
    /// The worker.
    pub worker: WorkerId,
    /// Incarnation of its agent, which numbers the losses.
    pub agent: Incarnation,
    /// The loss.
    pub loss: LossId,
    /// What it shows if it is a crash.
    pub evidence: CrashEvidence,
}

/// What a target's answer tells of its loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossOutcome {
    /// Its process had ended.
    Crashed,
    /// Its process has run on.
    Survived,
}

impl fmt::Display for LossOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Crashed => "crashed",
            Self::Survived => "survived",
        })
    }
}

impl UnresolvedCrash {
    /// What the last answer of a worker's target tells of the loss; `None` if it is of
    /// another worker, or older than the loss.
    pub fn outcome(
        &self,
        worker: &WorkerId,
        agent: Incarnation,
        answered: &TargetAnswered,
    ) -> Option<LossOutcome> {
        let number = self.loss.number;
        let has_crashed = match agent.cmp(&self.agent) {
            _ if *worker != self.worker => return None,
            Ordering::Less => return None,
            Ordering::Equal if answered.losses < number => return None,
            Ordering::Equal => answered.crashes.contains(&number),
            Ordering::Greater => answered.incarnation != self.loss.incarnation,
        };
        Some(if has_crashed {
            LossOutcome::Crashed
        } else {
            LossOutcome::Survived
        })
    }
}
