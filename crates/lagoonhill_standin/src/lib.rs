//! Stand-ins for what surrounds lagoonhill, for development and tests only:
//! the platform's store, targets, a relay that can go silent, and a load tool.

mod load;
mod platform;
mod relay;
mod start_log;
mod target;

pub use load::{Load, LoadReport, TaskMix, run_load};
pub use platform::{PlatformFaults, PlatformStandin};
pub use relay::{Relay, RelayMode};
pub use start_log::StartLog;
pub use target::{TargetBehavior, TargetStandin};
