use std::collections::BTreeMap;

use lagoonhill_core::entry::{KeepOrder, KeptJob, KeptState, Stored};
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
    job: KeptJob,
    state: KeptState,
}

impl KeptStore {
    /// Carries out an order of an entry.
    pub fn carry_out(&mut self, owner: usize, name: &RequestKey, order: KeepOrder) -> Stored {
        if self.is_down {
            return Stored::Refused;
        }
        let record = self.jobs.get_mut(name);
        match (order, record) {
            (KeepOrder::Accept(job), None) => {
                let state = KeptState::Open;
                let record = Record { owner, job, state };
                self.jobs.insert(name.clone(), record);
                Stored::Done
            }
            (KeepOrder::Accept(_), Some(record)) => Stored::Taken(record.state),
            (KeepOrder::Save(job), Some(record))
                if record.owner == owner && record.state == KeptState::Open =>
            {
                record.job = job;
                Stored::Done
            }
            (KeepOrder::Finish(state), Some(record))
                if record.owner == owner && record.state == KeptState::Open =>
            {
                record.state = state;
                Stored::Done
            }
            (_, record) => Stored::Taken(record.map_or(KeptState::Complete, |record| record.state)),
        }
    }

    /// How a job stands.
    pub fn state(&self, name: &RequestKey) -> Option<KeptState> {
        self.jobs.get(name).map(|record| record.state)
    }

    /// Makes an entry the owner of another's open jobs, and returns them.
    pub fn take_over(&mut self, from: usize, to: usize) -> Vec<(RequestKey, KeptJob)> {
        let mut taken = Vec::new();
        for (name, record) in &mut self.jobs {
            if record.owner == from && record.state == KeptState::Open {
                record.owner = to;
                taken.push((name.clone(), record.job.clone()));
                record.job.epoch += 1;
            }
        }
        taken
    }
}
