//! Load pattern: every process has just started, after a loss of all power or a
//! kill of every process. Agents join over some tenths of a second, while callers
//! that waited during the outage submit all at once. A forecast over the part of
//! the fleet that has joined so far would refuse most of them.

use lagoonhill_types::prelude::*;

/// How long an entry waits for the first agent: the time that a machine takes to
/// start and to discover its entries.
const FIRST_JOIN_TIMEOUT_MS: DurationMs = DurationMs(500);

/// Discovery is complete when no agent has joined for this long: agents repeat
/// their hello and their search within this time.
const QUIET_PERIOD_MS: DurationMs = DurationMs(120);

/// Longest time that discovery may take.
const MAX_DISCOVERY_MS: DurationMs = DurationMs(1_000);

/// Start-up discovery: whether an entry that has just started may still lack most
/// of its workers.
#[derive(Clone, Copy, Debug)]
pub struct Forming {
    started_ms: TimestampMs,
    last_joined_ms: Option<TimestampMs>,
    is_complete: bool,
}

impl Forming {
    /// Starts discovery.
    pub fn begin(now: TimestampMs) -> Self {
        Self {
            started_ms: now,
            last_joined_ms: None,
            is_complete: false,
        }
    }

    /// Starts discovery again when the first rules are known. Agents discover
    /// their entries in the same place as the rules, so they join from now on too.
    pub fn rules_known(&mut self, now: TimestampMs) {
        *self = Self {
            last_joined_ms: self.last_joined_ms,
            ..Self::begin(now)
        };
    }

    /// Records that a worker joined.
    pub fn joined(&mut self, now: TimestampMs) {
        self.last_joined_ms = Some(now);
    }

    /// Whether discovery is in progress: the known workers may be a small part of
    /// the fleet.
    pub fn is_on(&self) -> bool {
        !self.is_complete
    }

    /// Time since discovery started.
    pub fn lasted_ms(&self, now: TimestampMs) -> DurationMs {
        now.since(self.started_ms)
    }

    /// Ends discovery if it is due; returns whether it ended now.
    pub fn end_when_due(&mut self, now: TimestampMs) -> bool {
        let due_ms = match self.last_joined_ms {
            None => self.started_ms + FIRST_JOIN_TIMEOUT_MS,
            Some(joined_ms) => {
                (joined_ms + QUIET_PERIOD_MS).min(self.started_ms + MAX_DISCOVERY_MS)
            }
        };
        let ends = !self.is_complete && now >= due_ms;
        self.is_complete |= ends;
        ends
    }
}
