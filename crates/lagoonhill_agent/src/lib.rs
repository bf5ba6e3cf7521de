//! The agent daemon as a library: the only process that starts tasks on the
//! target beside it.

mod api;
mod control;
mod daemon;
mod discovery;
mod error;
mod metrics;
mod runner;
mod settings;

pub use daemon::AgentDaemon;
pub use error::StartError;
pub use settings::AgentSettings;
