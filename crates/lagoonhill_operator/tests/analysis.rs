//! The analysis of logs: counts and distributions, lines in any order and of any
//! condition, and groups.

use lagoonhill_operator::{AnalysisOptions, AnalysisReport, GroupBy, LogAnalysis, LogLine};
use quickcheck::{Gen, QuickCheck};

/// Defines one test for each named case.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(#[test] fn $name() $body)+
    };
}

fn line(at_ms: u64, message: &str) -> String {
    let (second, part) = (at_ms / 1_000, at_ms % 1_000);
    format!("2026-01-12T03:42:{second:02}.{part:03}000+00:00   INFO decision: file.rs:1 {message}")
}

fn admitted(at_ms: u64, job: &str, team: &str) -> String {
    line(
        at_ms,
        &format!(
            "request=r job={job} admitted service=s team={team} tasks=1 queued=0 deadline=900ms promised=100ms"
        ),
    )
}

/// A job whose only task waits at the agent, and whose answer takes `took_ms`.
fn story(at_ms: u64, job: &str, team: &str, wait_ms: u64, took_ms: u64) -> Vec<String> {
    let placed = format!(
        "request=r job={job} task=0 placed worker=w1 load=3/8 alternatives=1 waited=0ms expected=50ms report_age=7ms"
    );
    let started = format!("request=r job={job} task=0 started run=1 target=t expected=50ms");
    let ended = format!("request=r job={job} task=0 ended how=done");
    vec![
        admitted(at_ms, job, team),
        line(at_ms + 1, &placed),
        line(at_ms + 1 + wait_ms, &started),
        line(at_ms + took_ms - 1, &ended),
        line(
            at_ms + took_ms,
            &format!("request=r job={job} completed took={took_ms}ms"),
        ),
    ]
}

fn analyze(options: AnalysisOptions, lines: &[String]) -> AnalysisReport {
    let mut analysis = LogAnalysis::new(options);
    for text in lines {
        match LogLine::parse(text) {
            Some(line) => analysis.push("entry-1", &line),
            None => analysis.push_damaged(),
        }
    }
    analysis.finish()
}

cases! {
    jobs_are_counted_by_what_became_of_them => {
        let mut lines = story(0, "a-1", "short", 2, 80);
        lines.extend(story(100, "a-2", "short", 40, 130));
        lines.push(admitted(300, "a-3", "short"));
        lines.push(line(350, "request=r job=a-3 failed run=not-run took=50ms why=\"the queue is long\""));
        lines.push(line(400, "request=r refused why=\"all that waits takes 70ms, too long\""));
        lines.push(line(410, "request=r refused why=\"all that waits takes 9ms, too long\""));
        lines.push(admitted(500, "a-4", "short"));
        let report = analyze(AnalysisOptions::default(), &lines);
        let group = &report.groups["all"];
        assert_eq!((group.jobs, group.completed, group.late, group.very_late), (4, 2, 1, 1));
        assert_eq!((group.failed_not_run, report.unfinished_jobs), (1, 1));
        assert_eq!((group.started, group.believed_free, group.held_up), (2, 2, 1));
        let refusals: Vec<_> = report.refusals.into_iter().collect();
        assert_eq!(refusals, [("all that waits takes #ms, too long".to_owned(), 2)]);
    }

    // Load: too little room. Operators are to see which callers are turned away.
    refusals_for_lack_of_room_are_counted_by_class_and_organisation => {
        let refused = |team: &str| format!(
            "request=r refused why=\"all that waits takes 70ms\" class=office team={team} work=900ms ahead=4000ms wait=70ms left=50ms"
        );
        let lines = [
            admitted(0, "a-1", "short"),
            line(10, &refused("reports")),
            line(20, &refused("reports")),
            line(30, &refused("audits")),
            line(40, "request=r refused why=\"no worker serves it\""),
        ];
        let report = analyze(AnalysisOptions::default(), &lines);
        let counts = [("class=office team=audits", 1), ("class=office team=reports", 2)];
        let counts = counts.map(|(subject, count)| (subject.to_owned(), count));
        assert_eq!(report.turned_away.clone().into_iter().collect::<Vec<_>>(), counts);
        assert!(report.to_string().contains("2  class=office team=reports"), "{report}");
    }

    // Logs of several processes are collected with some delay.
    lines_of_a_job_may_come_after_its_end => {
        let mut lines = story(0, "a-1", "short", 2, 80);
        let started = lines.remove(2);
        lines.push(started);
        let report = analyze(AnalysisOptions::default(), &lines);
        assert_eq!(report.groups["all"].started, 1);
        assert_eq!(report.groups["all"].agent_wait_ms.percentile(50.0), 2);
    }

    jobs_are_grouped_and_limited_to_a_span => {
        let mut lines = story(0, "a-1", "short", 2, 80);
        lines.extend(story(2_000, "a-2", "short", 2, 80));
        lines.extend(story(3_000, "a-3", "long", 2, 80));
        let options = AnalysisOptions { by: GroupBy::Team, from_s: 1.0, to_s: 9.0 };
        let report = analyze(options, &lines);
        let jobs: Vec<_> = report.groups.iter().map(|(name, group)| (name.as_str(), group.jobs)).collect();
        assert_eq!(jobs, [("long", 1), ("short", 1)]);
        let json = report.to_json();
        assert_eq!(json["groups"]["long"]["agent_wait_ms"]["p50"], 2);
    }

    a_grouping_that_does_not_exist_is_named => {
        let error = "zone".parse::<GroupBy>().expect_err("there is no such grouping");
        assert!(error.contains("write all, team"), "{error}");
    }
}

/// Cut and damaged lines are counted or read as far as they go, and end nothing.
#[test]
fn damaged_lines_are_counted() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn check(cuts: Vec<usize>, noise: Vec<String>) -> bool {
        let mut lines = story(0, "a-1", "short", 2, 80);
        for (line, cut) in lines.iter_mut().zip(&cuts) {
            line.truncate(cut % (line.len() + 1));
        }
        let count = lines.len() + noise.len();
        lines.extend(noise);
        analyze(AnalysisOptions::default(), &lines).lines == count as u64
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .tests(500)
        .quickcheck(check as fn(Vec<usize>, Vec<String>) -> bool);
}
