//! The agent daemon as a library. An agent is the only process that starts tasks
//! on the target of its worker.

mod api;
mod control;
mod daemon;
mod discovery;
mod http_runner;
mod leased_runner;
mod metrics;
mod runner;
mod settings;
mod target_runner;

pub use control::AgentHandle;
pub use daemon::AgentDaemon;
pub use http_runner::RunAnswered;
pub use lagoonhill_daemon::StartError;
pub use leased_runner::{LeasedEvent, LeasedRunner, LeasedTarget};
pub use settings::AgentSettings;
pub use target_runner::{RunnerReport, TargetRunner};
