//! Editing the rules while the store is slow, down, or loses responses.

use std::time::Duration;

use lagoonhill_operator::{EditError, new_edit_id, read_rules, submit_edit};
use lagoonhill_platform::{EtcdStore, RULES_KEY};
use lagoonhill_rules::{Edit, RuleLine, RuleSet};
use lagoonhill_standin::{PlatformFaults, PlatformStandin};
use lagoonhill_types::prelude::*;

fn line(text: &str) -> RuleLine {
    text.parse().expect("the line is valid")
}

async fn edit(store: &EtcdStore, text: &str) -> Edit {
    let seen = read_rules(store).await.expect("the store answers").rules;
    let line = line(text);
    Edit::set_line(new_edit_id(), &seen, line.key.clone(), Some(line))
}

async fn start() -> (PlatformStandin, EtcdStore) {
    let platform = PlatformStandin::start().await.expect("a port is free");
    let store = EtcdStore::new(platform.address());
    (platform, store)
}

/// Runs one async test body for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() $body
        )+
    };
}

cases! {
    racing_operators_lose_no_line => {
        let (_platform, store) = start().await;
        let operators = (0..6).map(|operator| {
            let store = store.clone();
            tokio::spawn(async move {
                for round in 1..=20 {
                    let proposed = edit(&store, &format!("team op{operator} rate={round}/s  # op{operator}")).await;
                    submit_edit(&store, &proposed, None).await.expect("no other operator edits this line");
                }
            })
        });
        for operator in operators.collect::<Vec<_>>() {
            operator.await.expect("an operator finished");
        }
        let stored = read_rules(&store).await.expect("the store answers");
        assert_eq!(stored.rules.revision, Revision(120));
        for operator in 0..6 {
            let text = format!("team op{operator} rate=20/s  # op{operator}\n");
            assert!(stored.rules.to_text().contains(&text), "the last line of op{operator} is missing");
        }
    }

    an_edit_whose_response_was_lost_is_applied_once => {
        let (platform, store) = start().await;
        let proposed = edit(&store, "team a rate=1/s  # asha").await;
        platform.set_faults(PlatformFaults { unanswered_transactions: 1, ..PlatformFaults::default() });
        let revision = submit_edit(&store, &proposed, None).await.expect("it was accepted");
        assert_eq!(revision, Revision(1));
        let stored = read_rules(&store).await.expect("the store answers");
        assert_eq!(stored.records.len(), 1);
    }

    a_retried_edit_does_not_undo_a_later_edit_of_the_same_line => {
        let (platform, store) = start().await;
        let first = edit(&store, "team a rate=1/s  # asha").await;
        submit_edit(&store, &first, None).await.expect("accepted");
        let later = edit(&store, "team a rate=2/s  # bela").await;
        submit_edit(&store, &later, None).await.expect("accepted");
        // Simulates a retry of the first edit after its response was lost.
        let revision = submit_edit(&store, &first, None).await.expect("it had been accepted");
        assert_eq!(revision, Revision(1));
        let stored = read_rules(&store).await.expect("the store answers");
        assert!(stored.rules.to_text().contains("rate=2/s"));
        drop(platform);
    }

    an_unavailable_store_is_reported_and_nothing_is_written => {
        let (platform, store) = start().await;
        let proposed = edit(&store, "team a rate=1/s  # asha").await;
        platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        let refused = submit_edit(&store, &proposed, None).await;
        assert!(matches!(refused, Err(EditError::Unavailable(_))), "{refused:?}");
        platform.set_faults(PlatformFaults::default());
        assert_eq!(platform.get(RULES_KEY), None);
    }

    a_slow_store_accepts_edits => {
        let (platform, store) = start().await;
        platform.set_faults(PlatformFaults { delay: Duration::from_millis(200), ..PlatformFaults::default() });
        let proposed = edit(&store, "team a rate=1/s  # asha").await;
        assert_eq!(submit_edit(&store, &proposed, None).await.expect("accepted"), Revision(1));
    }

    an_undecodable_value_is_not_overwritten_without_a_base => {
        let (platform, store) = start().await;
        platform.put(RULES_KEY, b"somebody else's");
        let proposed = Edit::set_line(new_edit_id(), &RuleSet::default(), line("team a  # x").key, Some(line("team a  # x")));
        let refused = submit_edit(&store, &proposed, None).await;
        assert!(matches!(refused, Err(EditError::Stored(_))), "{refused:?}");
        assert_eq!(platform.get(RULES_KEY).expect("it stays"), b"somebody else's");
    }

    a_base_replaces_an_undecodable_value_at_a_higher_revision => {
        let (platform, store) = start().await;
        platform.put(RULES_KEY, b"somebody else's");
        let base = RuleSet::new(Revision(41), [line("team a  # x")]);
        let proposed = Edit::set_line(new_edit_id(), &base, line("team b  # y").key, Some(line("team b  # y")));
        let revision = submit_edit(&store, &proposed, Some(&base)).await.expect("accepted");
        assert_eq!(revision, Revision(42));
        let stored = read_rules(&store).await.expect("the store answers");
        assert_eq!(stored.rules.to_text(), "team a  # x\nteam b  # y\n");
    }
}
