use std::fmt;

use lagoonhill_protocol::NotRunReason;
use lagoonhill_types::prelude::*;

use super::{Cause, KeptState, RunCertainty};

/// What was decided about a job or task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecisionKind {
    /// The job was admitted.
    Admitted {
        /// Its tasks.
        tasks: usize,
        /// Its service.
        service: ServiceName,
        /// Its team.
        team: TeamName,
        /// Tasks queued before it.
        queued: usize,
        /// Time allowed for its answer.
        deadline_ms: DurationMs,
        /// Time left to keep its queue's promise, if there is one.
        promised_ms: Option<DurationMs>,
    },
    /// The submission was refused.
    Refused {
        /// Why.
        cause: Cause,
    },
    /// A task was placed.
    Placed {
        /// Where.
        worker: WorkerId,
        /// Tasks estimated there before.
        load: u16,
        /// Slots there.
        slots: u16,
        /// Other workers with room.
        alternatives: u16,
        /// Time since its job was admitted.
        waited_ms: DurationMs,
        /// How long the task is expected to run there.
        expected_ms: DurationMs,
        /// How old the worker's last report is.
        report_age_ms: DurationMs,
    },
    /// A task was handed back unstarted and queued again.
    Moved {
        /// Who handed it back.
        worker: WorkerId,
        /// Why.
        reason: NotRunReason,
    },
    /// A task is queued again after a run that ended without success.
    Rerun {
        /// Where it ran.
        worker: WorkerId,
        /// Why the run ended.
        why: String,
    },
    /// A task's worker was lost; it is queued again once it can't run there.
    Unsettled {
        /// Where it may run.
        worker: WorkerId,
        /// Until when.
        over_ms: TimestampMs,
    },
    /// The job was completed.
    Completed {
        /// Time since it was admitted.
        took_ms: DurationMs,
    },
    /// The job failed.
    Failed {
        /// Whether anything may have run.
        run: RunCertainty,
        /// Why.
        cause: Cause,
        /// Time since it was admitted.
        took_ms: DurationMs,
    },
    /// A worker joined, or its session began anew.
    Joined {
        /// Which.
        worker: WorkerId,
    },
    /// The fleet that this entry found when it started is taken as whole.
    Formed {
        /// Its workers.
        workers: usize,
        /// Time since the entry started or learned its first rules.
        took_ms: DurationMs,
        /// Jobs that wait for them.
        waiting: usize,
    },
    /// A worker gets no new work any more.
    Left {
        /// Which.
        worker: WorkerId,
        /// Why.
        why: &'static str,
    },
    /// A worker fails what others run well; it gets single probes.
    Quarantined {
        /// Which.
        worker: WorkerId,
        /// When the next probe may start.
        probe_in_ms: DurationMs,
    },
    /// A quarantined worker ran a probe well.
    Recovered {
        /// Which.
        worker: WorkerId,
    },
    /// A kept job whose owner is gone is gone on with.
    Adopted {
        /// Counts its owners.
        epoch: u32,
        /// Nothing of it starts before.
        over_ms: TimestampMs,
    },
    /// A kept job turned out to be another owner's, or over.
    GivenUp {
        /// How it stands in the store.
        state: KeptState,
    },
    /// Newer rules are in force.
    Rules {
        /// Their revision.
        revision: Revision,
    },
}

/// One routing or placement decision, for the log and `explain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// When.
    pub at_ms: TimestampMs,
    /// About which job.
    pub job: Option<JobId>,
    /// The caller's name of the job, if it has one.
    pub request: Option<RequestKey>,
    /// About which of its tasks.
    pub index: Option<TaskIndex>,
    /// What was decided.
    pub kind: DecisionKind,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(request) = &self.request {
            write!(f, "request={request} ")?;
        }
        if let Some(job) = self.job {
            write!(f, "job={job} ")?;
        }
        if let Some(index) = self.index {
            write!(f, "task={index} ")?;
        }
        match &self.kind {
            DecisionKind::Admitted {
                tasks,
                service,
                team,
                queued,
                deadline_ms,
                promised_ms,
            } => {
                write!(
                    f,
                    "admitted service={service} team={team} tasks={tasks} queued={queued} deadline={deadline_ms}"
                )?;
                promised_ms.map_or(Ok(()), |span| write!(f, " promised={span}"))
            }
            DecisionKind::Refused { cause } => write!(f, "refused why={}", Quoted(cause)),
            DecisionKind::Placed {
                worker,
                load,
                slots,
                alternatives,
                waited_ms,
                expected_ms,
                report_age_ms,
            } => write!(
                f,
                "placed worker={worker} load={load}/{slots} alternatives={alternatives} waited={waited_ms} expected={expected_ms} report_age={report_age_ms}"
            ),
            DecisionKind::Moved { worker, reason } => {
                write!(f, "moved from={worker} why={}", Quoted(reason))
            }
            DecisionKind::Rerun { worker, why } => {
                write!(f, "rerun from={worker} why={}", Quoted(why))
            }
            DecisionKind::Unsettled { worker, over_ms } => {
                write!(f, "unsettled worker={worker} until={over_ms}")
            }
            DecisionKind::Completed { took_ms } => write!(f, "completed took={took_ms}"),
            DecisionKind::Failed {
                run,
                cause,
                took_ms,
            } => write!(f, "failed run={run} took={took_ms} why={}", Quoted(cause)),
            DecisionKind::Joined { worker } => write!(f, "joined worker={worker}"),
            DecisionKind::Formed {
                workers,
                took_ms,
                waiting,
            } => write!(
                f,
                "formed workers={workers} took={took_ms} waiting={waiting}"
            ),
            DecisionKind::Left { worker, why } => {
                write!(f, "left worker={worker} why={}", Quoted(why))
            }
            DecisionKind::Quarantined {
                worker,
                probe_in_ms,
            } => {
                write!(f, "quarantined worker={worker} probe_in={probe_in_ms}")
            }
            DecisionKind::Recovered { worker } => write!(f, "recovered worker={worker}"),
            DecisionKind::Adopted { epoch, over_ms } => {
                write!(f, "adopted epoch={epoch} until={over_ms}")
            }
            DecisionKind::GivenUp { state } => write!(f, "given-up state={state}"),
            DecisionKind::Rules { revision } => write!(f, "rules revision={revision}"),
        }
    }
}
