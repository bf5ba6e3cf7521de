//! Starts and drains an agent process.

use std::fmt;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use lagoonhill_core::SeedSearch;
use lagoonhill_core::agent::{Agent, AgentConfig};
use lagoonhill_daemon::{StartError, listen, spawn_control};
use lagoonhill_http::serve;
use lagoonhill_link::{Inbox, InboxHandle, TcpLink};
use lagoonhill_platform::{EtcdStore, Store};
use lagoonhill_types::prelude::*;
use log::{info, warn};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::AgentSettings;
use crate::api::Api;
use crate::control::{AgentHandle, Control, ControlEvent};
use crate::discovery::{discover, discover_through_seeds};
use crate::http_runner::{HttpRunner, RunAnswered};
use crate::metrics::Metrics;
use crate::target_runner::TargetRunner;

/// A running agent. `E` is the event type of its runner.
#[derive(Debug)]
pub struct AgentDaemon<E: Send + 'static = RunAnswered> {
    http: SocketAddr,
    inbox_address: SocketAddr,
    drain_limit_ms: DurationMs,
    control: Sender<ControlEvent<E>>,
    drained: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
    _inbox: InboxHandle,
}

impl AgentDaemon {
    /// Starts an agent on the current tokio runtime. Its target runs each task as
    /// one HTTP request, answered when the task has ended.
    pub async fn start(settings: AgentSettings) -> Result<Self, StartError> {
        let store = settings.platform.map(EtcdStore::new);
        Self::start_with(settings, store, |events, _| HttpRunner::new(events)).await
    }
}

impl<E: fmt::Debug + Send + 'static> AgentDaemon<E> {
    /// Starts an agent on the current tokio runtime, with a custom runner for
    /// its kind of target.
    pub async fn start_with<S: Store, R: TargetRunner<Event = E>>(
        settings: AgentSettings,
        store: Option<S>,
        make_runner: impl FnOnce(AgentHandle<E>, TimestampMs) -> R,
    ) -> Result<Self, StartError> {
        let (listener, http) = listen(settings.http).await?;
        let inbox = Inbox::open(settings.inbox)?;
        let inbox_address = settings.advertise.unwrap_or_else(|| inbox.address());
        let clock = Clock::start();
        let config = AgentConfig {
            incarnation: clock.incarnation(),
            worker: settings.worker.clone(),
            zone: settings.zone.clone(),
            inbox: inbox_address,
            overcommit: settings.overcommit,
            timing: settings.timing,
        };
        let metrics = Metrics::new();
        let (control, events) = channel();
        let (drained_sender, drained) = watch::channel(false);
        let state = Control {
            agent: Agent::new(config, clock.now()),
            link: TcpLink::new(),
            metrics: metrics.clone(),
            runner: make_runner(AgentHandle(control.clone()), clock.now()),
            drained: drained_sender,
        };
        spawn_control(state, clock, events)?;
        let packets = control.clone();
        let deliver = move |packet, size_bytes| {
            packets
                .send(ControlEvent::Packet { packet, size_bytes })
                .is_ok()
        };
        let inbox = inbox.run(deliver).map_err(StartError::Runtime)?;
        let seed_search = SeedSearch::new(&settings.seeds, None, clock.incarnation().0);
        let seeds = discover_through_seeds(seed_search, metrics.clone(), control.clone());
        let api = Api {
            worker: settings.worker.clone(),
            zone: settings.zone,
            control: control.clone(),
            metrics,
        };
        let tasks = vec![
            tokio::spawn(serve(listener, api, std::future::pending())),
            tokio::spawn(discover(store, settings.balancer, control.clone())),
            tokio::spawn(seeds),
        ];
        info!(
            "start: agent of {} takes its target on {http} and packets on {inbox_address}",
            settings.worker
        );
        let drain_limit_ms = settings.drain_limit_ms;
        Ok(Self {
            http,
            inbox_address,
            drain_limit_ms,
            control,
            drained,
            tasks,
            _inbox: inbox,
        })
    }

    /// A handle for sending events to the agent's runner.
    pub fn handle(&self) -> AgentHandle<E> {
        AgentHandle(self.control.clone())
    }

    /// The HTTP address at which the target announces itself.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// The address to which entries send packets.
    pub fn inbox(&self) -> SocketAddr {
        self.inbox_address
    }

    /// Shuts down gracefully: notifies every entry, returns tasks that have not
    /// started, waits for running tasks and delivers their outcomes. Returns
    /// whether that was done within the drain limit.
    pub async fn drain(mut self) -> bool {
        info!("stop: accepting no new tasks, waiting for running tasks");
        let _ = self.control.send(ControlEvent::Leave);
        let limit = Duration::from(self.drain_limit_ms);
        let drained = timeout(limit, self.drained.wait_for(|done| *done)).await;
        let in_time = matches!(drained, Ok(Ok(_)));
        drop(drained);
        if !in_time {
            warn!(
                "stop: tasks are still running after {}",
                self.drain_limit_ms
            );
        }
        in_time
    }
}

impl<E: Send + 'static> Drop for AgentDaemon<E> {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        let _ = self.control.send(ControlEvent::Stop);
    }
}
