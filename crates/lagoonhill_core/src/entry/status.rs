use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;

use super::WorkerState;

/// One worker, as `status` shows it.
#[derive(Clone, Debug)]
pub struct WorkerStatus {
    /// Its name.
    pub id: WorkerId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Where it stands.
    pub state: WorkerState,
    /// Whether it gets probes only.
    pub quarantined: bool,
    /// Its service, if a target is announced.
    pub service: Option<ServiceName>,
    /// Its slots.
    pub slots: u16,
    /// Tasks estimated there.
    pub load: u16,
    /// The rules it has.
    pub rules_revision: Revision,
}

/// An entry, as `status` shows it.
#[derive(Clone, Debug)]
pub struct EntryStatus {
    /// Its address and incarnation.
    pub address: EntryAddress,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The rules in force here.
    pub rules_revision: Revision,
    /// Jobs without an answer.
    pub jobs: usize,
    /// Tasks in the queues.
    pub queued_tasks: usize,
    /// Its workers.
    pub workers: Vec<WorkerStatus>,
    /// The entries it knows, itself included.
    pub entries: Vec<EntryAddress>,
}
