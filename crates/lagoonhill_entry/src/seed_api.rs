//! The part of the HTTP interface that an entry serves at its seed address.

use std::task::{Context, Poll};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lagoonhill_http::Problem;
use tower::Service;

use crate::api::Api;

/// Answers requests of other processes for entries, and nothing else: the seed address
/// may be reachable by more than the processes of this system.
#[derive(Clone, Debug)]
pub(crate) struct SeedApi(pub(crate) Api);

impl Service<Request<Incoming>> for SeedApi {
    type Response = <Api as Service<Request<Incoming>>>::Response;
    type Error = <Api as Service<Request<Incoming>>>::Error;
    type Future = <Api as Service<Request<Incoming>>>::Future;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        if request.method() == Method::POST && request.uri().path() == "/v1/peers" {
            return self.0.call(request);
        }
        let detail = "only POST /v1/peers is answered here: use the entry's own HTTP address";
        let problem = Problem::not_run(StatusCode::NOT_FOUND, detail);
        Box::pin(std::future::ready(Ok(problem.into_response())))
    }
}
