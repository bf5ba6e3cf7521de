//! Run times learned by kind of work.

use std::collections::HashMap;

use lagoonhill_types::prelude::*;

use super::PERMILLE;

/// Tasks with similar run times: those of one service, or of one of its queues.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkKind {
    /// The service.
    pub service: ServiceName,
    /// The queue, if the job was submitted to one.
    pub queue: Option<QueueName>,
}

/// Run times on a worker of average speed, learned by kind of work.
#[derive(Debug, Default)]
pub struct RunTimes {
    learned: HashMap<WorkKind, LearnedRunTime>,
}

#[derive(Clone, Copy, Debug)]
struct LearnedRunTime {
    run_micros: u64,
    /// Mean declared run time of the same tasks; zero if none is declared.
    declared_micros: u64,
    /// Mean deviation from the expected run time, in thousandths of that.
    deviation_permille: u64,
    /// Number of observations, up to [`MAX_PAST_WEIGHT`].
    sample_count: u64,
}

/// Largest weight of the past observations against a new one.
const MAX_PAST_WEIGHT: u64 = 63;

/// Limit on the ratio of a declared run time to the mean declared one, and back.
const MAX_DECLARED_FACTOR: f64 = 4.0;

/// Divisor of the learned run time that gives the shortest run time on which a
/// promise is based, however short the declared one is.
const MIN_PROMISE_DIVISOR: u64 = 2;

/// Larger deviations than this come from an unhealthy target, not from the task.
const MAX_DEVIATION_PERMILLE: u64 = 500;

impl RunTimes {
    /// The expected run time, or `prior_ms` if no task of the kind has finished.
    pub fn expected(&self, kind: &WorkKind, prior_ms: DurationMs) -> DurationMs {
        self.learned(kind, DurationMs::ZERO).unwrap_or(prior_ms)
    }

    /// The expected run time of a task that declares one. Declared times are
    /// as often wrong as right, so their deviation from the mean counts half
    /// (on a logarithmic scale).
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

    /// The run time on which a promise is based, given the expected one.
    ///
    /// Learned run times exceed the actual work where many runs are on slow
    /// workers. Callers don't take that into account, so the declared times of
    /// the same tasks are used, within limits, if their mean is shorter.
    pub fn promise_basis(&self, kind: &WorkKind, expected_ms: DurationMs) -> DurationMs {
        let Some(learned) = self.learned.get(kind) else {
            return expected_ms;
        };
        let declared_micros = learned.declared_micros;
        if declared_micros == 0 || declared_micros >= learned.run_micros {
            return expected_ms;
        }
        let least_micros = learned.run_micros / MIN_PROMISE_DIVISOR;
        expected_ms * declared_micros.max(least_micros) / learned.run_micros.max(1)
    }

    /// Whether any task of the kind has finished.
    pub fn is_learned(&self, kind: &WorkKind) -> bool {
        self.learned.contains_key(kind)
    }

    /// Like [`Self::expected_declared`], or `None` if no task of the kind has finished.
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

    /// Mean deviation from the expected run time, in thousandths of that; zero
    /// if no task of the kind has finished.
    pub fn deviation_permille(&self, kind: &WorkKind) -> u64 {
        let learned = self.learned.get(kind);
        learned.map_or(0, |learned| learned.deviation_permille)
    }

    /// Learns from a finished task that was expected to run for `expected_ms`.
    pub fn observe(
        &mut self,
        kind: &WorkKind,
        run_ms: DurationMs,
        declared_ms: DurationMs,
        expected_ms: DurationMs,
    ) {
        let deviation_ms = run_ms.0.abs_diff(expected_ms.0);
        let deviation_permille = deviation_ms.saturating_mul(PERMILLE) / expected_ms.0.max(1);
        let (run_micros, declared_micros) = (run_ms.0 * 1_000, declared_ms.0 * 1_000);
        let learned = self.learned.entry(kind.clone()).or_insert(LearnedRunTime {
            run_micros,
            declared_micros,
            deviation_permille: 0,
            sample_count: 0,
        });
        // Equal weight of the first observations: the very first must not dominate.
        let past = learned.sample_count;
        let blend = |mean: u64, new: u64| (mean * past + new) / (past + 1);
        learned.run_micros = blend(learned.run_micros, run_micros);
        learned.declared_micros = blend(learned.declared_micros, declared_micros);
        learned.deviation_permille = blend(
            learned.deviation_permille,
            deviation_permille.min(MAX_DEVIATION_PERMILLE),
        );
        learned.sample_count = (past + 1).min(MAX_PAST_WEIGHT);
    }
}
