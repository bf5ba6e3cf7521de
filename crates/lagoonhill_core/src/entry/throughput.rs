//! Load pattern: a flood over unequal entries. What an entry can get of the
//! fleet depends on what the others ask for at the same time; an even share of
//! all processors is too much for one and too little for another. So an entry
//! goes by what it has been getting while its jobs waited.

use std::collections::VecDeque;

use lagoonhill_types::prelude::*;

use super::Work;

/// Time that rates are taken over: a few of the shortest promises.
const WINDOW_MS: DurationMs = DurationMs(500);

/// A rate over less than this says nothing yet.
const MIN_SPAN_MS: DurationMs = DurationMs(50);

/// Work that was counted in the last [`WINDOW_MS`].
#[derive(Clone, Debug, Default)]
struct Window {
    counted: VecDeque<(TimestampMs, Work)>,
    sum: Work,
}

impl Window {
    fn add(&mut self, work: Work, now: TimestampMs) {
        self.expire(now);
        self.counted.push_back((now, work));
        self.sum = self.sum + work;
    }

    fn expire(&mut self, now: TimestampMs) {
        while let Some((at_ms, work)) = self.counted.front().copied() {
            if now.since(at_ms) < WINDOW_MS {
                break;
            }
            self.counted.pop_front();
            self.sum.0 = self.sum.0.saturating_sub(work.0);
        }
    }

    fn since(&self, began_ms: TimestampMs) -> Work {
        let recent = self.counted.iter().rev();
        let recent = recent.take_while(|(at_ms, _)| *at_ms >= began_ms);
        recent.map(|(_, work)| *work).sum()
    }
}

/// What the jobs of one class of a service have been getting.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    placed: Window,
    /// Since when jobs have been waiting without a break.
    waiting_since_ms: Option<TimestampMs>,
}

impl Throughput {
    /// A task was ordered from a worker.
    pub fn placed(&mut self, work: Work, now: TimestampMs) {
        self.placed.add(work, now);
    }

    /// Notes whether any job waits after a round of placement.
    pub fn set_waiting(&mut self, is_waiting: bool, now: TimestampMs) {
        if is_waiting {
            self.waiting_since_ms.get_or_insert(now);
        } else {
            self.waiting_since_ms = None;
        }
    }

    /// Work placed in each second while jobs waited; `None` when they have not
    /// waited for long enough to tell.
    pub fn placed_per_s(&self, now: TimestampMs) -> Option<Work> {
        let began_ms = self.waiting_since_ms?.max(now - WINDOW_MS);
        let span_ms = now.since(began_ms);
        (span_ms >= MIN_SPAN_MS).then(|| self.placed.since(began_ms).per_s(span_ms))
    }
}
