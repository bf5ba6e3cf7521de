//! Records of routing and placement decisions, for the log and `explain`.

use std::fmt;

use lagoonhill_protocol::NotRunReason;
use lagoonhill_rules::{Class, ZoneDrain};
use lagoonhill_types::prelude::*;

use super::{
    Cause, ContainmentChange, DurableJobState, ResolvedLoss, RunCertainty, TaskCrashes, Verdict,
    Weighed,
};

/// From where an entry learned whether a zone is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSource {
    /// The platform's store.
    Store,
    /// Another entry.
    Peer,
    /// The agent of a worker in the zone.
    Agent,
}

impl fmt::Display for DrainSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Agent => "agent",
        })
    }
}

/// Kind of a decision, with its details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecisionKind {
    /// The job was admitted.
    Admitted {
        /// Number of tasks.
        tasks: usize,
        /// Service of the job.
        service: ServiceName,
        /// Team of the job.
        team: TeamName,
        /// Number of tasks in the queue before the admission.
        queued: usize,
        /// Time allowed for the answer.
        deadline_ms: DurationMs,
        /// Time left within the promise of its queue, if there is one.
        promised_ms: Option<DurationMs>,
    },
    /// The submission was refused.
    Refused {
        /// Cause of the refusal.
        cause: Cause,
        /// What was weighed, if it was refused for lack of room.
        weighed: Option<Box<Weighed>>,
    },
    /// A task was placed.
    Placed {
        /// Worker that was chosen.
        worker: WorkerId,
        /// Estimated number of tasks at the worker before.
        load: u16,
        /// Slots of the worker.
        slots: u16,
        /// Number of other workers with free capacity.
        alternatives: u16,
        /// Time since the job was admitted.
        waited_ms: DurationMs,
        /// Expected run time on the worker.
        expected_ms: DurationMs,
        /// Age of the worker's last report.
        report_age_ms: DurationMs,
    },
    /// A task was returned unstarted and queued again.
    Moved {
        /// Worker that returned it.
        worker: WorkerId,
        /// Reason given by the worker.
        reason: NotRunReason,
    },
    /// A task was queued again after an unsuccessful run.
    Rerun {
        /// Worker of that run.
        worker: WorkerId,
        /// Reason for the end of the run.
        why: String,
    },
    /// A worker crashed, or was lost, under a task.
    Crashed {
        /// The worker that crashed.
        worker: WorkerId,
        /// Crashes under the task so far.
        crashes: TaskCrashes,
        /// Whether the run was placed beside no other suspect.
        is_isolated: bool,
        /// What follows for the task.
        verdict: Verdict,
    },
    /// A lost worker has answered again, so it is known whether it had crashed.
    LossResolved {
        /// The loss and its outcome.
        resolved: ResolvedLoss,
        /// Crashes under the task so far.
        crashes: TaskCrashes,
        /// What follows for the task.
        verdict: Verdict,
    },
    /// A task waits until the losses of workers under it are resolved.
    Awaited {
        /// Time until which it waits at most.
        until_ms: TimestampMs,
    },
    /// A suspect is done, so it is none any more.
    Cleared {
        /// Worker that ran it.
        worker: WorkerId,
    },
    /// A task is in doubt: its worker was lost. It is queued again at `in_doubt_until_ms`.
    InDoubt {
        /// Worker on which it may still run.
        worker: WorkerId,
        /// Time until which it may still run.
        in_doubt_until_ms: TimestampMs,
    },
    /// The job was completed.
    Completed {
        /// Time since the job was admitted.
        took_ms: DurationMs,
    },
    /// The job failed.
    Failed {
        /// Whether any task may have run.
        run: RunCertainty,
        /// Cause of the failure.
        cause: Cause,
        /// Time since the job was admitted.
        took_ms: DurationMs,
        /// Its class, if it was given up for lack of room.
        given_up: Option<Class>,
    },
    /// A job runs without the lease on its name, since no home answered.
    Unleased,
    /// A worker joined, or began a new session.
    Joined {
        /// The worker that joined.
        worker: WorkerId,
    },
    /// Start-up discovery is complete.
    DiscoveryComplete {
        /// Number of workers discovered.
        workers: usize,
        /// Time since the entry started or received its first rules.
        took_ms: DurationMs,
        /// Number of jobs that wait for workers.
        waiting: usize,
    },
    /// A worker gets no more tasks.
    Left {
        /// The worker that left.
        worker: WorkerId,
        /// Reason for leaving.
        why: &'static str,
    },
    /// A worker fails or is slow where others are not; it gets only single probes.
    Quarantined {
        /// The worker in quarantine.
        worker: WorkerId,
        /// Time until the first probe may start.
        probe_in_ms: DurationMs,
    },
    /// A worker's quarantine ended after successful probes.
    Recovered {
        /// The worker that recovered.
        worker: WorkerId,
    },
    /// A durable job whose owner is lost was taken over.
    TakenOver {
        /// Number of owners so far, including this entry.
        epoch: u32,
        /// Time before which none of its tasks starts.
        in_doubt_until_ms: TimestampMs,
    },
    /// A task has failed and waits until the rules have its job's queue again: how often
    /// it may fail is not known.
    Withheld {
        /// Queue of the job.
        queue: QueueName,
    },
    /// A durable job was abandoned, because it has another owner or has ended.
    Abandoned {
        /// Its state in the store.
        state: DurableJobState,
    },
    /// The drain of a zone came into force, or ended.
    ZoneDrain {
        /// The zone, and whether it is drained.
        drain: ZoneDrain,
        /// From where this entry learned of it.
        source: DrainSource,
        /// Workers of the zone in session. None if the zone is misspelt.
        workers: usize,
        /// Other zones that changed at the same time.
        other_zones: usize,
    },
    /// A kind of work is kept to a part of the fleet, or no longer.
    Containment(ContainmentChange),
    /// Newer rules came into force.
    Rules {
        /// Revision of the rules.
        revision: Revision,
    },
}

impl DecisionKind {
    fn fmt_crash(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Crashed {
                worker,
                crashes,
                is_isolated,
                verdict,
            } => write!(
                f,
                "crashed worker={worker} {crashes} isolated={is_isolated} verdict={verdict}"
            ),
            Self::LossResolved {
                resolved: ResolvedLoss { crash, outcome },
                crashes,
                verdict,
            } => write!(
                f,
                "loss-resolved worker={} loss={} target={} outcome={outcome} {crashes} verdict={verdict}",
                crash.worker, crash.loss.number, crash.loss.incarnation
            ),
            Self::Awaited { until_ms } => write!(f, "awaits-loss until={until_ms}"),
            _ => Ok(()),
        }
    }
}

/// One routing or placement decision, for the log and `explain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Time of the decision.
    pub at_ms: TimestampMs,
    /// Job that it concerns, if any.
    pub job: Option<JobId>,
    /// Name that the caller gave to the job, if any.
    pub request: Option<RequestKey>,
    /// Task that it concerns, if any.
    pub index: Option<TaskIndex>,
    /// Kind of the decision.
    pub kind: DecisionKind,
}

impl Decision {
    /// Writes the request, job and task that it concerns.
    fn fmt_subject(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(request) = &self.request {
            write!(f, "request={request} ")?;
        }
        if let Some(job) = self.job {
            write!(f, "job={job} ")?;
        }
        if let Some(index) = self.index {
            write!(f, "task={index} ")?;
        }
        Ok(())
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.fmt_subject(f)?;
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
            DecisionKind::Refused { cause, weighed } => {
                write!(f, "refused why={}", Quoted(cause))?;
                weighed
                    .as_ref()
                    .map_or(Ok(()), |weighed| write!(f, " {weighed}"))
            }
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
            crashed @ (DecisionKind::Crashed { .. }
            | DecisionKind::LossResolved { .. }
            | DecisionKind::Awaited { .. }) => crashed.fmt_crash(f),
            DecisionKind::Cleared { worker } => write!(f, "cleared worker={worker}"),
            DecisionKind::InDoubt {
                worker,
                in_doubt_until_ms,
            } => {
                write!(f, "unsettled worker={worker} until={in_doubt_until_ms}")
            }
            DecisionKind::Completed { took_ms } => write!(f, "completed took={took_ms}"),
            DecisionKind::Failed {
                run,
                cause,
                took_ms,
                given_up,
            } => {
                write!(f, "failed run={run} took={took_ms} why={}", Quoted(cause))?;
                given_up.map_or(Ok(()), |class| write!(f, " class={class}"))
            }
            DecisionKind::Unleased => f.write_str("unleased"),
            DecisionKind::Joined { worker } => write!(f, "joined worker={worker}"),
            DecisionKind::DiscoveryComplete {
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
            DecisionKind::TakenOver {
                epoch,
                in_doubt_until_ms,
            } => {
                write!(f, "adopted epoch={epoch} until={in_doubt_until_ms}")
            }
            DecisionKind::Withheld { queue } => write!(f, "withheld queue={queue}"),
            DecisionKind::Abandoned { state } => write!(f, "given-up state={state}"),
            DecisionKind::ZoneDrain {
                drain,
                source,
                workers,
                other_zones,
            } => write!(
                f,
                "{drain} source={source} workers={workers} other_zones={other_zones}"
            ),
            DecisionKind::Containment(change) => change.fmt(f),
            DecisionKind::Rules { revision } => write!(f, "rules revision={revision}"),
        }
    }
}
