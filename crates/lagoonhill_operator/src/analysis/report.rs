//! The findings of an analysis, as a table or JSON.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::json;

use super::group::{Distribution, GroupStats, PERCENTILES};
use super::{GroupBy, SecondStats};

/// Seconds and refusals that a table shows.
const MAX_ROWS: usize = 8;

/// Events of the fleet that a table shows.
const MAX_EVENTS: usize = 20;

/// What the analysed logs tell.
#[derive(Clone, Debug)]
pub struct AnalysisReport {
    /// By what jobs are grouped.
    pub by: GroupBy,
    /// Jobs by group.
    pub groups: BTreeMap<String, GroupStats>,
    /// Jobs by the second in which they came, since the first job.
    pub seconds: BTreeMap<i64, SecondStats>,
    /// Refused submissions by reason, without numbers and names.
    pub refusals: BTreeMap<String, u64>,
    /// Submissions refused for lack of room, by class and organisation.
    pub turned_away: BTreeMap<String, u64>,
    /// Drains, quarantines and departures, with seconds since the first job.
    pub events: Vec<(f64, String)>,
    /// Lines read.
    pub lines: u64,
    /// Lines that are not in the log format, or cut.
    pub damaged_lines: u64,
    /// Lines that processes dropped.
    pub dropped_lines: u64,
    /// Jobs without an end in the logs.
    pub unfinished_jobs: u64,
}

impl AnalysisReport {
    /// The findings as one JSON object.
    pub fn to_json(&self) -> serde_json::Value {
        let seconds: BTreeMap<String, _> = self
            .seconds
            .iter()
            .map(|(second, stats)| {
                let SecondStats {
                    admitted,
                    refused,
                    late,
                    failed,
                } = stats;
                let stats = json!({"admitted": admitted, "refused": refused, "late": late, "failed": failed});
                (second.to_string(), stats)
            })
            .collect();
        json!({
            "by": self.by.to_string(),
            "groups": self.groups,
            "seconds": seconds,
            "refusals": self.refusals,
            "turned_away": self.turned_away,
            "lines": self.lines,
            "damaged_lines": self.damaged_lines,
            "dropped_lines": self.dropped_lines,
            "unfinished_jobs": self.unfinished_jobs,
        })
    }

    /// Seconds with the most jobs late, failed or refused, heaviest first.
    fn heaviest_seconds(&self) -> Vec<(i64, SecondStats)> {
        let cost = |stats: &SecondStats| stats.late + stats.failed + stats.refused;
        let mut seconds: Vec<_> = self.seconds.iter().map(|(at, it)| (*at, *it)).collect();
        seconds.retain(|(_, stats)| cost(stats) > 0);
        seconds.sort_by_key(|(_, stats)| std::cmp::Reverse(cost(stats)));
        seconds.truncate(MAX_ROWS);
        seconds
    }

    fn write_group(&self, f: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
        let group = &self.groups[name];
        writeln!(
            f,
            "{} {name}: {} jobs, {} completed ({} late, {} over 1.25 of the promise), {} failed not run, {} failed",
            self.by,
            group.jobs,
            group.completed,
            group.late,
            group.very_late,
            group.failed_not_run,
            group.failed_may_have_run
        )?;
        writeln!(
            f,
            "  {} tasks started, {} at workers believed free, {} of these waited over 30 ms",
            group.started, group.believed_free, group.held_up
        )?;
        let rows: [(&str, &Distribution); 7] = [
            ("took / promised, permille", &group.took_permille),
            ("to first dispatch, ms", &group.first_dispatch_ms),
            ("to last dispatch, ms", &group.last_dispatch_ms),
            ("dispatch to start, ms", &group.agent_wait_ms),
            ("load / slots, permille", &group.load_permille),
            ("age of report, ms", &group.report_age_ms),
            ("run / expected, permille", &group.run_permille),
        ];
        for (label, distribution) in rows {
            write!(f, "  {label:<26}")?;
            for percent in PERCENTILES {
                write!(f, " {:>8}", distribution.percentile(percent))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for AnalysisReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} lines, {} damaged, {} dropped; {} jobs without an end",
            self.lines, self.damaged_lines, self.dropped_lines, self.unfinished_jobs
        )?;
        writeln!(
            f,
            "clocks of processes may differ; dispatch to start compares two of them"
        )?;
        write!(f, "{:28}", "")?;
        for percent in PERCENTILES {
            write!(f, " {:>8}", format!("p{percent}"))?;
        }
        writeln!(f)?;
        for name in self.groups.keys() {
            self.write_group(f, name)?;
        }
        writeln!(f, "refused:")?;
        let mut refusals: Vec<_> = self.refusals.iter().collect();
        refusals.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        for (why, count) in refusals.into_iter().take(MAX_ROWS) {
            writeln!(f, "  {count:>8}  {why}")?;
        }
        writeln!(f, "refused for lack of room:")?;
        let mut turned_away: Vec<_> = self.turned_away.iter().collect();
        turned_away.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        for (subject, count) in turned_away.into_iter().take(MAX_ROWS) {
            writeln!(f, "  {count:>8}  {subject}")?;
        }
        writeln!(f, "heaviest seconds:  admitted  refused     late   failed")?;
        for (second, stats) in self.heaviest_seconds() {
            writeln!(
                f,
                "  {second:>8} s {:>16} {:>8} {:>8} {:>8}",
                stats.admitted, stats.refused, stats.late, stats.failed
            )?;
        }
        writeln!(f, "fleet:")?;
        for (at_s, event) in self.events.iter().take(MAX_EVENTS) {
            writeln!(f, "  {at_s:>8.3} s  {event}")?;
        }
        if self.events.len() > MAX_EVENTS {
            writeln!(f, "  and {} more", self.events.len() - MAX_EVENTS)?;
        }
        Ok(())
    }
}
