use bytes::Bytes;
use hyper::{Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::FullBody;

/// A problem document (RFC 9457) that also states whether any task may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// The reason phrase of the status.
    pub title: String,
    /// What went wrong, and what the caller can do.
    pub detail: String,
    /// `not-run` or `may-have-run`.
    pub run: String,
    /// The id of the job, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// Delay in seconds before a retry; also sent as `Retry-After`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl Problem {
    /// A problem with a request of which nothing has run.
    pub fn not_run(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            status: status.as_u16(),
            title: status.canonical_reason().unwrap_or("Error").to_owned(),
            detail: detail.into(),
            run: "not-run".to_owned(),
            job: None,
            retry_after_s: None,
        }
    }

    /// The problem as an HTTP response.
    pub fn into_response(self) -> Response<FullBody> {
        let body = serde_json::to_vec(&self).expect("a problem always serializes");
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = Response::new(FullBody::from(Bytes::from(body)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        let content_type = header::HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Some(seconds) = self.retry_after_s {
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }
}
