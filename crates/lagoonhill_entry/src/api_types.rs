//! Bodies of the HTTP interface to jobs and tickets.

use lagoonhill_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The body of `POST /v1/jobs`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JobRequest {
    pub(crate) service: ServiceName,
    pub(crate) team: TeamName,
    pub(crate) tasks: Vec<Box<RawValue>>,
    #[serde(default)]
    pub(crate) deadline_ms: Option<u64>,
    #[serde(default)]
    pub(crate) run_time_ms: Option<u64>,
    #[serde(default)]
    pub(crate) memory_bytes: u64,
    #[serde(default)]
    pub(crate) accelerators: u16,
    #[serde(default = "repeatable_by_default")]
    pub(crate) repeatable: bool,
}

const fn repeatable_by_default() -> bool {
    true
}

/// The body of `POST /v1/tickets`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TicketsRequest {
    pub(crate) count: u16,
}

/// The answer to `POST /v1/tickets`.
#[derive(Debug, Serialize)]
pub(crate) struct TicketsAnswer {
    pub(crate) tickets: Vec<String>,
    pub(crate) valid_for_ms: u64,
}
