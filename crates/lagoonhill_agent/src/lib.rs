//! The agent daemon as a library: the only process that starts tasks on the
//! target beside it.

mod api;
mod control;
mod daemon;
mod discovery;
mod metrics;
mod runner;
mod settings;

pub use daemon::AgentDaemon;
pub use lagoonhill_daemon::StartError;
pub use settings::AgentSettings;
