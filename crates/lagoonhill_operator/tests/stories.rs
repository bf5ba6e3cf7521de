//! Parsing log lines, and reconstructing a job's timeline from them.

use lagoonhill_operator::{JobTimeline, LogLine, LogMessage};
use lagoonhill_types::Quoted;
use quickcheck::quickcheck;

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

/// Parses `(process, milliseconds, message)` into log lines as a collector delivers them.
fn logs(lines: &[(&str, u32, &str)]) -> Vec<(String, LogLine)> {
    let line = |(process, at_ms, message): &(&str, u32, &str)| {
        let text = format!(
            "2026-12-04T10:00:{:02}.{:03}000+00:00   INFO decision: control.rs:1 {message}",
            at_ms / 1_000,
            at_ms % 1_000
        );
        let line = LogLine::parse(&text).expect("the line can be parsed");
        ((*process).to_owned(), line)
    };
    lines.iter().map(line).collect()
}

const ADMITTED: &str =
    "request=ab job=1-1 admitted service=s team=t tasks=1 queued=0 deadline=2000ms promised=300ms";
const PLACED: &str = "request=ab job=1-1 task=0 placed worker=w-1 load=0/6 alternatives=1 waited=0ms expected=80ms report_age=9ms";

quickcheck! {
    fn quoted_values_round_trip(text: String) -> bool {
        let line = format!("failed took=5ms why={} run=not-run", Quoted(&text));
        let message = LogMessage::parse(&line);
        message.event == "failed"
            && message.get("why") == Some(text.as_str())
            && message.get("run") == Some("not-run")
    }

    fn parsing_any_text_does_not_panic(text: String) -> bool {
        let _ = (LogLine::parse(&text), LogMessage::parse(&text));
        true
    }
}

cases! {
    text_and_json_lines_parse_equally => {
        let text = LogLine::parse(
            "2026-12-04T10:00:00.250000+00:00   INFO decision: control.rs:7 job=1-2 failed run=not-run took=3ms why=\"a \\\"b\\\"\"",
        );
        let json = LogLine::parse(
            r#"{"timestamp":"2026-12-04T10:00:00.250000+00:00","level":"INFO","target":"decision","file":"control.rs","line":7,"message":"job=1-2 failed run=not-run took=3ms why=\"a \\\"b\\\"\""}"#,
        );
        assert_eq!(text, json);
        let message = text.expect("the line can be parsed").message;
        assert_eq!((message.event.as_str(), message.get("why")), ("failed", Some("a \"b\"")));
    }

    // Load: too little room. The story of a refused job tells what was weighed.
    the_cause_of_a_refusal_names_what_was_weighed => {
        let refused = "request=ab refused why=\"all that waits takes 340ms\" class=office team=t work=900ms ahead=5000ms wait=340ms left=200ms";
        let story = JobTimeline::from_logs("ab", &logs(&[("entry-1", 0, refused)]));
        let cause = story.cause().expect("the line tells the cause");
        for part in ["all that waits takes 340ms", "class office", "900ms", "5000ms", "wait 340ms", "200ms left"] {
            assert!(cause.contains(part), "`{part}` is missing in `{cause}`");
        }
    }

    the_collector_prefix_is_the_process_name => {
        let line = "  10.61 edge-a-1 2026-12-04T10:00:00.250000+00:00   INFO decision: control.rs:7 recovered worker=w";
        let line = LogLine::parse(line).expect("the line can be parsed");
        assert_eq!(line.process.as_deref(), Some("edge-a-1"));
    }

    the_cause_of_a_late_job_contains_its_longest_wait => {
        let logs = logs(&[
            ("entry", 0, ADMITTED),
            ("entry", 1, PLACED),
            ("w-1", 5, "request=ab job=1-1 task=0 started run=1 target=10.0.0.1:1 expected=80ms"),
            ("w-1", 655, "request=ab job=1-1 task=0 ended how=interrupted why=\"the target fell silent\""),
            ("entry", 660, "request=ab job=1-1 task=0 rerun from=w-1 why=\"the target fell silent\""),
            ("entry", 700, "request=ab job=1-1 completed took=700ms"),
        ]);
        let timeline = JobTimeline::from_logs("ab", &logs);
        let cause = timeline.cause().expect("it was late");
        assert!(cause.contains("300 ms were promised"), "{cause}");
        assert!(cause.contains("650 ms: task 0 running at w-1"), "{cause}");
        assert!(cause.contains("the target fell silent"), "{cause}");
        assert_eq!(timeline.gaps(), [] as [&str; 0]);
        assert_eq!(JobTimeline::from_logs("1-1", &logs).cause(), timeline.cause());
    }

    missing_lines_are_reported_as_gaps => {
        let mut logs = logs(&[("entry", 0, ADMITTED), ("entry", 1, PLACED)]);
        let dropped = LogLine::parse("log lines dropped=12").expect("the line can be parsed");
        logs.push(("w-1".to_owned(), dropped));
        let gaps = JobTimeline::from_logs("ab", &logs).gaps().join("\n");
        for part in ["no line tells the job's end; task 0 on its way to w-1", "without a line about it: w-1", "w-1 dropped 12 lines"] {
            assert!(gaps.contains(part), "`{part}` is missing in:\n{gaps}");
        }
    }

    a_job_without_log_lines_has_an_empty_timeline => {
        let timeline = JobTimeline::from_logs("cd", &logs(&[("entry", 0, ADMITTED)]));
        assert!(timeline.is_empty());
        assert!(timeline.to_string().contains("no line tells of `cd`"));
    }

    the_timeline_contains_earlier_events_of_the_jobs_workers_only => {
        let logs = logs(&[
            ("entry", 0, "quarantined worker=w-1 probe_in=1s"),
            ("entry", 0, "quarantined worker=w-2 probe_in=1s"),
            ("entry", 900, ADMITTED),
            ("entry", 901, PLACED),
        ]);
        let text = JobTimeline::from_logs("ab", &logs).to_string();
        assert!(text.contains("quarantined worker=w-1") && !text.contains("w-2"), "{text}");
    }
}
