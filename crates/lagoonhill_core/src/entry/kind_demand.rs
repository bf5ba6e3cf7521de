//! Recent demand by kind of work.

use std::collections::HashMap;

use lagoonhill_types::prelude::*;

use super::{PERMILLE, Work, WorkKind};

/// Period of the demand that counts: many times the interval between two jobs of a
/// kind, so that all entries see about the same shares.
const WINDOW_MS: DurationMs = DurationMs(20_000);

/// Number of kinds from which those without recent demand are removed.
const MIN_KINDS_TO_FORGET: usize = 64;

/// Work in the present window and the one before.
#[derive(Clone, Copy, Debug)]
struct Windows {
    started_ms: TimestampMs,
    present: Work,
    before: Work,
}

impl Windows {
    fn at(self, now: TimestampMs) -> Self {
        let age_ms = now.since(self.started_ms);
        if age_ms < WINDOW_MS {
            return self;
        }
        let is_next = age_ms < WINDOW_MS * 2;
        Self {
            started_ms: if is_next {
                self.started_ms + WINDOW_MS
            } else {
                now
            },
            present: Work::default(),
            before: if is_next {
                self.present
            } else {
                Work::default()
            },
        }
    }

    /// Work within the last [`WINDOW_MS`], if that of the window before was even.
    fn sum(self, now: TimestampMs) -> Work {
        let left_ms = WINDOW_MS.0 - now.since(self.started_ms).0.min(WINDOW_MS.0);
        self.present + Work(self.before.0 / WINDOW_MS.0 * left_ms)
    }
}

/// Work that was submitted lately, by kind. Refused jobs count too, so that the
/// demand for a kind doesn't seem to fall while its jobs are refused.
#[derive(Debug, Default)]
pub struct KindDemand {
    by_kind: HashMap<WorkKind, Windows>,
    forget_at: usize,
}

impl KindDemand {
    /// Records the work of a submission.
    pub fn record(&mut self, kind: WorkKind, work: Work, now: TimestampMs) {
        if self.by_kind.len() >= self.forget_at.max(MIN_KINDS_TO_FORGET) {
            self.by_kind
                .retain(|_, windows| windows.at(now).sum(now).0 > 0);
            self.forget_at = self.by_kind.len() * 2;
        }
        let windows = self.by_kind.entry(kind).or_insert(Windows {
            started_ms: now,
            present: Work::default(),
            before: Work::default(),
        });
        *windows = windows.at(now);
        windows.present = windows.present + work;
    }

    /// The kinds of a service with their shares of its demand in thousandths, the
    /// largest first.
    pub fn shares(&self, service: &ServiceName, now: TimestampMs) -> Vec<(WorkKind, u64)> {
        let of_service = self
            .by_kind
            .iter()
            .filter(|(kind, _)| kind.service == *service);
        let mut shares: Vec<(WorkKind, u64)> = of_service
            .map(|(kind, windows)| (kind.clone(), windows.at(now).sum(now).0))
            .collect();
        let total: u64 = shares.iter().map(|(_, work)| work).sum();
        for (_, share) in &mut shares {
            *share = share.saturating_mul(PERMILLE) / total.max(1);
        }
        shares.sort_by(|left, right| {
            let by_share = right.1.cmp(&left.1);
            by_share.then_with(|| left.0.queue.cmp(&right.0.queue))
        });
        shares
    }
}
