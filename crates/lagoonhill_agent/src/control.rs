//! The agent's control thread: feeds events to its state machine and runs the
//! resulting effects.

use std::fmt;
use std::ops::ControlFlow;
use std::sync::mpsc::Sender;

use lagoonhill_core::agent::{Agent, AgentEffect, TaskKey, UnstoredEnd};
use lagoonhill_core::leased::{AnnouncementReport, TargetChange};
use lagoonhill_daemon::ControlState;
use lagoonhill_link::Link;
use lagoonhill_protocol::{EntryAddress, Packet, Start, Target, TaskResult};
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use log::{Level, info, log};
use tokio::sync::{oneshot, watch};

use crate::metrics::Metrics;
use crate::target_runner::{RunnerReport, TargetRunner};

/// Snapshot of the agent for `GET /v1/status`, readiness and metrics.
#[derive(Clone, Debug)]
pub(crate) struct AgentStatus {
    pub(crate) target: Option<Target>,
    pub(crate) leaving: bool,
    pub(crate) held: usize,
    pub(crate) running: u16,
    pub(crate) unstored_ends: usize,
    pub(crate) sessions: usize,
    pub(crate) entries: Vec<EntryAddress>,
    pub(crate) rules_revision: Revision,
    pub(crate) zone: AvailabilityZone,
    pub(crate) is_zone_drained: bool,
}

/// An event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent<E> {
    Packet { packet: Packet, size_bytes: usize },
    Target(Option<Target>),
    Runner(E),
    Entries(Vec<EntryAddress>),
    Rules(RuleSet),
    Status(oneshot::Sender<AgentStatus>),
    Leave,
    Stop,
}

/// Sends a runner's events to the control thread.
#[derive(Debug)]
pub struct AgentHandle<E>(pub(crate) Sender<ControlEvent<E>>);

impl<E> Clone for AgentHandle<E> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<E> AgentHandle<E> {
    /// Sends an event. Returns `false` if the control thread has ended.
    pub fn report(&self, event: E) -> bool {
        self.0.send(ControlEvent::Runner(event)).is_ok()
    }
}

/// State owned by the control thread.
pub(crate) struct Control<L, R> {
    pub(crate) agent: Agent,
    pub(crate) link: L,
    pub(crate) metrics: Metrics,
    pub(crate) runner: R,
    pub(crate) drained: watch::Sender<bool>,
}

impl<L: Link, R: TargetRunner> ControlState for Control<L, R> {
    type Event = ControlEvent<R::Event>;

    fn tick(&mut self, now: TimestampMs) {
        self.runner.tick(now);
        self.take_reports(now);
        self.agent.tick(now);
    }

    fn handle(&mut self, event: Self::Event, now: TimestampMs) -> ControlFlow<()> {
        match event {
            ControlEvent::Packet { packet, size_bytes } => {
                self.metrics.packets.received(size_bytes);
                self.agent.receive(packet, now);
            }
            ControlEvent::Target(target) => self.set_target(target, now),
            ControlEvent::Runner(event) => {
                self.runner.handle(event, now);
                self.take_reports(now);
            }
            ControlEvent::Entries(entries) => self.agent.add_entries(&entries, now),
            ControlEvent::Rules(rules) => {
                self.agent.install_rules(rules);
            }
            ControlEvent::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ControlEvent::Leave => self.agent.leave(now),
            ControlEvent::Stop => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }

    fn apply_effects(&mut self, now: TimestampMs) {
        for effect in self.agent.poll_effects(now) {
            match effect {
                AgentEffect::Send { to, packet } => {
                    let size_bytes = self.link.send(to, &packet);
                    self.metrics.packets.sent(size_bytes);
                }
                AgentEffect::Reconnect { to } => self.link.reconnect(to),
                AgentEffect::Disconnect { to } => self.link.disconnect(to),
                AgentEffect::Run { key, start, target } => self.run(key, start, target, now),
                AgentEffect::Stop { key } => {
                    info!(target: "decision", "{} stopping", self.describe_run(key));
                    self.runner.stop(key, now);
                }
                AgentEffect::EndStored { end } => {
                    self.log_resolved_end(&end, "end-stored", now);
                    self.runner.end_stored(end.key, now);
                }
                AgentEffect::DiscardEnd { end } => {
                    self.log_resolved_end(&end, "end-discarded", now);
                    self.runner.end_discarded(end.key);
                }
                AgentEffect::ZoneDrain { drain } => {
                    info!(target: "decision", "{drain} source=entry");
                }
                AgentEffect::Drained => {
                    let _ = self.drained.send(true);
                }
            }
        }
        self.link.flush();
        self.take_reports(now);
    }
}

impl<L: Link, R: TargetRunner> Control<L, R> {
    fn status(&self) -> AgentStatus {
        AgentStatus {
            target: self.agent.target().cloned(),
            leaving: self.agent.is_leaving(),
            held: self.agent.held(),
            running: self.agent.running(),
            unstored_ends: self.agent.unstored_ends(),
            sessions: self.agent.entries().filter(|(_, open)| *open).count(),
            entries: self.agent.entries().map(|(address, _)| *address).collect(),
            rules_revision: self.agent.rules().revision,
            zone: self.agent.zone().clone(),
            is_zone_drained: self.agent.is_zone_drained(),
        }
    }

    fn run(&mut self, key: TaskKey, start: Start, target: Target, now: TimestampMs) {
        info!(
            target: "decision",
            "{} started run={} target={} expected={}",
            self.describe_run(key),
            start.run,
            target.address,
            self.agent.expected_run_time(&start)
        );
        if let Some((arrived_ms, _)) = self.agent.times(key) {
            self.metrics.started(now.since(arrived_ms));
        }
        self.runner.run(key, start, target, now);
    }

    /// Identifies a run by its request and job, in the format of the entry's log.
    fn describe_run(&self, key: TaskKey) -> String {
        match self.agent.start_message(key) {
            Some(Start {
                task,
                name: Some(name),
                ..
            }) => format!("request={} job={} task={}", name.job, task.job, task.index),
            Some(Start { task, .. }) => format!("job={} task={}", task.job, task.index),
            None => "task=over".to_owned(),
        }
    }

    /// Logs what became of a durable run's end, and how many ends are still unstored.
    fn log_resolved_end(&self, end: &UnstoredEnd, event: &'static str, now: TimestampMs) {
        let waited_ms = now.since(end.reported_ms);
        self.metrics.end_resolved(event);
        info!(
            target: "decision",
            "{end} {event} run={} waited={waited_ms} unstored={}",
            end.run,
            self.agent.unstored_ends()
        );
    }

    fn take_reports(&mut self, now: TimestampMs) {
        for report in self.runner.poll_reports() {
            match report {
                RunnerReport::Finished { key, result } => {
                    info!(
                        target: "decision",
                        "{} ended how={}",
                        self.describe_run(key),
                        describe_result(&result)
                    );
                    if let Some((_, Some(started_ms))) = self.agent.times(key) {
                        self.metrics
                            .ended(result_label(&result), now.since(started_ms));
                    }
                    self.agent.finished(key, result, now);
                }
                RunnerReport::Target(target) => self.set_target(target, now),
                RunnerReport::Changed(change) => self.log_change(&change),
                RunnerReport::Answered(answered) => {
                    info!(
                        target: "decision",
                        "target-answered target={} losses={}",
                        answered.incarnation, answered.losses
                    );
                    self.agent.target_answered(answered);
                }
                RunnerReport::Announced(report) => self.log_announcement(&report),
            }
        }
    }

    fn set_target(&mut self, target: Option<Target>, now: TimestampMs) {
        if let (Some(known), Some(target)) = (self.agent.target(), &target)
            && known.capacity != target.capacity
        {
            self.log_capacity(known.capacity, target.capacity);
        }
        self.agent.set_target(target, now);
    }

    fn log_capacity(&self, from: Resources, to: Resources) {
        let direction = if from.fits_in(to) { "grown" } else { "shrunk" };
        self.metrics.capacity_changed(direction);
        info!(
            target: "decision",
            "capacity-changed direction={direction} from={} to={} used={} running={}",
            Quoted(from),
            Quoted(to),
            Quoted(self.agent.used()),
            self.agent.running()
        );
    }

    fn log_change(&self, change: &TargetChange) {
        let TargetChange {
            reason,
            replaced,
            present,
            reply_age_ms,
            interrupted,
            kept,
        } = change;
        self.metrics.target_changed(reason.label(), *interrupted);
        let level = if *interrupted > 0 {
            Level::Warn
        } else {
            Level::Info
        };
        log!(
            target: "decision",
            level,
            "target-changed reason={} replaced={} present={} reply_age={} interrupted={interrupted} kept={kept}",
            reason.label(),
            or_none(replaced.as_ref()),
            or_none(present.as_ref()),
            or_none(replaced.as_ref().map(|_| reply_age_ms)),
        );
    }

    fn log_announcement(&self, report: &AnnouncementReport) {
        self.metrics.announced(report.outcome.label());
        if report.outcome.is_routine() {
            return;
        }
        let level = if report.outcome.is_foreign() {
            Level::Warn
        } else {
            Level::Info
        };
        let present = report.present.as_ref();
        log!(
            target: "decision",
            level,
            "announced outcome={} incarnation={} sequence={} service={} address={} present={} newest={}",
            report.outcome.label(),
            report.incarnation,
            report.sequence,
            report.service,
            report.address,
            or_none(present.map(|(incarnation, _)| incarnation)),
            or_none(present.map(|(_, newest)| newest)),
        );
    }
}

/// Formats a value for the log, or `none`.
fn or_none(value: Option<impl fmt::Display>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}

/// Label of a result, for metrics and the log.
fn result_label(result: &TaskResult) -> &'static str {
    match result {
        TaskResult::Done(_) => "done",
        TaskResult::Failed(_) => "failed",
        TaskResult::NotRun(_) => "not-run",
        TaskResult::MayHaveRun(_) => "may-have-run",
        TaskResult::Interrupted(_) => "interrupted",
    }
}

/// Label of a result and its reason, for the log.
fn describe_result(result: &TaskResult) -> String {
    let label = result_label(result);
    match result {
        TaskResult::Done(_) => label.to_owned(),
        TaskResult::NotRun(why) => format!("{label} why={}", Quoted(why)),
        TaskResult::Failed(why) | TaskResult::MayHaveRun(why) | TaskResult::Interrupted(why) => {
            format!("{label} why={}", Quoted(why))
        }
    }
}
