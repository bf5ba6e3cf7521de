use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::{Incarnation, TimestampMs};

/// The process's monotonic clock, in milliseconds.
///
/// Starts at the wall-clock time of its creation and never goes back, so
/// timestamps are ordered and still readable. Unlike
/// [`std::time::Instant`] it includes the time for which the machine was
/// suspended, because leases granted by other processes expire meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time since boot when the clock was created.
    started: Duration,
    started_ms: u64,
}

/// Time since boot, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Neither part is negative: the clock starts at zero at boot.
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(secs, u32::try_from(time.tv_nsec).unwrap_or(0))
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: since_boot(),
            started_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// The current time.
    pub fn now(&self) -> TimestampMs {
        let elapsed = since_boot().saturating_sub(self.started);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        TimestampMs(self.started_ms.saturating_add(elapsed_ms))
    }

    /// Creates an incarnation. Later processes get larger ones; random low bits
    /// tell apart processes started in the same millisecond.
    pub fn incarnation(&self) -> Incarnation {
        let random = fastrand::u64(0..1 << Incarnation::RANDOM_BITS);
        Incarnation((self.now().0 << Incarnation::RANDOM_BITS) | random)
    }
}
