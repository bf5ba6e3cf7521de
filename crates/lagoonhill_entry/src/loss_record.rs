//! The stored format of losses of workers that may be crashes.

use lagoonhill_core::entry::{CrashEvidence, SeenRun, TaskCrashes, UnresolvedCrash};
use lagoonhill_protocol::LossId;
use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};

/// An [`UnresolvedCrash`] in stored format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LossRecord {
    task: TaskIndex,
    worker: WorkerId,
    agent: Incarnation,
    #[serde(flatten)]
    loss: LossId,
    evidence: EvidenceRecord,
}

/// A [`CrashEvidence`] in stored format.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum EvidenceRecord {
    AtWork { age_ms: DurationMs, is_cause: bool },
    NearEnd { age_ms: DurationMs, is_cause: bool },
    MayHaveEnded,
    AtStart,
}

impl LossRecord {
    /// The losses under a task.
    pub(crate) fn all(task: TaskIndex, crashes: &TaskCrashes) -> impl Iterator<Item = Self> {
        crashes.unresolved.iter().map(move |crash| Self {
            task,
            worker: crash.worker.clone(),
            agent: crash.agent,
            loss: crash.loss.clone(),
            evidence: crash.evidence.into(),
        })
    }

    /// The task and the loss that the record describes.
    pub(crate) fn into_loss(self) -> (TaskIndex, UnresolvedCrash) {
        let crash = UnresolvedCrash {
            worker: self.worker,
            agent: self.agent,
            loss: self.loss,
            evidence: self.evidence.into(),
        };
        (self.task, crash)
    }
}

impl From<CrashEvidence> for EvidenceRecord {
    fn from(evidence: CrashEvidence) -> Self {
        match evidence {
            CrashEvidence::AtWork(SeenRun { age_ms, is_cause }) => {
                Self::AtWork { age_ms, is_cause }
            }
            CrashEvidence::NearEnd(SeenRun { age_ms, is_cause }) => {
                Self::NearEnd { age_ms, is_cause }
            }
            CrashEvidence::MayHaveEnded => Self::MayHaveEnded,
            CrashEvidence::AtStart => Self::AtStart,
        }
    }
}

impl From<EvidenceRecord> for CrashEvidence {
    fn from(record: EvidenceRecord) -> Self {
        match record {
            EvidenceRecord::AtWork { age_ms, is_cause } => {
                Self::AtWork(SeenRun { age_ms, is_cause })
            }
            EvidenceRecord::NearEnd { age_ms, is_cause } => {
                Self::NearEnd(SeenRun { age_ms, is_cause })
            }
            EvidenceRecord::MayHaveEnded => Self::MayHaveEnded,
            EvidenceRecord::AtStart => Self::AtStart,
        }
    }
}
