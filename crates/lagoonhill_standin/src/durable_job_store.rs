use std::collections::BTreeMap;

use lagoonhill_core::entry::{DurableJob, DurableJobState, StoreOutcome, StoreRequest, StoreWrite};
use lagoonhill_types::prelude::*;

/// The platform's store of durable jobs in a [`World`](crate::World); each job
/// has one owner.
#[derive(Debug, Default)]
pub struct DurableJobStore {
    jobs: BTreeMap<RequestKey, Record>,
    /// Refuses every operation.
    pub is_down: bool,
    /// How much later than usual the answers to operations arrive.
    pub answer_delay_ms: u64,
}

#[derive(Debug)]
struct Record {
    owner: usize,
    job: DurableJob,
    state: DurableJobState,
}

impl DurableJobStore {
    /// Executes a store operation of the entry `owner`.
    pub fn execute(&mut self, owner: usize, write: StoreWrite) -> StoreOutcome {
        if self.is_down {
            return StoreOutcome::Rejected;
        }
        let StoreWrite {
            name,
            epoch,
            request,
            ..
        } = write;
        let is_own = |record: &Record| {
            record.owner == owner
                && record.job.epoch == epoch
                && record.state == DurableJobState::Open
        };
        let record = self.jobs.get_mut(&name);
        match (request, record) {
            (StoreRequest::Accept(job), None) => {
                let state = DurableJobState::Open;
                let record = Record { owner, job, state };
                self.jobs.insert(name, record);
                StoreOutcome::Done
            }
            (StoreRequest::Accept(_), Some(record)) => StoreOutcome::OwnedElsewhere(record.state),
            (StoreRequest::Save(job), Some(record)) if is_own(record) => {
                record.job = job;
                StoreOutcome::Done
            }
            (StoreRequest::Finish(state), Some(record)) if is_own(record) => {
                record.state = state;
                StoreOutcome::Done
            }
            (_, record) => StoreOutcome::OwnedElsewhere(
                record.map_or(DurableJobState::Complete, |record| record.state),
            ),
        }
    }

    /// Returns the state of a job.
    pub fn state(&self, name: &RequestKey) -> Option<DurableJobState> {
        self.jobs.get(name).map(|record| record.state)
    }

    /// Removes the terms of all jobs, as in records of releases that store none.
    pub fn forget_terms(&mut self) {
        for record in self.jobs.values_mut() {
            record.job.terms = None;
        }
    }

    /// Makes entry `to` the owner of the open jobs of entry `from`, and returns
    /// them.
    pub fn take_over(&mut self, from: usize, to: usize) -> Vec<(RequestKey, DurableJob)> {
        let mut taken = Vec::new();
        for (name, record) in &mut self.jobs {
            if record.owner == from && record.state == DurableJobState::Open {
                record.owner = to;
                taken.push((name.clone(), record.job.clone()));
                record.job.epoch += 1;
            }
        }
        taken
    }
}
