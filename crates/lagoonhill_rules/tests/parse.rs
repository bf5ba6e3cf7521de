//! Parsing of rule lines: valid lines, and the errors of invalid ones.

use lagoonhill_rules::{Rule, RuleLine, parse_rules};
use lagoonhill_types::prelude::*;

/// Defines one test per invalid rule file: the column of its error and a part of the
/// message that says how to fix it.
macro_rules! rejected {
    ($($name:ident: $text:expr => $column:expr, $fix:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let errors = parse_rules($text).expect_err("the line must be rejected").0;
                assert_eq!(errors.len(), 1, "{errors:?}");
                assert_eq!(errors[0].column, $column, "{}", errors[0]);
                let message = errors[0].to_string();
                assert!(message.contains($fix), "`{message}` does not contain `{}`", $fix);
            }
        )+
    };
}

rejected! {
    no_requester: "team north rate=5/s" => 20, "# name";
    empty_requester: "team north rate=5/s #  " => 22, "# name";
    unknown_kind: "taem north  # a" => 1, "`team`";
    dissimilar_kind: "xylophone north  # a" => 1, "class, queue, service, team, worker or zone";
    no_subject: "team  # a" => 1, "team NAME";
    bad_subject: "team n/rth  # a" => 6, "letters";
    bad_class_subject: "class slow  # a" => 7, "rush, standard or office";
    not_a_setting: "team north rate 5/s  # a" => 12, "key=value";
    unknown_key: "team north rat=5/s  # a" => 12, "`rate`";
    key_of_another_kind: "worker w1 rate=5/s  # a" => 11, "`state`";
    repeated_key: "team north rate=5/s rate=6/s  # a" => 21, "twice";
    bad_unit: "service s deadline=5  # a" => 11, "250ms";
    bad_rate: "team north rate=5  # a" => 12, "500/s";
    bad_size: "service s memory=5GB  # a" => 11, "MiB";
    bad_state: "worker w1 state=off  # a" => 11, "serve, drain or quarantine";
    zero_weight: "team north weight=0  # a" => 12, "1 or more";
    repeated_line: "team north  # a\nteam north weight=2  # b" => 1, "line 1";
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = "team north\n\n# a comment\nteam south rat=1/s  # a\nservice x class=fast  # a\n";
    let lines: Vec<usize> = parse_rules(text)
        .expect_err("three lines are invalid")
        .0
        .iter()
        .map(|e| e.line)
        .collect();
    assert_eq!(lines, [1, 4, 5]);
}

#[test]
fn a_parsed_line_displays_as_written() {
    let text = "service bus class=rush deadline=20s memory=2GiB  # Asha, roster desk";
    let line: RuleLine = text.parse().expect("the line is valid");
    assert_eq!(line.to_string(), text);
    assert_eq!(line.requester, "Asha, roster desk");
    let Rule::Service(rule) = line.rule else {
        panic!("not a service")
    };
    assert_eq!(rule.deadline_ms, DurationMs(20_000));
    assert_eq!(rule.memory_bytes, ByteCount(2 << 30));
}

#[test]
fn a_multibyte_comment_does_not_shift_columns() {
    let errors = parse_rules("team gogledd rate=pump  # Siân")
        .expect_err("not a rate")
        .0;
    assert_eq!(errors[0].column, 14);
}
