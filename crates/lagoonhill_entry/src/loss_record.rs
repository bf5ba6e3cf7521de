//! The stored format of losses of workers that may be crashes.

use lagoonhill_core::entry::{CrashEvidence, TaskCrashes, UnresolvedCrash};
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
    /// At work, and the likely cause.
    Cause,
    AtWork,
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
            evidence: match crash.evidence {
                CrashEvidence::AtWork { is_cause: true } => EvidenceRecord::Cause,
                CrashEvidence::AtWork { is_cause: false } => EvidenceRecord::AtWork,
                CrashEvidence::AtStart => EvidenceRecord::AtStart,
            },
        })
    }

    /// The task and the loss that the record describes.
    pub(crate) fn into_loss(self) -> (TaskIndex, UnresolvedCrash) {
        let crash = UnresolvedCrash {
            worker: self.worker,
            agent: self.agent,
            loss: self.loss,
            evidence: match self.evidence {
                EvidenceRecord::Cause => CrashEvidence::AtWork { is_cause: true },
                EvidenceRecord::AtWork => CrashEvidence::AtWork { is_cause: false },
                EvidenceRecord::AtStart => CrashEvidence::AtStart,
            },
        };
        (self.task, crash)
    }
}
