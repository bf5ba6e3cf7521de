use std::collections::HashMap;
use std::ops::ControlFlow;
use std::sync::mpsc::Sender;

use lagoonhill_core::agent::{Agent, AgentEffect, TaskKey};
use lagoonhill_daemon::ControlState;
use lagoonhill_http::HttpClient;
use lagoonhill_link::Link;
use lagoonhill_protocol::{EntryAddress, Packet, Start, Target, TaskResult};
use lagoonhill_rules::RuleSet;
use lagoonhill_types::prelude::*;
use log::info;
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;

use crate::metrics::Metrics;
use crate::runner::run_task;

/// An agent, as its status page shows it.
#[derive(Clone, Debug)]
pub(crate) struct AgentStatus {
    pub(crate) target: Option<Target>,
    pub(crate) leaving: bool,
    pub(crate) held: usize,
    pub(crate) running: u16,
    pub(crate) sessions: usize,
    pub(crate) entries: Vec<EntryAddress>,
    pub(crate) rules_revision: Revision,
}

/// What reaches the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    Packet { packet: Packet, size_bytes: usize },
    Target(Option<Target>),
    Finished { key: TaskKey, result: TaskResult },
    Entries(Vec<EntryAddress>),
    Rules(RuleSet),
    Status(oneshot::Sender<AgentStatus>),
    Leave,
    Stop,
}

/// The thread that owns the agent's state.
pub(crate) struct Control<L> {
    pub(crate) agent: Agent,
    pub(crate) link: L,
    pub(crate) metrics: Metrics,
    pub(crate) to_self: Sender<ControlEvent>,
    pub(crate) runtime: Handle,
    pub(crate) client: HttpClient,
    pub(crate) running: HashMap<TaskKey, AbortHandle>,
    pub(crate) drained: watch::Sender<bool>,
}

impl<L: Link> ControlState for Control<L> {
    type Event = ControlEvent;

    fn tick(&mut self, now: TimestampMs) {
        self.agent.tick(now);
    }

    fn handle(&mut self, event: ControlEvent, now: TimestampMs) -> ControlFlow<()> {
        match event {
            ControlEvent::Packet { packet, size_bytes } => {
                self.metrics.packets.received(size_bytes);
                self.agent.receive(packet, now);
            }
            ControlEvent::Target(target) => self.agent.set_target(target, now),
            ControlEvent::Finished { key, result } => {
                self.running.remove(&key);
                self.agent.finished(key, result, now);
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

    fn carry_out(&mut self, now: TimestampMs) {
        for effect in self.agent.poll_effects(now) {
            match effect {
                AgentEffect::Send { to, packet } => {
                    let size_bytes = self.link.send(to, &packet);
                    self.metrics.packets.sent(size_bytes);
                }
                AgentEffect::Redial { to } => self.link.redial(to),
                AgentEffect::Hangup { to } => self.link.hangup(to),
                AgentEffect::Run { key, start, target } => self.spawn(key, start, target),
                AgentEffect::Stop { key } => self.stop(key),
                AgentEffect::Drained => {
                    let _ = self.drained.send(true);
                }
            }
        }
    }
}

impl<L: Link> Control<L> {
    fn status(&self) -> AgentStatus {
        AgentStatus {
            target: self.agent.target().cloned(),
            leaving: self.agent.is_leaving(),
            held: self.agent.held(),
            running: self.agent.running(),
            sessions: self.agent.entries().filter(|(_, open)| *open).count(),
            entries: self.agent.entries().map(|(address, _)| *address).collect(),
            rules_revision: self.agent.rules().revision,
        }
    }

    fn spawn(&mut self, key: TaskKey, start: Start, target: Target) {
        info!(target: "decision", "task={} started target={}", start.task, target.address);
        self.metrics.started.inc();
        let client = self.client.clone();
        let events = self.to_self.clone();
        let run = self.runtime.spawn(async move {
            let result = run_task(client, start, target).await;
            let _ = events.send(ControlEvent::Finished { key, result });
        });
        self.running.insert(key, run.abort_handle());
    }

    /// Closes the request; the target sees its caller hang up.
    fn stop(&mut self, key: TaskKey) {
        if let Some(run) = self.running.remove(&key) {
            run.abort();
            let result = TaskResult::MayHaveRun("it was stopped while it ran".to_owned());
            let _ = self.to_self.send(ControlEvent::Finished { key, result });
        }
    }
}
