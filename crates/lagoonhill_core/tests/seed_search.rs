//! Search for entries through seeds. Load pattern: a whole fleet has just started and
//! the store is away; the seeds start in the same moment, or are lost.

use std::net::SocketAddr;

use lagoonhill_core::SeedSearch;
use lagoonhill_types::prelude::*;

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

fn seed(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7721))
}

cases! {
    every_seed_is_asked_in_turn_so_that_a_lost_one_costs_one_request => {
        let seeds = [seed(1), seed(2), seed(3)];
        let mut search = SeedSearch::new(&seeds, None, 7);
        let mut asked: Vec<SocketAddr> = (0..3).filter_map(|_| search.next_seed()).collect();
        asked.sort_unstable();
        assert_eq!(asked, seeds);
    }

    an_entry_that_is_a_seed_does_not_ask_itself => {
        let mut search = SeedSearch::new(&[seed(1), seed(2)], Some(seed(1)), 7);
        for _ in 0..4 {
            assert_eq!(search.next_seed(), Some(seed(2)));
        }
        let mut alone = SeedSearch::new(&[seed(1)], Some(seed(1)), 7);
        assert_eq!(alone.next_seed(), None);
    }

    without_seeds_nobody_is_asked => {
        assert_eq!(SeedSearch::new(&[], None, 7).next_seed(), None);
    }

    // Processes of one fleet start together; the first request of all of them must not
    // go to the same seed.
    processes_begin_with_different_seeds => {
        let seeds = [seed(1), seed(2), seed(3)];
        let first = |process| SeedSearch::new(&seeds, None, process).next_seed();
        for one in seeds {
            let count = (0..90).filter(|process| first(*process) == Some(one)).count();
            assert!((10..=60).contains(&count), "{count} of 90 begin with {one}");
        }
    }

    // A seed that starts 300 ms later is asked within 200 ms of its start; one that is
    // lost for good costs one request in 10 s.
    pauses_are_short_at_first_and_grow_to_ten_seconds => {
        let mut search = SeedSearch::new(&[seed(1)], None, 7);
        let mut at_ms = DurationMs::ZERO;
        let mut longest_ms = DurationMs::ZERO;
        while at_ms < DurationMs(400) {
            let pause_ms = search.next_pause();
            longest_ms = longest_ms.max(pause_ms);
            at_ms = at_ms + pause_ms;
        }
        assert!(longest_ms <= DurationMs(300), "a pause of {longest_ms} within the first 400 ms");
        let last = (0..30).map(|_| search.next_pause()).last();
        assert!(last.is_some_and(|pause_ms| (10_000..=15_000).contains(&pause_ms.0)), "{last:?}");
        search.restart();
        assert!(search.next_pause() <= DurationMs(75));
    }
}
