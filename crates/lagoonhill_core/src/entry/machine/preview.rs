//! Previews: what this entry would do with a submission now, without doing it.
//!
//! A preview runs the real admission and dispatch on a copy of the entry, which is
//! discarded with its effects. So it can't differ from what a submission meets.

use std::collections::BTreeMap;

use lagoonhill_types::prelude::*;

use super::Entry;
use crate::entry::{
    CallerId, Decision, DecisionKind, DurableState, EntryEffect, JobFailure, Placement, Preview,
    PreviewedTask, PreviewedWorker, Submission,
};

/// Stands for the caller of a previewed submission. Callers are numbered from 0.
const PREVIEW_CALLER: CallerId = CallerId(u64::MAX);

/// Chosen workers for which the next best one is determined; each takes another copy of
/// the entry.
const MAX_EXAMINED_WORKERS: usize = 8;

/// Outcome of a submission to a copy of the entry.
struct Trial {
    refusal: Option<JobFailure>,
    promised_ms: Option<DurationMs>,
    placed: BTreeMap<TaskIndex, (PreviewedWorker, u16)>,
}

impl<P: Placement + Clone> Entry<P> {
    /// What would become of a submission now. Leases on names, tickets, keys and writes to
    /// the store, which precede admission or follow it, are taken as granted.
    pub fn preview(&self, submission: &Submission, now: TimestampMs) -> Preview {
        let trial = self.try_out(submission, None, now);
        let mut next_by_worker: BTreeMap<WorkerId, BTreeMap<TaskIndex, PreviewedWorker>> =
            BTreeMap::new();
        for (chosen, _) in trial.placed.values() {
            if next_by_worker.contains_key(&chosen.worker)
                || next_by_worker.len() == MAX_EXAMINED_WORKERS
            {
                continue;
            }
            let without = self.try_out(submission, Some(&chosen.worker), now);
            let next = without.placed.into_iter();
            let next = next.map(|(index, (worker, _))| (index, worker)).collect();
            next_by_worker.insert(chosen.worker.clone(), next);
        }
        let task = |(index, (chosen, alternatives)): (TaskIndex, (PreviewedWorker, u16))| {
            let next = next_by_worker.get(&chosen.worker);
            PreviewedTask {
                index,
                next: next.and_then(|next| next.get(&index).cloned()),
                chosen,
                alternatives,
            }
        };
        let placed: Vec<PreviewedTask> = trial.placed.into_iter().map(task).collect();
        let waiting_tasks = if trial.refusal.is_some() {
            0
        } else {
            submission.tasks.len() - placed.len()
        };
        Preview {
            rules_revision: self.rules.revision(),
            queued_tasks: self.queued_tasks(&submission.service),
            promised_ms: trial.promised_ms,
            refusal: trial.refusal,
            placed,
            waiting_tasks,
        }
    }

    /// Submits to a copy of the entry in which `excluded` gets nothing new.
    fn try_out(
        &self,
        submission: &Submission,
        excluded: Option<&WorkerId>,
        now: TimestampMs,
    ) -> Trial {
        let mut copy = self.clone();
        copy.effects.clear();
        for (_, worker) in copy.fleet.iter_mut() {
            worker.leaving |= Some(&worker.id) == excluded;
        }
        let number = copy.next_number();
        let refusal = if submission.durable {
            copy.try_out_durable(submission, number, now)
        } else {
            copy.admit(PREVIEW_CALLER, submission.clone(), number, None, now);
            copy.preview_refusal()
        };
        copy.dispatch_all(now);
        let id = JobId {
            entry: copy.config.address.incarnation,
            number,
        };
        let mut trial = Trial {
            refusal,
            promised_ms: None,
            placed: BTreeMap::new(),
        };
        for effect in copy.effects.drain(..) {
            if let EntryEffect::LogDecision(decision) = effect
                && decision.job == Some(id)
            {
                trial.record(decision);
            }
        }
        trial
    }

    fn try_out_durable(
        &mut self,
        submission: &Submission,
        number: u64,
        now: TimestampMs,
    ) -> Option<JobFailure> {
        let terms = self.terms_of(submission);
        let durable = DurableState::new(submission.clone().into(), terms, 1, true);
        match self.admit_durable(submission, durable, number, now) {
            Ok(key) => {
                self.enqueue_durable(key, now);
                None
            }
            Err(failure) => Some(failure),
        }
    }

    /// The failure with which the previewed submission was refused.
    fn preview_refusal(&self) -> Option<JobFailure> {
        self.effects.iter().find_map(|effect| match effect {
            EntryEffect::Answer { caller, answer } if *caller == PREVIEW_CALLER => {
                answer.outcome.as_ref().err().cloned()
            }
            _ => None,
        })
    }
}

impl Trial {
    fn record(&mut self, decision: Decision) {
        match (decision.kind, decision.index) {
            (DecisionKind::Admitted { promised_ms, .. }, _) => self.promised_ms = promised_ms,
            (
                DecisionKind::Placed {
                    worker,
                    load,
                    slots,
                    alternatives,
                    expected_ms,
                    report_age_ms,
                    ..
                },
                Some(index),
            ) => {
                let worker = PreviewedWorker {
                    worker,
                    load,
                    slots,
                    expected_ms,
                    report_age_ms,
                };
                self.placed.insert(index, (worker, alternatives));
            }
            _ => {}
        }
    }
}
