//! Callers of an entry that has just started and knows no rules yet.

use std::sync::Arc;
use std::time::Duration;

use lagoonhill_entry::FirstRules;
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use tokio::sync::watch;
use tokio::time::{Instant, advance, sleep};

/// Defines one test for each named case, on a clock that the test moves.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[tokio::test(start_paused = true)] async fn $name() $body)+
    };
}

fn entry() -> (watch::Sender<Arc<RuleSet>>, FirstRules) {
    let (sender, receiver) = watch::channel(Arc::default());
    (sender, FirstRules::new(receiver))
}

fn known() -> Arc<RuleSet> {
    Arc::new(RuleSet::new(Revision(1), Vec::new()))
}

cases! {
    rules_that_are_known_are_given_at_once => {
        let (sender, rules) = entry();
        sender.send_replace(known());
        let asked = Instant::now();
        assert!(rules.get().await.is_some());
        assert_eq!(asked.elapsed(), Duration::ZERO);
    }

    // The store is back 200 ms after all processes were killed.
    a_caller_of_a_new_entry_waits_for_its_first_rules => {
        let (sender, rules) = entry();
        tokio::spawn(async move {
            sleep(Duration::from_millis(200)).await;
            sender.send_replace(known());
            sleep(Duration::from_secs(60)).await;
        });
        let asked = Instant::now();
        assert!(rules.get().await.is_some(), "turned away 200 ms too soon");
        assert!(asked.elapsed() < Duration::from_millis(250));
    }

    a_caller_is_not_kept_waiting_for_long => {
        let (_sender, rules) = entry();
        let asked = Instant::now();
        assert!(rules.get().await.is_none());
        assert!(asked.elapsed() < Duration::from_millis(500));
    }

    an_entry_that_is_not_new_turns_callers_away_at_once => {
        let (_sender, rules) = entry();
        advance(Duration::from_secs(3)).await;
        let asked = Instant::now();
        assert!(rules.get().await.is_none());
        assert!(asked.elapsed() < Duration::from_millis(10));
    }
}
