use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;

use crate::Timing;

/// Default number of tasks that an agent gets beyond its slots. Zero, since a task
/// that waits at an agent can't use slots that become free elsewhere, and outcomes
/// arrive within milliseconds.
pub const DEFAULT_LOOK_AHEAD: u16 = 0;

/// Settings of an entry that do not change while it runs.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Address and incarnation of the entry.
    pub address: EntryAddress,
    /// Availability zone of the entry, if known: workers in it are preferred
    /// to equal ones in other zones.
    pub zone: Option<AvailabilityZone>,
    /// Time limits of sessions and runs.
    pub timing: Timing,
    /// Number of tasks that an agent gets beyond its slots.
    pub look_ahead: u16,
    /// Whether the rules are sent to agents, so that an entry that can't reach
    /// the store receives them from its agents.
    pub shares_rules: bool,
    /// Maximum number of queued tasks of each service.
    pub max_queued_tasks: usize,
    /// Longest deadline that a caller may request.
    pub max_deadline_ms: DurationMs,
    /// How often one task may be returned unstarted before its job fails.
    pub max_moves: u8,
    /// Time for which a ticket is valid.
    pub ticket_life_ms: DurationMs,
    /// Retention time of the answer to a ticket or key. Must be longer than the
    /// life of the ticket and that of the key's binding in the platform's store.
    pub record_life_ms: DurationMs,
}

impl EntryConfig {
    /// The default settings for an entry at an address.
    pub fn new(address: EntryAddress) -> Self {
        Self {
            address,
            zone: None,
            timing: Timing::default(),
            look_ahead: DEFAULT_LOOK_AHEAD,
            shares_rules: true,
            max_queued_tasks: 50_000,
            max_deadline_ms: DurationMs::from_secs(120),
            max_moves: 8,
            ticket_life_ms: DurationMs::from_secs(300),
            record_life_ms: DurationMs::from_secs(900),
        }
    }
}
