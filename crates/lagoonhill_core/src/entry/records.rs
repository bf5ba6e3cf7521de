//! Records of submissions with a ticket or key, which run at most once.

use std::collections::{BTreeSet, HashMap};

use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;

use super::{Answer, CallerId, JobKey, Submission};

/// Key of a submission that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKey {
    /// Number of a ticket that this entry issued.
    Ticket(u64),
    /// Request key that the caller chose.
    Key(RequestKey),
}

impl RecordKey {
    /// The caller's request key; `None` for a ticket.
    pub fn request(&self) -> Option<RequestKey> {
        match self {
            Self::Ticket(_) => None,
            Self::Key(key) => Some(key.clone()),
        }
    }
}

/// Answer of the platform's store about a request key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyBinding {
    /// The key is bound to this entry.
    ThisEntry,
    /// The key is bound to another entry, to which the request must be forwarded.
    OtherEntry(EntryAddress),
    /// The store did not answer; the key may be bound. Nothing was started.
    Unavailable,
    /// This entry is binding too many keys.
    OverBudget,
}

/// State of a submission that may run at most once.
#[derive(Debug)]
pub enum Record {
    /// Waiting for the platform to bind the key.
    Binding {
        /// Callers that wait for the answer.
        callers: Vec<CallerId>,
        /// Submission to run once the key is bound.
        submission: Box<Submission>,
    },
    /// Admitted as a job.
    Running {
        /// Key of the job.
        job: JobKey,
    },
    /// Ended; the answer is repeated to every further request.
    Finished {
        /// The final answer.
        answer: Answer,
    },
}

/// Submissions that may run at most once, by ticket or key.
///
/// A record is retained for longer than its ticket or key can be retried, so a key
/// without a record has never been started at this entry.
#[derive(Debug, Default)]
pub struct Records {
    records: HashMap<RecordKey, (u64, Record)>,
    expiries: BTreeSet<(TimestampMs, RecordKey)>,
}

impl Records {
    /// The fingerprint of a key's submission, and its record.
    pub fn get(&self, key: &RecordKey) -> Option<(u64, &Record)> {
        self.records
            .get(key)
            .map(|(fingerprint, record)| (*fingerprint, record))
    }

    /// The record of a key, mutably.
    pub fn get_mut(&mut self, key: &RecordKey) -> Option<&mut Record> {
        self.records.get_mut(key).map(|(_, record)| record)
    }

    /// Sets the record of a key.
    pub fn insert(&mut self, key: RecordKey, fingerprint: u64, record: Record) {
        self.records.insert(key, (fingerprint, record));
    }

    /// Removes a key whose submission is known never to have run.
    pub fn remove(&mut self, key: &RecordKey) -> Option<Record> {
        self.records.remove(key).map(|(_, record)| record)
    }

    /// Ends a submission; its answer is retained until `expires_ms`.
    pub fn finish(&mut self, key: &RecordKey, answer: Answer, expires_ms: TimestampMs) {
        if let Some((_, record)) = self.records.get_mut(key) {
            *record = Record::Finished { answer };
            self.expiries.insert((expires_ms, key.clone()));
        }
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: TimestampMs) {
        while let Some((expires_ms, key)) = self.expiries.first().cloned() {
            if expires_ms > now {
                return;
            }
            self.expiries.pop_first();
            self.records.remove(&key);
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
