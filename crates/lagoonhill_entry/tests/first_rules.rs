//! Callers of an entry that has just started and has no rules yet.

use std::sync::Arc;
use std::time::Duration;

use lagoonhill_entry::{FirstRules, first_rules_wait};
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

/// How long the caller of a job of `work_ms` waits.
fn wait(work_ms: u64, deadline_ms: Option<u64>) -> Duration {
    first_rules_wait(DurationMs(work_ms), deadline_ms.map(DurationMs)).into()
}

/// The rules arrive `after` the start of the entry.
fn rules_after(after: Duration) -> FirstRules {
    let (sender, rules) = entry();
    tokio::spawn(async move {
        sleep(after).await;
        sender.send_replace(known());
        sleep(Duration::from_secs(60)).await;
    });
    rules
}

fn known() -> Arc<RuleSet> {
    Arc::new(RuleSet::new(Revision(1), Vec::new()))
}

cases! {
    known_rules_are_returned_at_once => {
        let (sender, rules) = entry();
        sender.send_replace(known());
        let start = Instant::now();
        assert!(rules.get(wait(60, None)).await.is_some());
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
        assert!(rules.get(wait(60, None)).await.is_some(), "the caller was refused; the rules arrived 200 ms later");
        assert!(start.elapsed() < Duration::from_millis(250));
    }

    the_wait_for_rules_is_bounded => {
        let (_sender, rules) = entry();
        let start = Instant::now();
        assert!(rules.get(wait(60, None)).await.is_none());
        assert!(start.elapsed() < Duration::from_millis(500));
    }

    an_old_entry_without_rules_answers_at_once => {
        let (_sender, rules) = entry();
        advance(Duration::from_secs(3)).await;
        let start = Instant::now();
        assert!(rules.get(wait(60, None)).await.is_none());
        assert!(start.elapsed() < Duration::from_millis(10));
    }

    // The store is back a second after all processes were killed. For a job of 900 ms an
    // answer is then still in time or a little late.
    a_caller_with_a_long_job_waits_as_long_as_its_answer_is_of_use => {
        let rules = rules_after(Duration::from_secs(1));
        assert!(rules.get(wait(900, Some(3_000))).await.is_some(), "the caller was refused");
    }

    // The answer to a short job would be of no use by then.
    a_caller_with_a_short_job_is_refused_before => {
        let rules = rules_after(Duration::from_secs(1));
        let start = Instant::now();
        assert!(rules.get(wait(60, Some(3_000))).await.is_none());
        assert!(start.elapsed() < Duration::from_millis(450), "{:?}", start.elapsed());
    }

    // A caller that leaves before its job could end is not held for nothing.
    no_caller_waits_longer_than_its_deadline_leaves_for_the_work => {
        assert_eq!(wait(900, Some(1_000)), Duration::from_millis(100));
        assert_eq!(wait(900, Some(800)), Duration::ZERO);
        assert_eq!(wait(60, Some(300)), Duration::from_millis(240));
    }
}
