//! Runner for targets that run tasks only under a lease.

use std::future::Future;

use lagoonhill_core::agent::TaskKey;
use lagoonhill_core::leased::{
    Announcement, CallId, FencingToken, LeaseTiming, LeasedEffect, LeasedRuns, TargetCall,
    TargetIncarnation, TargetReply,
};
use lagoonhill_protocol::{Start, Target};
use lagoonhill_types::prelude::*;
use log::{debug, info};
use tokio::runtime::Handle;

use crate::control::AgentHandle;
use crate::target_runner::{RunnerReport, TargetRunner};

/// Adapter for the protocol of a target that lets runs continue only while
/// their lease is valid.
pub trait LeasedTarget: Clone + Send + Sync + 'static {
    /// Makes one call. Failures are returned as a [`TargetReply`] too.
    fn call(
        &self,
        incarnation: TargetIncarnation,
        token: FencingToken,
        call: TargetCall,
        limit_ms: DurationMs,
    ) -> impl Future<Output = TargetReply> + Send;
}

/// An event for a [`LeasedRunner`].
#[derive(Debug)]
pub enum LeasedEvent {
    /// The target announced itself.
    Announced(Box<Announcement>),
    /// The target sent a leave message.
    Left(WorkerId),
    /// A call was answered or timed out.
    Answered(CallId, TargetReply),
}

/// Runs tasks on a leased target.
#[derive(Debug)]
pub struct LeasedRunner<T> {
    runtime: Handle,
    adapter: T,
    events: AgentHandle<LeasedEvent>,
    runs: LeasedRuns,
    reports: Vec<RunnerReport>,
}

impl<T: LeasedTarget> LeasedRunner<T> {
    /// Creates a runner without a target. Must be called on a tokio runtime.
    pub fn new(
        adapter: T,
        timing: LeaseTiming,
        token: FencingToken,
        events: AgentHandle<LeasedEvent>,
        now: TimestampMs,
    ) -> Self {
        Self {
            runtime: Handle::current(),
            adapter,
            events,
            runs: LeasedRuns::new(timing, token, now),
            reports: Vec::new(),
        }
    }

    fn apply_effects(&mut self) {
        for effect in self.runs.poll_effects() {
            match effect {
                LeasedEffect::Call {
                    id,
                    incarnation,
                    token,
                    call,
                    limit_ms,
                } => {
                    let (adapter, events) = (self.adapter.clone(), self.events.clone());
                    self.runtime.spawn(async move {
                        let reply = adapter.call(incarnation, token, call, limit_ms).await;
                        if let TargetReply::Unanswered(why) = &reply {
                            debug!("a call to the target was not answered: {why}");
                        }
                        events.report(LeasedEvent::Answered(id, reply));
                    });
                }
                LeasedEffect::Ended { key, result } => {
                    self.reports.push(RunnerReport::Finished { key, result });
                }
                LeasedEffect::Target(target) => {
                    match &target {
                        Some(target) => info!(
                            "the target takes work: service={} capacity=\"{}\"",
                            target.service, target.capacity
                        ),
                        None => info!("the target takes no work"),
                    }
                    self.reports.push(RunnerReport::Target(target));
                }
                LeasedEffect::Changed(change) => self.reports.push(RunnerReport::Changed(change)),
                LeasedEffect::Answered(answered) => {
                    self.reports.push(RunnerReport::Answered(answered));
                }
                LeasedEffect::Announced(report) => {
                    self.reports.push(RunnerReport::Announced(report));
                }
            }
        }
    }
}

impl<T: LeasedTarget> TargetRunner for LeasedRunner<T> {
    type Event = LeasedEvent;

    fn run(&mut self, key: TaskKey, start: Start, _: Target, now: TimestampMs) {
        self.runs.start(key, &start, now);
        self.apply_effects();
    }

    fn stop(&mut self, key: TaskKey, now: TimestampMs) {
        self.runs.stop(key, now);
        self.apply_effects();
    }

    fn end_stored(&mut self, key: TaskKey, now: TimestampMs) {
        self.runs.end_stored(key, now);
        self.apply_effects();
    }

    fn end_discarded(&mut self, key: TaskKey) {
        info!("the end of a run is discarded; the target's lease is left to expire");
        self.runs.discard_end(key);
        self.apply_effects();
    }

    fn handle(&mut self, event: LeasedEvent, now: TimestampMs) {
        match event {
            LeasedEvent::Announced(announcement) => {
                self.runs.announce(*announcement, now);
            }
            LeasedEvent::Left(name) => {
                info!("the target {name} has sent its leave message");
                self.runs.target_left(&name, now);
            }
            LeasedEvent::Answered(id, reply) => self.runs.answered(id, reply, now),
        }
        self.apply_effects();
    }

    fn tick(&mut self, now: TimestampMs) {
        self.runs.tick(now);
        self.apply_effects();
    }

    fn poll_reports(&mut self) -> Vec<RunnerReport> {
        std::mem::take(&mut self.reports)
    }
}
