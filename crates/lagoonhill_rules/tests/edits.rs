//! Edits are merged line by line; conflicts are reported and reject the whole edit.

use std::fmt::Write;

use lagoonhill_rules::{
    Edit, EditId, EditRecord, RuleKey, RuleLine, RuleSet, StoreError, StoredRules, parse_rules,
};
use lagoonhill_types::prelude::*;

fn set(revision: u64, text: &str) -> RuleSet {
    RuleSet::new(
        Revision(revision),
        parse_rules(text).expect("the rules are valid"),
    )
}

fn line(text: &str) -> RuleLine {
    text.parse().expect("the line is valid")
}

fn edit(seen: &RuleSet, text: &str) -> Edit {
    let line = line(text);
    Edit::one(EditId("e".to_owned()), seen, line.key.clone(), Some(line))
}

fn removal(seen: &RuleSet, text: &str) -> Edit {
    let key: RuleKey = line(text).key;
    Edit::one(EditId("e".to_owned()), seen, key, None)
}

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

cases! {
    edits_of_different_lines_merge => {
        let seen = set(4, "team a  # x\nteam b  # x\n");
        let first = edit(&seen, "team a rate=1/s  # asha").merge_into(&seen).expect("no conflict");
        let both = edit(&seen, "team b rate=2/s  # bela").merge_into(&first).expect("no conflict");
        assert_eq!(both.to_text(), "team a rate=1/s  # asha\nteam b rate=2/s  # bela\n");
        assert_eq!(both.revision, Revision(6));
    }

    edits_of_the_same_line_conflict => {
        let seen = set(4, "team a  # x\n");
        let first = edit(&seen, "team a rate=1/s  # asha").merge_into(&seen).expect("no conflict");
        let conflicts = edit(&seen, "team a rate=2/s  # bela").merge_into(&first).expect_err("a conflict");
        assert!(conflicts[0].to_string().contains("team a rate=1/s  # asha"));
    }

    a_removal_conflicts_with_a_change => {
        let seen = set(4, "team a  # x\n");
        let first = edit(&seen, "team a rate=1/s  # asha").merge_into(&seen).expect("no conflict");
        assert!(removal(&seen, "team a  # x").merge_into(&first).is_err());
    }

    the_same_edit_twice_is_no_conflict => {
        let seen = set(4, "team a  # x\n");
        let edit = edit(&seen, "team a rate=1/s  # asha");
        let first = edit.merge_into(&seen).expect("no conflict");
        assert!(edit.merge_into(&first).is_ok());
    }

    one_conflict_rejects_the_whole_edit => {
        let seen = set(4, "team a  # x\n");
        let wanted = set(4, "team a rate=1/s  # asha\nteam b  # asha\n");
        let whole = Edit::replace_all(EditId("e".to_owned()), &seen, &wanted);
        let other = edit(&seen, "team a rate=9/s  # bela").merge_into(&seen).expect("no conflict");
        assert_eq!(whole.merge_into(&other).expect_err("a conflict").len(), 1);
    }

    stored_rules_round_trip => {
        let mut stored = StoredRules { rules: set(7, "team a  # x\n"), records: Vec::new() };
        stored.record(EditRecord {
            id: "e".to_owned(),
            revision: Revision(7),
            at_ms: TimestampMs(1),
            summary: vec!["team a  # x".to_owned()],
        });
        let bytes = stored.encode().expect("it fits");
        assert_eq!(StoredRules::decode(&bytes).expect("the format is right"), stored);
        assert!(stored.contains(&EditId("e".to_owned())));
    }

    a_value_of_another_format_and_a_damaged_one_are_different_errors => {
        assert!(matches!(StoredRules::decode(b"{}"), Err(StoreError::Foreign(_))));
        assert!(matches!(StoredRules::decode(b"\xff\x00"), Err(StoreError::Foreign(_))));
        let damaged = br#"{"format":"lagoonhill-rules/1","revision":3,"lines":["team a"],"records":[]}"#;
        assert!(matches!(StoredRules::decode(damaged), Err(StoreError::Damaged(_))));
    }

    a_value_over_one_mebibyte_is_rejected_with_the_excess => {
        let mut text = String::new();
        for number in 0..9_000 {
            let reason = "a long reason ".repeat(8);
            writeln!(text, "team team-{number} weight=2  # {reason}").expect("writing to a string cannot fail");
        }
        let stored = StoredRules { rules: set(1, &text), records: Vec::new() };
        let error = stored.encode().expect_err("it is too large");
        assert!(error.to_string().contains("bytes over"), "{error}");
    }
}
