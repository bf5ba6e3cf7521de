//! The agent's HTTP interface: target announcements, health, metrics and status.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::mpsc::Sender;
use std::task::{Context, Poll};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lagoonhill_http::{Problem, Reply, read_body, reply};
use lagoonhill_protocol::Target;
use lagoonhill_types::prelude::*;
use log::info;
use serde::Deserialize;
use tokio::sync::oneshot;

use crate::control::{AgentStatus, ControlEvent};
use crate::metrics::Metrics;

const MAX_BODY_BYTES: u64 = 64 << 10;

/// Body of `PUT /v1/target`, by which a target announces itself.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetRequest {
    service: ServiceName,
    address: SocketAddr,
    slots: u16,
    #[serde(default)]
    connections: Option<u16>,
    #[serde(default)]
    processors: u16,
    #[serde(default)]
    memory_bytes: u64,
    #[serde(default)]
    accelerators: u16,
    #[serde(default)]
    labels: Vec<Label>,
}

/// HTTP service for the target on the same worker.
#[derive(Debug)]
pub(crate) struct Api<E> {
    pub(crate) worker: WorkerId,
    pub(crate) zone: AvailabilityZone,
    pub(crate) control: Sender<ControlEvent<E>>,
    pub(crate) metrics: Metrics,
}

impl<E> Clone for Api<E> {
    fn clone(&self) -> Self {
        Self {
            worker: self.worker.clone(),
            zone: self.zone.clone(),
            control: self.control.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

impl<E: Send + 'static> tower::Service<Request<Incoming>> for Api<E> {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let api = self.clone();
        Box::pin(async move {
            Ok(api
                .route(request)
                .await
                .unwrap_or_else(Problem::into_response))
        })
    }
}

impl<E: Send + 'static> Api<E> {
    async fn route(&self, request: Request<Incoming>) -> Result<Reply, Problem> {
        match (request.method(), request.uri().path()) {
            (&Method::PUT, "/v1/target") => self.put_target(request).await,
            (&Method::DELETE, "/v1/target") => {
                info!("the target is leaving");
                let _ = self.control.send(ControlEvent::Target(None));
                Ok(reply(StatusCode::NO_CONTENT, "application/json", ""))
            }
            (&Method::GET, "/healthz") => Ok(reply(StatusCode::OK, "text/plain", "ok\n")),
            (&Method::GET, "/readyz") => self.get_ready().await,
            (&Method::GET, "/metrics") => {
                let status = self.status().await?;
                let text = self.metrics.render(&status);
                Ok(reply(StatusCode::OK, "text/plain; version=0.0.4", text))
            }
            (&Method::GET, "/v1/status") => self.get_status().await,
            (method, path) => Err(Problem::not_run(
                StatusCode::NOT_FOUND,
                format!("there is no {method} {path}: see docs/API.md for what there is"),
            )),
        }
    }

    async fn put_target(&self, request: Request<Incoming>) -> Result<Reply, Problem> {
        let body = read_body(request.into_body(), MAX_BODY_BYTES).await?;
        let bad_request = |detail: String| Problem::not_run(StatusCode::BAD_REQUEST, detail);
        let announced: TargetRequest = serde_json::from_slice(&body).map_err(|error| {
            bad_request(format!(
                "the body announces no target: {error}; see docs/API.md"
            ))
        })?;
        if announced.slots == 0 {
            return Err(bad_request(
                "the target has 0 slots: announce at least 1".to_owned(),
            ));
        }
        if announced.address.port() == 0 {
            return Err(bad_request(format!(
                "the target's address {} has no port: announce the port that it listens on",
                announced.address
            )));
        }
        let target = Target {
            service: announced.service,
            address: announced.address,
            slots: SlotCount(announced.slots),
            connections: announced.connections.unwrap_or(announced.slots),
            capacity: Resources {
                processors: MilliProcessors(u32::from(announced.processors) * 1_000),
                memory_bytes: ByteCount(announced.memory_bytes),
                accelerators: announced.accelerators,
            },
            labels: announced.labels,
        };
        info!("the target announced itself: {target:?}");
        let _ = self.control.send(ControlEvent::Target(Some(target)));
        Ok(reply(StatusCode::NO_CONTENT, "application/json", ""))
    }

    async fn status(&self) -> Result<AgentStatus, Problem> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.control.send(ControlEvent::Status(sender));
        let stopped = "the agent has stopped: start it again";
        receiver
            .await
            .map_err(|_| Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, stopped))
    }

    async fn get_ready(&self) -> Result<Reply, Problem> {
        let status = self.status().await?;
        if status.target.is_some() && status.sessions > 0 && !status.leaving {
            return Ok(reply(StatusCode::OK, "text/plain", "ready\n"));
        }
        let detail =
            "not ready: no target is announced, no entry is connected, or the agent is leaving";
        Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail))
    }

    async fn get_status(&self) -> Result<Reply, Problem> {
        let status = self.status().await?;
        let entries: Vec<String> = status
            .entries
            .iter()
            .map(|entry| entry.incarnation.to_string())
            .collect();
        let body = serde_json::json!({
            "worker": self.worker,
            "zone": self.zone,
            "leaving": status.leaving,
            "service": status.target.as_ref().map(|target| target.service.clone()),
            "held": status.held,
            "running": status.running,
            "sessions": status.sessions,
            "entries": entries,
            "rules_revision": status.rules_revision,
        });
        Ok(reply(StatusCode::OK, "application/json", body.to_string()))
    }
}
