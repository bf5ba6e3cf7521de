use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;

use crate::Timing;

/// Tasks that an agent is given beyond its slots. None: what lies at an agent is
/// bound to it, whatever becomes free elsewhere, and outcomes come back within
/// milliseconds.
pub const DEFAULT_LOOK_AHEAD: u16 = 0;

/// Settings of an entry that do not change while it runs.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Where the entry is, and which run of it.
    pub address: EntryAddress,
    /// Its availability zone, if it is known: nearer workers go before equal
    /// ones elsewhere.
    pub zone: Option<AvailabilityZone>,
    /// Session limits.
    pub timing: Timing,
    /// Tasks that an agent is given beyond its slots.
    pub look_ahead: u16,
    /// Whether agents are handed the rules, so that an entry that can't reach
    /// the store learns them from its agents.
    pub shares_rules: bool,
    /// Queued tasks at most, for each service.
    pub max_queued_tasks: usize,
    /// Longest deadline that a caller may ask for.
    pub max_deadline_ms: DurationMs,
    /// How often one task may be handed back unstarted before its job fails.
    pub max_moves: u8,
    /// How long a ticket may be used.
    pub ticket_life_ms: DurationMs,
    /// How long the answer of a ticket or key is kept. Must outlive both the
    /// ticket and the key's binding in the platform's store.
    pub record_life_ms: DurationMs,
}

impl EntryConfig {
    /// The usual settings at an address.
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
