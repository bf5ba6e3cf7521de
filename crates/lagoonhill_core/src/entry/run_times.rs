use std::collections::HashMap;

use lagoonhill_types::prelude::*;

use super::PERMILLE;

/// Tasks whose run times are alike: of one service, or of one of its queues.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkKind {
    /// The service.
    pub service: ServiceName,
    /// The queue, if there is one.
    pub queue: Option<QueueName>,
}

/// Learned run times by kind of work, on a worker of average speed.
#[derive(Debug, Default)]
pub struct RunTimes {
    learned: HashMap<WorkKind, Learned>,
}

#[derive(Clone, Copy, Debug)]
struct Learned {
    run_micros: u64,
    /// Declared run times of the same tasks; zero when none is declared.
    declared_micros: u64,
    /// Mean distance of runs from what was expected, in thousandths of that.
    spread_permille: u64,
    /// Observations, up to the weight of the past.
    observed: u64,
}

/// Weight of the past against one observation.
const MEMORY: u64 = 63;

/// A job that declares this many times the usual run time, or this part of
/// it, is believed no further.
const MAX_DECLARED_FACTOR: f64 = 4.0;

/// A promise is made on this part of the learned run time at least, however
/// short the declared one is.
const MAX_PROMISE_DIVISOR: u64 = 2;

/// Runs further off than this have met a sick target, not a hard task.
const MAX_SPREAD_PERMILLE: u64 = 500;

impl RunTimes {
    /// The expected run time, or `prior_ms` when nothing is known.
    pub fn expected(&self, kind: &WorkKind, prior_ms: DurationMs) -> DurationMs {
        self.learned(kind, DurationMs::ZERO).unwrap_or(prior_ms)
    }

    /// The expected run time of a task that declares one. Declared times are
    /// as often off as not, so half of what they say (on a scale of factors)
    /// is believed.
    pub fn expected_declared(
        &self,
        kind: &WorkKind,
        declared_ms: DurationMs,
        prior_ms: DurationMs,
    ) -> DurationMs {
        let prior_ms = if declared_ms > DurationMs::ZERO {
            declared_ms
        } else {
            prior_ms
        };
        self.learned(kind, declared_ms).unwrap_or(prior_ms)
    }

    /// The run time that a promise is made on, from the one that is expected.
    ///
    /// Runs take longer than their work where many of them are on slow workers.
    /// Callers don't count that, so where the declared times of the same tasks
    /// are shorter on average, they are taken, within limits.
    pub fn promised(&self, kind: &WorkKind, expected_ms: DurationMs) -> DurationMs {
        let Some(learned) = self.learned.get(kind) else {
            return expected_ms;
        };
        let declared_micros = learned.declared_micros;
        if declared_micros == 0 || declared_micros >= learned.run_micros {
            return expected_ms;
        }
        let least_micros = learned.run_micros / MAX_PROMISE_DIVISOR;
        expected_ms * declared_micros.max(least_micros) / learned.run_micros.max(1)
    }

    /// Whether any task of the kind has finished.
    pub fn is_learned(&self, kind: &WorkKind) -> bool {
        self.learned.contains_key(kind)
    }

    /// As [`Self::expected_declared`], or `None` when nothing is known.
    fn learned(&self, kind: &WorkKind, declared_ms: DurationMs) -> Option<DurationMs> {
        let learned = self.learned.get(kind)?;
        if declared_ms == DurationMs::ZERO || learned.declared_micros == 0 {
            return Some(DurationMs(learned.run_micros.div_ceil(1_000)));
        }
        let factor = (declared_ms.0 * 1_000) as f64 / learned.declared_micros as f64;
        let factor = factor
            .clamp(MAX_DECLARED_FACTOR.recip(), MAX_DECLARED_FACTOR)
            .sqrt();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a run time is positive and far below 2^52 microseconds"
        )]
        let micros = (learned.run_micros as f64 * factor) as u64;
        Some(DurationMs(micros.div_ceil(1_000)))
    }

    /// How far runs are off what was expected, on average, in thousandths of
    /// what was expected; zero when nothing is known.
    pub fn spread_permille(&self, kind: &WorkKind) -> u64 {
        let learned = self.learned.get(kind);
        learned.map_or(0, |learned| learned.spread_permille)
    }

    /// Learns from a finished task that was expected to run for `expected_ms`.
    pub fn observe(
        &mut self,
        kind: &WorkKind,
        run_ms: DurationMs,
        declared_ms: DurationMs,
        expected_ms: DurationMs,
    ) {
        let off_ms = run_ms.0.abs_diff(expected_ms.0);
        let off_permille = off_ms.saturating_mul(PERMILLE) / expected_ms.0.max(1);
        let (run_micros, declared_micros) = (run_ms.0 * 1_000, declared_ms.0 * 1_000);
        let learned = self.learned.entry(kind.clone()).or_insert(Learned {
            run_micros,
            declared_micros,
            spread_permille: 0,
            observed: 0,
        });
        // The first few count alike, so that the very first has no special say.
        let past = learned.observed;
        let blend = |mean: u64, new: u64| (mean * past + new) / (past + 1);
        learned.run_micros = blend(learned.run_micros, run_micros);
        learned.declared_micros = blend(learned.declared_micros, declared_micros);
        learned.spread_permille = blend(
            learned.spread_permille,
            off_permille.min(MAX_SPREAD_PERMILLE),
        );
        learned.observed = (past + 1).min(MEMORY);
    }
}
