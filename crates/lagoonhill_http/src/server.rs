//! HTTP/1 server with graceful shutdown.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use log::{debug, warn};
use tokio::net::TcpListener;
use tower::Service;

use crate::{FullBody, Problem};

/// Time limit for receiving the head of a request, idle time included.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Most bytes beyond the limit that are read and discarded.
const MAX_DROPPED_BYTES: u64 = 64 << 20;

/// The response of a handler.
pub type Reply = Response<FullBody>;

/// Serves HTTP/1 until `shutdown` resolves, then answers the requests in flight,
/// closes each connection after its answer, and returns.
pub async fn serve<S, B>(listener: TcpListener, service: S, shutdown: impl Future<Output = ()>)
where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let mut shutdown = pin!(shutdown);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!("could not accept a connection: {error}; check the limit on open files");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            () = &mut shutdown => break,
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!("could not set TCP_NODELAY: {error}");
        }
        let service = TowerToHyperService::new(service.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!("a connection ended with an error: {error}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Reads a request's body, up to a limit. The rest of a larger body is read and
/// discarded, up to 64 MiB, so that the sender receives the refusal.
pub async fn read_body(mut body: Incoming, max_bytes: u64) -> Result<Bytes, Problem> {
    let mut kept = BytesMut::new();
    let mut received_bytes = 0_u64;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let detail = format!("the body could not be read ({error}): send it in full");
            Problem::not_run(StatusCode::BAD_REQUEST, detail)
        })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        received_bytes += data.len() as u64;
        if received_bytes <= max_bytes {
            kept.extend_from_slice(data);
        } else {
            kept.clear();
        }
        if received_bytes > max_bytes + MAX_DROPPED_BYTES {
            break;
        }
    }
    if received_bytes <= max_bytes {
        return Ok(kept.freeze());
    }
    let detail = format!("the body is larger than {max_bytes} bytes: split the request");
    Err(Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail))
}

/// A response with a body of the given content type.
pub fn reply(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(FullBody::from(body.into()));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
