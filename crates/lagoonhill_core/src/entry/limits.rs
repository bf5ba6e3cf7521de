use lagoonhill_types::prelude::*;

/// A token bucket whose balance one admission may make negative, so that a job
/// larger than the burst is admitted and delays the next ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    /// Thousandths of a token.
    millitokens: i64,
    updated_ms: TimestampMs,
}

const MILLI: i64 = 1_000;

impl TokenBucket {
    /// Takes `count` tokens at a refill of `rate` per second; fails with the time
    /// until the next attempt can succeed.
    pub fn take(&mut self, count: u32, rate: f64, now: TimestampMs) -> Result<(), DurationMs> {
        self.refill(rate, now);
        if self.millitokens > 0 {
            self.millitokens -= i64::from(count) * MILLI;
            return Ok(());
        }
        #[allow(clippy::cast_precision_loss, reason = "a debt is far below 2^52")]
        let wait_ms = (1 - self.millitokens) as f64 / rate.max(f64::MIN_POSITIVE);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped"
        )]
        Err(DurationMs(wait_ms.ceil().clamp(1.0, 3_600_000.0) as u64))
    }

    fn refill(&mut self, rate: f64, now: TimestampMs) {
        #[allow(clippy::cast_possible_truncation, reason = "rates are far below 2^50")]
        let burst = (rate * 1_000.0).max(1_000.0) as i64;
        if self.updated_ms == TimestampMs(0) {
            self.millitokens = burst;
        }
        let elapsed_ms = now.since(self.updated_ms).0.min(3_600_000);
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            reason = "an hour in milliseconds times a rate fits"
        )]
        let accrued = (elapsed_ms as f64 * rate) as i64;
        self.millitokens = self.millitokens.saturating_add(accrued).min(burst);
        self.updated_ms = now;
    }
}

/// Use of a team's limits at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUsage {
    /// Number of tasks dispatched to workers without an outcome.
    pub in_flight: u32,
    /// Rate limit of admissions.
    pub bucket: TokenBucket,
}
