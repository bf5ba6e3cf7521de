use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::{Incarnation, TimestampMs};

/// The process's monotonic clock, in milliseconds.
///
/// Starts at the wall-clock time of its creation and then only moves forward
/// with the monotonic clock, so timestamps order correctly and stay readable.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_ms: u64,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            started_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// The current time.
    pub fn now(&self) -> TimestampMs {
        let elapsed_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        TimestampMs(self.started_ms.saturating_add(elapsed_ms))
    }

    /// A fresh incarnation: later processes get larger ones, and two processes
    /// started in the same millisecond still differ.
    pub fn incarnation(&self) -> Incarnation {
        const RANDOM_BITS: u32 = 20;
        Incarnation((self.now().0 << RANDOM_BITS) | fastrand::u64(0..1 << RANDOM_BITS))
    }
}
