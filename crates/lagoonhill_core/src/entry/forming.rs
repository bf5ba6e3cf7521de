//! Load pattern: everything has just started, after all power was lost or every
//! process was killed. Agents join over some tenths of a second while callers
//! that waited in the dark come all at once. A forecast over the part of the
//! fleet that happens to have joined would turn most of them away.

use lagoonhill_types::prelude::*;

/// How long an entry waits for the first agent: the time that a machine takes to
/// start and to find its entries.
const FIRST_JOIN_MS: DurationMs = DurationMs(500);

/// A fleet of which nobody has joined for so long is whole: agents greet again
/// and search again within this.
const QUIET_MS: DurationMs = DurationMs(120);

/// The longest time that a fleet counts as forming.
const LONGEST_MS: DurationMs = DurationMs(1_000);

/// Whether an entry that has just started may still be about to learn of most
/// of its workers.
#[derive(Clone, Copy, Debug)]
pub struct Forming {
    began_ms: TimestampMs,
    last_joined_ms: Option<TimestampMs>,
    is_over: bool,
}

impl Forming {
    /// The fleet of an entry that starts now.
    pub fn begin(now: TimestampMs) -> Self {
        Self {
            began_ms: now,
            last_joined_ms: None,
            is_over: false,
        }
    }

    /// The first rules came. Agents find their entries where rules are found, so
    /// they come from now on too.
    pub fn rules_known(&mut self, now: TimestampMs) {
        *self = Self {
            last_joined_ms: self.last_joined_ms,
            ..Self::begin(now)
        };
    }

    /// A worker joined.
    pub fn joined(&mut self, now: TimestampMs) {
        self.last_joined_ms = Some(now);
    }

    /// Whether what is known of the fleet may be a small part of it.
    pub fn is_on(&self) -> bool {
        !self.is_over
    }

    /// How long it has lasted.
    pub fn lasted_ms(&self, now: TimestampMs) -> DurationMs {
        now.since(self.began_ms)
    }

    /// Ends it when its time has come; returns whether it ended now.
    pub fn end_when_due(&mut self, now: TimestampMs) -> bool {
        let due_ms = match self.last_joined_ms {
            None => self.began_ms + FIRST_JOIN_MS,
            Some(joined_ms) => (joined_ms + QUIET_MS).min(self.began_ms + LONGEST_MS),
        };
        let ends = !self.is_over && now >= due_ms;
        self.is_over |= ends;
        ends
    }
}
