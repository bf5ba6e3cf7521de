use std::collections::BTreeMap;

use lagoonhill_core::entry::{DurableJob, DurableJobState, StoreRequest, Stored};
use lagoonhill_types::prelude::*;

/// The platform's memory of kept jobs, in the emulator: each has one owner.
#[derive(Debug, Default)]
pub struct KeptStore {
    jobs: BTreeMap<RequestKey, Record>,
    /// Refuses every order.
    pub is_down: bool,
}

#[derive(Debug)]
struct Record {
    owner: usize,
    job: DurableJob,
    state: DurableJobState,
}

impl KeptStore {
    /// Carries out an order of an entry.
    pub fn carry_out(&mut self, owner: usize, name: &RequestKey, order: StoreRequest) -> Stored {
        if self.is_down {
            return Stored::Refused;
        }
        let record = self.jobs.get_mut(name);
        match (order, record) {
            (StoreRequest::Accept(job), None) => {
                let state = DurableJobState::Open;
                let record = Record { owner, job, state };
                self.jobs.insert(name.clone(), record);
                Stored::Done
            }
            (StoreRequest::Accept(_), Some(record)) => Stored::Taken(record.state),
            (StoreRequest::Save(job), Some(record))
                if record.owner == owner && record.state == DurableJobState::Open =>
            {
                record.job = job;
                Stored::Done
            }
            (StoreRequest::Finish(state), Some(record))
                if record.owner == owner && record.state == DurableJobState::Open =>
            {
                record.state = state;
                Stored::Done
            }
            (_, record) => {
                Stored::Taken(record.map_or(DurableJobState::Complete, |record| record.state))
            }
        }
    }

    /// How a job stands.
    pub fn state(&self, name: &RequestKey) -> Option<DurableJobState> {
        self.jobs.get(name).map(|record| record.state)
    }

    /// Makes an entry the owner of another's open jobs, and returns them.
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
