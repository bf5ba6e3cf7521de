use std::collections::{BTreeSet, HashMap};

use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;

use super::{Answer, CallerId, JobKey, Submission};

/// What a submission that may run at most once is known by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKey {
    /// The number of a ticket issued here.
    Ticket(u64),
    /// A caller's own key.
    Key(RequestKey),
}

impl RecordKey {
    /// The caller's own key, if that is what it is.
    pub fn request(&self) -> Option<RequestKey> {
        match self {
            Self::Ticket(_) => None,
            Self::Key(key) => Some(key.clone()),
        }
    }
}

/// What the platform said about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyBinding {
    /// It is bound to this entry.
    Mine,
    /// It is bound to another entry, which must be asked.
    Other(EntryAddress),
    /// It may or may not be bound; nothing was started.
    Unavailable,
    /// Too many keys are being bound at this entry.
    OverBudget,
}

/// Where such a submission stands.
#[derive(Debug)]
pub enum Record {
    /// Waits for the platform to bind the key.
    Binding {
        /// Who waits.
        callers: Vec<CallerId>,
        /// What to run then.
        submission: Box<Submission>,
    },
    /// Runs.
    Running {
        /// The job.
        job: JobKey,
    },
    /// Ended; the answer is repeated to whoever asks.
    Finished {
        /// The final answer.
        answer: Answer,
    },
}

/// Submissions that may run at most once, by ticket or key.
///
/// A record outlives every retry that its ticket or key admits, so a key
/// without a record has never been started here.
#[derive(Debug, Default)]
pub struct Records {
    records: HashMap<RecordKey, (u64, Record)>,
    expiries: BTreeSet<(TimestampMs, RecordKey)>,
}

impl Records {
    /// The record of a key, with the fingerprint of its submission.
    pub fn get(&self, key: &RecordKey) -> Option<(u64, &Record)> {
        self.records
            .get(key)
            .map(|(fingerprint, record)| (*fingerprint, record))
    }

    /// The record of a key, to change.
    pub fn get_mut(&mut self, key: &RecordKey) -> Option<&mut Record> {
        self.records.get_mut(key).map(|(_, record)| record)
    }

    /// Sets the record of a key.
    pub fn insert(&mut self, key: RecordKey, fingerprint: u64, record: Record) {
        self.records.insert(key, (fingerprint, record));
    }

    /// Forgets a key whose submission provably never ran.
    pub fn remove(&mut self, key: &RecordKey) -> Option<Record> {
        self.records.remove(key).map(|(_, record)| record)
    }

    /// Ends a submission; its answer is kept until `forget_ms`.
    pub fn finish(&mut self, key: &RecordKey, answer: Answer, forget_ms: TimestampMs) {
        if let Some((_, record)) = self.records.get_mut(key) {
            *record = Record::Finished { answer };
            self.expiries.insert((forget_ms, key.clone()));
        }
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: TimestampMs) {
        while let Some((forget_ms, key)) = self.expiries.first().cloned() {
            if forget_ms > now {
                return;
            }
            self.expiries.pop_first();
            self.records.remove(&key);
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
