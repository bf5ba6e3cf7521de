use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lagoonhill_http::{HttpClient, Reply, read_body, reply, serve};
use lagoonhill_types::prelude::*;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tower::service_fn;

use crate::StartLog;

const MAX_BODY_BYTES: u64 = 8 << 20;

/// How a target stand-in runs its tasks; may be changed at any time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetBehavior {
    /// Run time relative to the one that the task requests.
    pub slowness: f64,
    /// Fails every task immediately.
    pub fails_all: bool,
    /// Accepts tasks but never answers.
    pub hangs: bool,
}

impl Default for TargetBehavior {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            fails_all: false,
            hangs: false,
        }
    }
}

/// Input of a task for the stand-in.
#[derive(Debug, Deserialize)]
struct TaskInput {
    #[serde(default)]
    run_ms: u64,
    #[serde(default)]
    fail: bool,
    #[serde(default)]
    echo: String,
}

#[derive(Debug)]
struct Shared {
    behavior: Mutex<TargetBehavior>,
    log: StartLog,
    running: AtomicU32,
    max_running: AtomicU32,
    gone: AtomicBool,
}

/// A target that sleeps for the requested run time of each task and returns
/// the task's `echo` text.
#[derive(Debug)]
pub struct TargetStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

impl TargetStandin {
    /// Starts a target on a free loopback port.
    pub async fn start(behavior: TargetBehavior, log: StartLog) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            behavior: Mutex::new(behavior),
            log,
            running: AtomicU32::new(0),
            max_running: AtomicU32::new(0),
            gone: AtomicBool::new(false),
        });
        let handler = Arc::clone(&shared);
        let service = service_fn(move |request| {
            let shared = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(answer(&shared, request).await) }
        });
        let server = tokio::spawn(serve(listener, service, std::future::pending()));
        Ok(Self {
            address,
            shared,
            server,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it runs tasks that arrive from now on.
    pub fn set_behavior(&self, behavior: TargetBehavior) {
        *self
            .shared
            .behavior
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = behavior;
    }

    /// Number of tasks running now.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Largest number of tasks that have run at the same time.
    pub fn max_running(&self) -> u32 {
        self.shared.max_running.load(Ordering::Relaxed)
    }

    /// Announces the target to its agent.
    pub async fn announce(
        &self,
        agent: SocketAddr,
        service: &ServiceName,
        slots: SlotCount,
    ) -> Result<(), String> {
        let body = serde_json::json!({
            "service": service,
            "address": self.address,
            "slots": slots,
            "connections": 64,
            "processors": 64,
            "memory_bytes": 256_u64 << 30,
            "accelerators": 0,
        });
        send(agent, Method::PUT, body.to_string()).await
    }

    /// Withdraws the announcement from its agent.
    pub async fn leave(&self, agent: SocketAddr) -> Result<(), String> {
        send(agent, Method::DELETE, String::new()).await
    }

    /// Stops the server: open connections break and new ones are refused.
    pub fn kill(&self) {
        self.shared.gone.store(true, Ordering::Relaxed);
        self.server.abort();
    }
}

impl Drop for TargetStandin {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn send(agent: SocketAddr, method: Method, body: String) -> Result<(), String> {
    let headers = [("content-type", "application/json")];
    let limit = Duration::from_secs(5);
    let sent = HttpClient::new()
        .send(agent, method, "/v1/target", &headers, body.into(), limit)
        .await;
    match sent {
        Ok(reply) if reply.status.is_success() => Ok(()),
        Ok(reply) => Err(String::from_utf8_lossy(&reply.body).into_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Counts a task as running until dropped.
struct RunningGuard<'a>(&'a Shared);

impl<'a> RunningGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        let now = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
        shared.max_running.fetch_max(now, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn answer(shared: &Shared, request: Request<Incoming>) -> Reply {
    let task = request
        .headers()
        .get("lagoonhill-task")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return reply(StatusCode::BAD_REQUEST, "text/plain", "unreadable body\n");
    };
    let Ok(input) = serde_json::from_slice::<TaskInput>(&body) else {
        return reply(
            StatusCode::BAD_REQUEST,
            "text/plain",
            "not a task of the stand-in\n",
        );
    };
    shared.log.record(&task, &input.echo);
    let _running = RunningGuard::new(shared);
    let behavior = *shared
        .behavior
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if behavior.fails_all || input.fail {
        return reply(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            "told to fail\n",
        );
    }
    if behavior.hangs {
        std::future::pending::<()>().await;
    }
    let run = Duration::from_millis(input.run_ms).mul_f64(behavior.slowness);
    let started = Instant::now();
    tokio::time::sleep(run).await;
    let ran_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let body = serde_json::json!({ "echo": input.echo, "ran_us": ran_us });
    reply(StatusCode::OK, "application/json", body.to_string())
}
