//! Search for entries through seeds: addresses from the settings that need no store.
//!
//! Load pattern: every process has been killed while the store is away. Whoever can
//! only be found in the store is found after the store is back, when callers have
//! waited for that alone already.

use std::net::SocketAddr;

use lagoonhill_types::prelude::*;

/// Pause after the first request. Processes of a whole fleet start within some
/// tenths of a second, and a seed among them may not listen yet.
const MIN_PAUSE_MS: DurationMs = DurationMs(50);

/// Longest pause: a seed that is lost costs one request in this time.
const MAX_PAUSE_MS: DurationMs = DurationMs(10_000);

/// A pause lasts up to this many percent longer, so that processes that started
/// together don't ask together.
const JITTER_PERCENT: u64 = 50;

/// Which seed to ask next, and when.
#[derive(Clone, Debug)]
pub struct SeedSearch {
    seeds: Vec<SocketAddr>,
    next: usize,
    pause_ms: DurationMs,
    random: fastrand::Rng,
}

impl SeedSearch {
    /// A search through all of `seeds` but `own`, the address of the asking process.
    /// `random_seed` differs between processes, so that they begin with different ones.
    pub fn new(seeds: &[SocketAddr], own: Option<SocketAddr>, random_seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(random_seed);
        let others = seeds.iter().copied().filter(|seed| Some(*seed) != own);
        let seeds: Vec<SocketAddr> = others.collect();
        Self {
            next: random.usize(0..seeds.len().max(1)),
            seeds,
            pause_ms: MIN_PAUSE_MS,
            random,
        }
    }

    /// The seed to ask now; `None` if there is none.
    pub fn next_seed(&mut self) -> Option<SocketAddr> {
        let seed = self.seeds.get(self.next % self.seeds.len().max(1)).copied();
        self.next = self.next.wrapping_add(1);
        seed
    }

    /// Pause before the next request, longer each time.
    pub fn next_pause(&mut self) -> DurationMs {
        let base_ms = self.pause_ms;
        self.pause_ms = DurationMs(base_ms.0 * 3 / 2).min(MAX_PAUSE_MS);
        let most_ms = base_ms.0 * JITTER_PERCENT / 100;
        base_ms + DurationMs(self.random.u64(0..=most_ms))
    }

    /// Begins again with short pauses, after entries were known for a while.
    pub fn restart(&mut self) {
        self.pause_ms = MIN_PAUSE_MS;
    }
}
