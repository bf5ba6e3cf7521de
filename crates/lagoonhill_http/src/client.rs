//! HTTP client that never repeats a request.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest body of an answer: enough for the results of a job, and as much as a
/// packet between entries and agents.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection failed, so the server has not received the request.
    #[error("no connection to {0}: check that it runs and that the address is right")]
    NotConnected(SocketAddr),
    /// The machine refused the connection, as no process listens at the address.
    #[error("{0} refuses connections: check that it runs and that the address is right")]
    Refused(SocketAddr),
    /// The server may have received the request.
    #[error("no answer from {address}: {why}; whether the request took effect is unknown")]
    NoAnswer {
        /// The address that the request was sent to.
        address: SocketAddr,
        /// The error, in words.
        why: String,
    },
}

/// An answer, read in full.
#[derive(Clone, Debug)]
pub struct ClientReply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

/// Sends each request at most once, on pooled connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// A client without open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the whole answer within `limit`.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        limit: Duration,
    ) -> Result<ClientReply, ClientError> {
        let no_answer = |why: String| ClientError::NoAnswer { address, why };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::from(body))
            .map_err(|error| no_answer(error.to_string()))?;
        let exchange = async {
            let answer = self.client.request(request).await.map_err(|error| {
                if error.is_connect() && is_refused(&error) {
                    ClientError::Refused(address)
                } else if error.is_connect() {
                    ClientError::NotConnected(address)
                } else {
                    no_answer(error.to_string())
                }
            })?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| no_answer(error.to_string()))?;
            Ok(ClientReply {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        let timed_out = || no_answer(format!("none within {} ms", limit.as_millis()));
        tokio::time::timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| Err(timed_out()))
    }
}

/// Whether an error was caused by a refused connection.
fn is_refused(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let is_refused = error
            .downcast_ref::<io::Error>()
            .is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused);
        if is_refused {
            return true;
        }
        cause = error.source();
    }
    false
}
