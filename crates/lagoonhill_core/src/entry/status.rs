//! State of an entry and its workers, as the `status` command shows it.

use std::collections::BTreeSet;

use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;

use super::{WorkKind, WorkerState};

/// State of one worker, as shown by `status`.
#[derive(Clone, Debug)]
pub struct WorkerStatus {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: AvailabilityZone,
    /// State of the worker.
    pub state: WorkerState,
    /// Whether it is quarantined and gets only probes.
    pub quarantined: bool,
    /// Service of its target, if one is announced.
    pub service: Option<ServiceName>,
    /// Slots of its target.
    pub slots: u16,
    /// Estimated number of tasks at the worker.
    pub load: u16,
    /// Revision of the rules that its agent has.
    pub rules_revision: Revision,
}

/// State of an entry, as shown by `status`.
#[derive(Clone, Debug)]
pub struct EntryStatus {
    /// Address and incarnation of the entry.
    pub address: EntryAddress,
    /// Whether the entry is draining.
    pub leaving: bool,
    /// Revision of the rules in force.
    pub rules_revision: Revision,
    /// Number of jobs without an answer.
    pub jobs: usize,
    /// Number of tasks in the queues.
    pub queued_tasks: usize,
    /// Workers in session with the entry.
    pub workers: Vec<WorkerStatus>,
    /// Entries that it knows, including itself.
    pub entries: Vec<EntryAddress>,
    /// Zones that are drained beside the rules.
    pub drained_zones: BTreeSet<AvailabilityZone>,
    /// Contained kinds of work, with the number of workers set aside for each.
    pub contained: Vec<(WorkKind, usize)>,
}
