//! Callers of an entry that has just started and has no rules yet.

use std::sync::Arc;
use std::time::Duration;

use lagoonhill_entry::FirstRules;
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use tokio::sync::watch;
use tokio::time::{Instant, advance, sleep};

/// Defines one test for each named case, on a paused clock.
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
    known_rules_are_returned_at_once => {
        let (sender, rules) = entry();
        sender.send_replace(known());
        let start = Instant::now();
        assert!(rules.get().await.is_some());
        assert_eq!(start.elapsed(), Duration::ZERO);
    }

    // The store comes back 200 ms after all processes were killed.
    a_caller_of_a_new_entry_waits_for_its_first_rules => {
        let (sender, rules) = entry();
        tokio::spawn(async move {
            sleep(Duration::from_millis(200)).await;
            sender.send_replace(known());
            sleep(Duration::from_secs(60)).await;
        });
        let start = Instant::now();
        assert!(rules.get().await.is_some(), "the caller was refused; the rules arrived 200 ms later");
        assert!(start.elapsed() < Duration::from_millis(250));
    }

    the_wait_for_rules_is_bounded => {
        let (_sender, rules) = entry();
        let start = Instant::now();
        assert!(rules.get().await.is_none());
        assert!(start.elapsed() < Duration::from_millis(500));
    }

    an_old_entry_without_rules_answers_at_once => {
        let (_sender, rules) = entry();
        advance(Duration::from_secs(3)).await;
        let start = Instant::now();
        assert!(rules.get().await.is_none());
        assert!(start.elapsed() < Duration::from_millis(10));
    }
}
