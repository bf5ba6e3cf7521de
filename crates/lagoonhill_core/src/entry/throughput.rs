//! Load pattern: a flood of jobs that is unevenly distributed over the entries. The
//! capacity that an entry can use depends on the demand at its peers at the same
//! time; an equal share of all processors is too much for one entry and too little
//! for another. So an entry measures the throughput that it had while jobs waited.

use std::collections::VecDeque;

use lagoonhill_types::prelude::*;

use super::Work;

/// Period over which rates are measured: a few times the shortest promise.
const WINDOW_MS: DurationMs = DurationMs(500);

/// Shortest period over which a rate is meaningful.
const MIN_SPAN_MS: DurationMs = DurationMs(50);

/// Work that was placed within the last [`WINDOW_MS`].
#[derive(Clone, Debug, Default)]
struct SlidingWindow {
    samples: VecDeque<(TimestampMs, Work)>,
    sum: Work,
}

impl SlidingWindow {
    fn add(&mut self, work: Work, now: TimestampMs) {
        self.expire(now);
        self.samples.push_back((now, work));
        self.sum = self.sum + work;
    }

    fn expire(&mut self, now: TimestampMs) {
        while let Some((at_ms, work)) = self.samples.front().copied() {
            if now.since(at_ms) < WINDOW_MS {
                break;
            }
            self.samples.pop_front();
            self.sum.0 = self.sum.0.saturating_sub(work.0);
        }
    }

    fn since(&self, window_start_ms: TimestampMs) -> Work {
        let recent = self.samples.iter().rev();
        let recent = recent.take_while(|(at_ms, _)| *at_ms >= window_start_ms);
        recent.map(|(_, work)| *work).sum()
    }
}

/// Throughput of the jobs of one class of a service.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    placed: SlidingWindow,
    /// Time since which jobs have been waiting without interruption.
    waiting_since_ms: Option<TimestampMs>,
}

impl Throughput {
    /// Records a task that was dispatched to a worker.
    pub fn placed(&mut self, work: Work, now: TimestampMs) {
        self.placed.add(work, now);
    }

    /// Records whether any job waits after a round of placement.
    pub fn set_waiting(&mut self, is_waiting: bool, now: TimestampMs) {
        if is_waiting {
            self.waiting_since_ms.get_or_insert(now);
        } else {
            self.waiting_since_ms = None;
        }
    }

    /// Work placed per second while jobs waited; `None` if they have not waited
    /// for long enough to measure it.
    pub fn placed_per_s(&self, now: TimestampMs) -> Option<Work> {
        let window_start_ms = self.waiting_since_ms?.max(now - WINDOW_MS);
        let span_ms = now.since(window_start_ms);
        (span_ms >= MIN_SPAN_MS).then(|| self.placed.since(window_start_ms).per_s(span_ms))
    }
}
