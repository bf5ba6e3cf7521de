//! HTTP code shared by the daemons: a server with graceful shutdown, a client that
//! never repeats a request, and problem documents.

mod client;
mod problem;
mod server;

pub use client::{ClientError, ClientReply, HttpClient};
pub use problem::Problem;
pub use server::{Reply, read_body, reply, serve};

/// A message body held in memory.
pub type FullBody = http_body_util::Full<bytes::Bytes>;
