use lagoonhill_core::entry::{Cause, DecisionKind, EntryStatus, RunCertainty};
use lagoonhill_daemon::{Meters, PacketMeter};
use lagoonhill_platform::{CallCounts, CallKind};
use lagoonhill_rules::Class;
use lagoonhill_types::prelude::*;
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

/// The entry's metrics.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    meters: Meters,
    pub(crate) packets: PacketMeter,
    jobs: IntCounterVec,
    seed_requests: IntCounterVec,
    rules_waits: IntCounterVec,
    placed: IntCounter,
    moved: IntCounter,
    rerun: IntCounter,
    crashes: IntCounterVec,
    times: HistogramVec,
    refusals: IntCounterVec,
    turned_away: IntCounterVec,
    ownership: IntCounterVec,
    platform_calls: IntCounterVec,
    platform_failures: IntCounterVec,
    by_state: IntGaugeVec,
    zone_drained: IntGaugeVec,
    containment: IntCounterVec,
    contained: IntGaugeVec,
    queued: IntGauge,
    running_jobs: IntGauge,
    workers: IntGauge,
    entries: IntGauge,
    rules_revision: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let meters = Meters::default();
        Self {
            packets: PacketMeter::new(&meters),
            jobs: meters.counters(
                "lagoonhill_jobs_total",
                "Jobs by what became of them.",
                "outcome",
            ),
            seed_requests: meters.counters(
                "lagoonhill_seed_requests_total",
                "Requests to seeds for the entries that they know, by whether they answered.",
                "outcome",
            ),
            rules_waits: meters.counters(
                "lagoonhill_first_rules_waits_total",
                "Requests that waited for the first rules of a new entry, by whether they came in time.",
                "outcome",
            ),
            placed: meters.counter(
                "lagoonhill_tasks_placed_total",
                "Tasks ordered from workers.",
            ),
            moved: meters.counter(
                "lagoonhill_tasks_moved_total",
                "Tasks handed back unstarted.",
            ),
            rerun: meters.counter(
                "lagoonhill_tasks_rerun_total",
                "Tasks queued again after a run without success.",
            ),
            crashes: meters.counters(
                "lagoonhill_task_crashes_total",
                "Workers that crashed or were lost under a task, by what followed: the task is suspected, awaited or convicted. Losses resolved: crashed or survived. Suspects that are done: cleared.",
                "verdict",
            ),
            times: meters.time_histograms(
                "lagoonhill_job_seconds",
                "Time since a job was admitted, at each of its tasks' placements and at its end.",
                "stage",
            ),
            refusals: meters.counters(
                "lagoonhill_refusals_total",
                "Jobs refused, or given up before anything ran, by reason.",
                "reason",
            ),
            turned_away: meters.labelled_counters(
                "lagoonhill_turned_away_total",
                "Jobs refused or given up for lack of room, by reason and class.",
                &["reason", "class"],
            ),
            ownership: meters.counters(
                "lagoonhill_kept_jobs_total",
                "Kept jobs that changed their owner: adopted here, or given up.",
                "change",
            ),
            platform_failures: meters.counters(
                "lagoonhill_platform_failures_total",
                "Calls to the platform's store without a usable answer.",
                "kind",
            ),
            zone_drained: meters.gauges(
                "lagoonhill_zone_drained",
                "1 for each zone that operators drain beside the rules.",
                "zone",
            ),
            containment: meters.counters(
                "lagoonhill_containment_total",
                "Kinds of work that were kept to a part of the fleet, resized or released.",
                "event",
            ),
            contained: meters.gauges(
                "lagoonhill_contained_workers",
                "Workers set aside for each kind of work whose tasks crash workers.",
                "kind",
            ),
            by_state: meters.gauges(
                "lagoonhill_workers_by_state",
                "Workers with a session, by what is believed of them.",
                "state",
            ),
            platform_calls: meters.counters(
                "lagoonhill_platform_calls_total",
                "Calls to the platform's store.",
                "kind",
            ),
            queued: meters.gauge("lagoonhill_queued_tasks", "Tasks waiting for a worker."),
            running_jobs: meters.gauge("lagoonhill_jobs", "Jobs without an answer."),
            workers: meters.gauge("lagoonhill_workers", "Workers with a session."),
            entries: meters.gauge("lagoonhill_entries", "Live entries known."),
            rules_revision: meters.gauge(
                "lagoonhill_rules_revision",
                "Revision of the rules in force.",
            ),
            meters,
        }
    }

    pub(crate) fn count_decision(&self, kind: &DecisionKind) {
        let outcome = match kind {
            DecisionKind::Placed { waited_ms, .. } => {
                self.observe("placed", *waited_ms);
                return self.placed.inc();
            }
            DecisionKind::Moved { .. } => return self.moved.inc(),
            DecisionKind::Admitted { .. } => "admitted",
            DecisionKind::Refused { cause, weighed } => {
                self.count_refusal(cause);
                if let Some(weighed) = weighed {
                    self.count_turned_away(cause, weighed.class);
                }
                "refused"
            }
            DecisionKind::Completed { took_ms } => {
                self.observe("completed", *took_ms);
                "completed"
            }
            DecisionKind::Failed {
                run,
                took_ms,
                cause,
                given_up,
            } => {
                self.observe("failed", *took_ms);
                if let Some(class) = given_up {
                    self.count_turned_away(cause, *class);
                }
                match run {
                    RunCertainty::NotRun => {
                        self.count_refusal(cause);
                        "failed_not_run"
                    }
                    RunCertainty::MayHaveRun => "failed_may_have_run",
                }
            }
            DecisionKind::Unleased => "unleased",
            DecisionKind::Rerun { .. } => return self.rerun.inc(),
            DecisionKind::Containment(change) => {
                let event = change.event.label();
                return self.containment.with_label_values(&[event]).inc();
            }
            DecisionKind::Crashed { verdict, .. } => {
                return self.count_crash(&verdict.to_string());
            }
            DecisionKind::LossResolved { resolved, .. } => {
                return self.count_crash(&resolved.outcome.to_string());
            }
            DecisionKind::Cleared { .. } => return self.count_crash("cleared"),
            DecisionKind::TakenOver { .. } => return self.count_change("adopted"),
            DecisionKind::Withheld { .. } => return self.count_change("withheld"),
            DecisionKind::Abandoned { .. } => return self.count_change("given_up"),
            DecisionKind::Awaited { .. }
            | DecisionKind::InDoubt { .. }
            | DecisionKind::Joined { .. }
            | DecisionKind::DiscoveryComplete { .. }
            | DecisionKind::Left { .. }
            | DecisionKind::Quarantined { .. }
            | DecisionKind::Recovered { .. }
            | DecisionKind::ZoneDrain { .. }
            | DecisionKind::Rules { .. } => return,
        };
        self.jobs.with_label_values(&[outcome]).inc();
    }

    /// Counts a request to a seed, by whether it was answered.
    pub(crate) fn seed_asked(&self, is_answered: bool) {
        let outcome = if is_answered {
            "answered"
        } else {
            "unanswered"
        };
        self.seed_requests.with_label_values(&[outcome]).inc();
    }

    /// Counts a request that waited for the first rules.
    pub(crate) fn rules_awaited(&self, is_known: bool) {
        let outcome = if is_known { "known" } else { "unknown" };
        self.rules_waits.with_label_values(&[outcome]).inc();
    }

    fn count_change(&self, change: &str) {
        self.ownership.with_label_values(&[change]).inc();
    }

    fn count_crash(&self, verdict: &str) {
        self.crashes.with_label_values(&[verdict]).inc();
    }

    fn count_refusal(&self, cause: &Cause) {
        self.refusals.with_label_values(&[cause.reason()]).inc();
    }

    fn count_turned_away(&self, cause: &Cause, class: Class) {
        let labels = [cause.reason(), class.name()];
        self.turned_away.with_label_values(&labels).inc();
    }

    fn observe(&self, stage: &str, span_ms: DurationMs) {
        let histogram = self.times.with_label_values(&[stage]);
        histogram.observe(span_ms.as_secs_f64());
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn render(&self, status: &EntryStatus, calls: Option<&CallCounts>) -> Vec<u8> {
        let gauge =
            |gauge: &IntGauge, value: usize| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        gauge(&self.queued, status.queued_tasks);
        gauge(&self.running_jobs, status.jobs);
        gauge(&self.workers, status.workers.len());
        gauge(&self.entries, status.entries.len());
        self.rules_revision
            .set(i64::try_from(status.rules_revision.0).unwrap_or(i64::MAX));
        self.zone_drained.reset();
        for zone in &status.drained_zones {
            let gauge = self.zone_drained.with_label_values(&[zone.as_str()]);
            gauge.set(1);
        }
        self.contained.reset();
        for (kind, workers) in &status.contained {
            let queue = kind.queue.as_ref().map(QueueName::as_str);
            let kind = queue.unwrap_or(kind.service.as_str());
            gauge(&self.contained.with_label_values(&[kind]), *workers);
        }
        self.by_state.reset();
        for worker in &status.workers {
            let state = if worker.quarantined {
                "quarantined".to_owned()
            } else {
                worker.state.to_string()
            };
            self.by_state.with_label_values(&[state.as_str()]).inc();
        }
        for kind in CallKind::ALL {
            let count = |counters: &IntCounterVec, calls: u64| {
                let counter = counters.with_label_values(&[kind.to_string().as_str()]);
                counter.inc_by(calls.saturating_sub(counter.get()));
            };
            count(
                &self.platform_calls,
                calls.map_or(0, |calls| calls.get(kind)),
            );
            count(
                &self.platform_failures,
                calls.map_or(0, |calls| calls.failed(kind)),
            );
        }
        self.meters.render()
    }
}
