//! The JSON-over-HTTP client of the etcd adapter.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::StoreUnavailable;

/// Time limit for connecting, for the response head, and for the response body.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest body of a response, and largest line of a watch.
pub(crate) const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A JSON-over-HTTP client for one address.
#[derive(Clone, Debug)]
pub(crate) struct JsonClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client }
    }

    /// Sends a request and returns once the response head has arrived.
    pub(crate) async fn open<Q: Serialize>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<Response<Incoming>, StoreUnavailable> {
        let unavailable = |error: String| StoreUnavailable(error);
        let body = serde_json::to_vec(body).map_err(|error| unavailable(error.to_string()))?;
        let request = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .map_err(|error| unavailable(error.to_string()))?;
        let response = tokio::time::timeout(CALL_TIMEOUT, self.client.request(request))
            .await
            .map_err(|_| unavailable("timed out".to_owned()))?
            .map_err(|error| unavailable(error.to_string()))?;
        if !response.status().is_success() {
            return Err(unavailable(format!("status {}", response.status())));
        }
        Ok(response)
    }

    /// Sends a request and reads the whole response.
    pub(crate) async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<A, StoreUnavailable> {
        let response = self.open(path, body).await?;
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let bytes = tokio::time::timeout(CALL_TIMEOUT, body.collect())
            .await
            .map_err(|_| StoreUnavailable("timed out".to_owned()))?
            .map_err(|error| StoreUnavailable(error.to_string()))?
            .to_bytes();
        // Bytes that are not UTF-8 invalidate only the item that they are in.
        serde_json::from_str(&String::from_utf8_lossy(&bytes))
            .map_err(|error| StoreUnavailable(error.to_string()))
    }
}
