use lagoonhill_types::prelude::*;

/// Failures in a row that make a worker suspicious.
const MAX_FAILURES_IN_A_ROW: u32 = 3;

const FIRST_PROBE_MS: DurationMs = DurationMs(1_000);
const MAX_PROBE_MS: DurationMs = DurationMs(30_000);

/// Whether a worker runs tasks well.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures_in_a_row: u32,
    quarantined: bool,
    probe_interval_ms: DurationMs,
    probe_due_ms: TimestampMs,
}

impl Health {
    /// Whether the worker gets probes only.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined
    }

    /// Whether recent tasks failed often enough to be suspicious.
    pub fn is_failing(&self) -> bool {
        self.failures_in_a_row >= MAX_FAILURES_IN_A_ROW
    }

    /// Whether a quarantined worker may get a probe now.
    pub fn may_probe(&self, now: TimestampMs) -> bool {
        now >= self.probe_due_ms
    }

    /// Records a well-run task; returns whether that ended a quarantine.
    pub fn succeeded(&mut self) -> bool {
        let recovered = self.quarantined;
        *self = Self::default();
        recovered
    }

    /// Records a failed task.
    pub fn failed(&mut self, now: TimestampMs) {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        if self.quarantined {
            self.probe_interval_ms = (self.probe_interval_ms * 2).min(MAX_PROBE_MS);
            self.probe_due_ms = now + self.probe_interval_ms;
        }
    }

    /// Starts a quarantine; returns the time until the first probe.
    pub fn quarantine(&mut self, now: TimestampMs) -> DurationMs {
        self.quarantined = true;
        self.probe_interval_ms = FIRST_PROBE_MS;
        self.probe_due_ms = now + FIRST_PROBE_MS;
        FIRST_PROBE_MS
    }
}
