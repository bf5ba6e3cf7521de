//! Runner for targets that answer one HTTP request per task.

use std::collections::HashMap;

use lagoonhill_core::agent::TaskKey;
use lagoonhill_http::HttpClient;
use lagoonhill_protocol::{Start, Target, TaskResult};
use lagoonhill_types::prelude::*;
use tokio::runtime::Handle;
use tokio::task::AbortHandle;

use crate::control::AgentHandle;
use crate::runner::run_task;
use crate::target_runner::{RunnerReport, TargetRunner};

/// The request of a run was answered or has failed.
#[derive(Debug)]
pub struct RunAnswered {
    key: TaskKey,
    result: TaskResult,
}

/// Runs each task as one HTTP request, answered when the task has ended.
#[derive(Debug)]
pub(crate) struct HttpRunner {
    runtime: Handle,
    client: HttpClient,
    events: AgentHandle<RunAnswered>,
    running: HashMap<TaskKey, AbortHandle>,
    reports: Vec<RunnerReport>,
}

impl HttpRunner {
    pub(crate) fn new(events: AgentHandle<RunAnswered>) -> Self {
        Self {
            runtime: Handle::current(),
            client: HttpClient::new(),
            events,
            running: HashMap::new(),
            reports: Vec::new(),
        }
    }
}

impl TargetRunner for HttpRunner {
    type Event = RunAnswered;

    fn run(&mut self, key: TaskKey, start: Start, target: Target, _: TimestampMs) {
        let client = self.client.clone();
        let events = self.events.clone();
        let run = self.runtime.spawn(async move {
            let result = run_task(client, start, target).await;
            events.report(RunAnswered { key, result });
        });
        self.running.insert(key, run.abort_handle());
    }

    /// Aborts the request. The target sees the connection close.
    fn stop(&mut self, key: TaskKey, _: TimestampMs) {
        if let Some(run) = self.running.remove(&key) {
            run.abort();
            let result = TaskResult::MayHaveRun("it was stopped while it ran".to_owned());
            self.reports.push(RunnerReport::Finished { key, result });
        }
    }

    fn handle(&mut self, event: RunAnswered, _: TimestampMs) {
        let RunAnswered { key, result } = event;
        if self.running.remove(&key).is_some() {
            self.reports.push(RunnerReport::Finished { key, result });
        }
    }

    fn tick(&mut self, _: TimestampMs) {}

    fn poll_reports(&mut self) -> Vec<RunnerReport> {
        std::mem::take(&mut self.reports)
    }
}
