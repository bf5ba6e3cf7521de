//! Starts and drains an entry: wires its control thread, servers and store tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lagoonhill_core::entry::{Entry, LeastExpectedFinish};
use lagoonhill_daemon::{StartError, listen, spawn_control};
use lagoonhill_http::{HttpClient, serve};
use lagoonhill_link::{Inbox, InboxHandle, TcpLink};
use lagoonhill_platform::{EtcdStore, Store};
use lagoonhill_protocol::EntryAddress;
use lagoonhill_types::prelude::*;
use log::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::EntrySettings;
use crate::api::{Api, ApiState};
use crate::client::EntryClient;
use crate::control::{Control, ControlEvent};
use crate::durable_jobs::DurableJobs;
use crate::first_rules::FirstRules;
use crate::handle::ControlHandle;
use crate::key_binder::KeyBinder;
use crate::metrics::Metrics;
use crate::peers::{Peers, announce_leave, spawn_exchanges};
use crate::rules_watch::{RulesSource, follow_rules};
use crate::seed_api::SeedApi;

/// Time between two checks of whether all jobs have been answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the leave messages to be sent before the process ends.
const LEAVE_MESSAGE_DELAY: Duration = Duration::from_millis(200);

/// A running entry.
#[derive(Debug)]
pub struct EntryDaemon {
    address: EntryAddress,
    settings: EntrySettings,
    state: Arc<ApiState>,
    control: ControlHandle,
    durable_jobs: DurableJobs,
    shutdown: watch::Sender<bool>,
    server: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
    _inbox: InboxHandle,
}

impl EntryDaemon {
    /// Starts an entry on the current tokio runtime.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartError> {
        let store = settings.platform.map(EtcdStore::new);
        Self::start_with(settings, store, RulesSource::default()).await
    }

    /// Starts an entry with a client of its platform's store.
    pub async fn start_with<S: Store>(
        settings: EntrySettings,
        store: Option<S>,
        rules_source: RulesSource,
    ) -> Result<Self, StartError> {
        let (listener, http) = listen(settings.http).await?;
        let inbox = Inbox::open(settings.inbox)?;
        let clock = Clock::start();
        let address = EntryAddress {
            incarnation: clock.incarnation(),
            inbox: settings.advertise.unwrap_or_else(|| inbox.address()),
            http,
        };
        let config = settings.config(address);
        let ticket_lifetime_ms = config.ticket_lifetime_ms;
        let metrics = Metrics::new();
        let (events, event_queue) = std::sync::mpsc::channel();
        let control = ControlHandle::new(events);
        let (keys_to_bind, key_queue) = mpsc::unbounded_channel();
        let (durable_writes, durable_write_queue) = mpsc::unbounded_channel();
        let entry = Entry::new(
            config,
            LeastExpectedFinish::with_seed(address.incarnation.0),
            clock.now(),
        );
        let (rules_sender, rules) = watch::channel(Arc::default());
        let rules = FirstRules::new(rules);
        let state = Control::new(
            entry,
            TcpLink::new(),
            metrics.clone(),
            keys_to_bind,
            durable_writes,
            rules_sender,
        );
        spawn_control(state, clock, event_queue)?;
        let packets = control.clone();
        let deliver =
            move |packet, size_bytes| packets.send(ControlEvent::Packet { packet, size_bytes });
        let inbox = inbox.run(deliver).map_err(StartError::Runtime)?;

        let call_counts = store.as_ref().map(Store::counts);
        let peers = Peers::new(address, clock);
        let binder = KeyBinder::new(
            store.clone(),
            address,
            settings.key_rate,
            clock,
            control.clone(),
        );
        let mut background = vec![tokio::spawn(binder.run(key_queue))];
        let exchanges = spawn_exchanges(&settings, &peers, store.clone(), &metrics, &control);
        background.extend(exchanges);
        let (durable_jobs, tasks) = DurableJobs::start(
            store.clone(),
            address.incarnation,
            clock,
            &control,
            durable_write_queue,
        );
        background.extend(tasks);
        if let Some(store) = store {
            let following = follow_rules(store, rules_source, control.clone());
            background.push(tokio::spawn(following));
        }

        let entry_client = EntryClient::new(
            control.clone(),
            rules,
            durable_jobs.clone(),
            metrics.clone(),
        );
        let state = Arc::new(ApiState {
            address,
            control: control.clone(),
            metrics,
            peers,
            call_counts,
            client: HttpClient::new(),
            entry_client,
            max_body_bytes: settings.max_body_bytes,
            ticket_lifetime_ms,
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
        });
        background.extend(serve_as_seed(settings.seed_address, &state).await?);
        let (shutdown, mut stopping) = watch::channel(false);
        let server = tokio::spawn(serve(listener, Api(Arc::clone(&state)), async move {
            let _ = stopping.wait_for(|stop| *stop).await;
        }));
        info!(
            "start: entry {} takes requests on {http} and packets on {}",
            address.incarnation, address.inbox
        );
        Ok(Self {
            address,
            settings,
            state,
            control,
            durable_jobs,
            shutdown,
            server,
            background,
            _inbox: inbox,
        })
    }

    /// A client of the entry for the same process.
    pub fn client(&self) -> EntryClient {
        self.state.entry_client.clone()
    }

    /// The entry's address.
    pub fn address(&self) -> EntryAddress {
        self.address
    }

    /// The address for callers' requests.
    pub fn http(&self) -> SocketAddr {
        self.address.http
    }

    /// Tells the other entries that this one leaves. It goes on serving.
    pub fn announce_leave(&self) {
        let (peers, control) = (self.state.peers.clone(), self.control.clone());
        control.send(ControlEvent::RetireHome);
        tokio::spawn(async move { announce_leave(&peers, &control).await });
    }

    /// Shuts down without dropping a request: reports not ready at once, serves for
    /// the drain delay, then closes each connection after its answer. Returns
    /// whether every accepted job was answered within the drain limit.
    pub async fn drain(mut self) -> bool {
        info!(
            "stop: not ready any more, serving for {}",
            self.settings.drain_delay_ms
        );
        self.state.draining.store(true, Ordering::Relaxed);
        self.announce_leave();
        sleep(self.settings.drain_delay_ms.into()).await;
        self.state.closing.store(true, Ordering::Relaxed);
        let _ = self.shutdown.send(true);
        let limit = Duration::from(self.settings.drain_limit_ms);
        let served = timeout(limit, &mut self.server).await.is_ok();
        self.control.send(ControlEvent::Leave);
        let answered = served && timeout(limit, self.wait_until_idle()).await.is_ok();
        if !answered {
            warn!(
                "stop: requests are still unanswered after {}",
                self.settings.drain_limit_ms
            );
        }
        // Agents stop the runs of durable jobs before other entries take these over.
        self.control.send(ControlEvent::Depart);
        let departed = self.control.request(ControlEvent::Status);
        let _ = timeout(LEAVE_MESSAGE_DELAY, departed).await;
        self.durable_jobs.requests.leave().await;
        sleep(LEAVE_MESSAGE_DELAY).await;
        answered
    }

    async fn wait_until_idle(&self) {
        while let Ok(status) = self.control.request(ControlEvent::Status).await {
            if status.jobs == 0 {
                return;
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

impl Drop for EntryDaemon {
    fn drop(&mut self) {
        self.server.abort();
        for task in &self.background {
            task.abort();
        }
        self.control.send(ControlEvent::Stop);
    }
}

/// Serves the exchange between entries at the address under which this one is a seed.
async fn serve_as_seed(
    address: Option<SocketAddr>,
    state: &Arc<ApiState>,
) -> Result<Option<JoinHandle<()>>, StartError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let (listener, _) = listen(address).await?;
    let api = SeedApi(Api(Arc::clone(state)));
    Ok(Some(tokio::spawn(serve(
        listener,
        api,
        std::future::pending(),
    ))))
}
