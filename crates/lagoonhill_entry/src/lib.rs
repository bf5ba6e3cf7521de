//! The entry daemon as a library: an HTTP server for callers, links to agents, a
//! client of the platform's store, and one control thread that owns all state.

mod announcement;
mod api;
mod api_types;
mod client;
mod control;
mod daemon;
mod drain_keys;
mod durable_job_requests;
mod durable_jobs;
mod durable_store;
mod first_rules;
mod handle;
mod job_record;
mod key_binder;
mod loss_record;
mod metrics;
mod ownership;
mod peers;
mod published_counts;
mod queue_api;
mod rules_follower;
mod rules_watch;
mod seed_api;
mod settings;

pub use client::{EntryClient, JobStatus};
pub use daemon::EntryDaemon;
pub use first_rules::{FirstRules, first_rules_wait};
pub use handle::Stopped;
pub use lagoonhill_daemon::StartError;
pub use rules_watch::RulesSource;
pub use settings::EntrySettings;
