//! The HTTP plumbing that the daemons share: a server with graceful
//! shutdown, a client that never repeats a request, problem documents.

mod client;
mod problem;
mod server;

pub use client::{ClientError, ClientReply, HttpClient};
pub use problem::Problem;
pub use server::{Reply, read_body, reply, serve};

/// A body received in full.
pub type FullBody = http_body_util::Full<bytes::Bytes>;
